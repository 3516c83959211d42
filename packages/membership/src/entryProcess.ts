/**
 * Entry processes as seen by one of them.
 */
import type { PeerAddress } from "@tanagerlink/peer";

/** Whether another entry process can be reached from this process; other processes may come to other results. */
export const Reachability = {
    /** Data was recently received from it, or this process has not wanted a link to it for long enough to assess it. */
    Live: "live",
    /** Nothing was recently received from it, but a peer reports it as reachable. */
    Suspect: "suspect",
    /** Nothing was recently received from it, and no peer reports it as reachable. */
    Unreachable: "unreachable",
} as const;
export type Reachability = (typeof Reachability)[keyof typeof Reachability];

/** One known entry process, which may be this process itself. */
export interface EntryProcess extends PeerAddress {
    readonly reachability: Reachability;
    /** Whether the process is about to stop and must receive no new work. */
    readonly leaving: boolean;
    /** Whether the platform's list, which lags, contains the process. */
    readonly listed: boolean;
}
