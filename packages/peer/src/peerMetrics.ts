/**
 * Metrics of the peer network. Peers are not used as labels, since their number is not bounded over time.
 */
import type { Metrics } from "@tanagerlink/telemetry";
import type { RefusalReason } from "./linkRefusal.ts";

/**
 * Why a frame was dropped. `foreign` and `late` are answers that settle no call: `foreign` to a call that was never
 * sent or is pending at another process, `late` to a call that has ended.
 */
export type DropReason = "malformed" | "late" | "foreign" | "unexpected" | "oversized";

/**
 * Why a link ended. `retired`: this process no longer wants the link; `replaced`: a new link to the same process was
 * opened; `remote`: the peer closed it or the connection failed; `stopped`: this process stops.
 */
export type CloseReason =
    | "silent"
    | "unacknowledged"
    | "handshake"
    | "replaced"
    | "retired"
    | "remote"
    | "slow_reader"
    | "stopped";

/** Registers the metrics of a peer network and returns functions that record events in them. */
export function createPeerMetrics(metrics: Metrics) {
    const dropped = metrics.counter({
        name: "tanagerlink_peer_frames_dropped_total",
        help: "Frames from peers that were dropped, by reason.",
        labels: ["reason"],
    });
    const closed = metrics.counter({
        name: "tanagerlink_peer_links_closed_total",
        help: "Peer links that ended, by reason.",
        labels: ["reason"],
    });
    const refused = metrics.counter({
        name: "tanagerlink_peer_links_refused_total",
        help: "Peer links refused because of TLS or the identity of the peer, by reason.",
        labels: ["reason"],
    });
    const duplicates = metrics.counter({
        name: "tanagerlink_peer_duplicate_calls_total",
        help: "Calls received again under the same identifier, by what was done.",
        labels: ["action"],
    });
    const calls = metrics.counter({
        name: "tanagerlink_peer_calls_total",
        help: "Calls to peers that ended, by method and result.",
        labels: ["method", "result"],
    });
    const duration = metrics.histogram({
        name: "tanagerlink_peer_call_duration_seconds",
        help: "Duration of calls to peers.",
    });
    const sentBytes = metrics.counter({
        name: "tanagerlink_peer_sent_bytes_total",
        help: "Bytes of messages sent to peers, without transport headers.",
    });
    const resent = metrics.counter({
        name: "tanagerlink_peer_calls_resent_total",
        help: "Calls sent again on another link.",
    });
    return {
        recordDropped: (reason: DropReason) => dropped.increment({ reason }),
        recordClosed: (reason: CloseReason) => closed.increment({ reason }),
        recordRefused: (reason: RefusalReason) => refused.increment({ reason }),
        recordDuplicate: (action: "joined" | "answered" | "refused") => duplicates.increment({ action }),
        recordCall: (method: string, result: string, seconds: number) => {
            calls.increment({ method, result });
            duration.observe(seconds);
        },
        recordSent: (byteCount: number) => sentBytes.increment({}, byteCount),
        recordResent: () => resent.increment(),
    };
}

export type PeerMetrics = ReturnType<typeof createPeerMetrics>;
