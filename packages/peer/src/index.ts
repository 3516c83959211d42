/**
 * Links between the processes of the system: one WebSocket per pair, typed calls with deadlines, heartbeats that carry
 * summaries, and replacement of links that have gone silent.
 */
export * from "./peerNetwork.ts";
