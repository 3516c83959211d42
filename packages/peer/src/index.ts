/**
 * Peer-to-peer network between the processes of the system: WebSocket links, typed calls with deadlines, heartbeats
 * that carry summaries, and replacement of links that have gone silent.
 */
export * from "./peerNetwork.ts";
export { type PeerNetworkOptions, type PeerTls, PeerTlsMode } from "./peerOptions.ts";
export { WebSocketPeerNetwork } from "./webSocketPeerNetwork.ts";
