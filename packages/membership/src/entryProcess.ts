import type { PeerAddress } from "@tanagerlink/peer";

/** What this process knows about another entry process. It says nothing about what others can reach. */
export const Reachability = {
    /** Heard on a link, or listed and not linked from here. */
    Live: "live",
    /** Silent from here, but a peer reports it as reachable. */
    Suspect: "suspect",
    /** Silent from here, and no peer reports it as reachable. */
    Unreachable: "unreachable",
} as const;
export type Reachability = (typeof Reachability)[keyof typeof Reachability];

/** One entry process other than, or equal to, this one. */
export interface EntryProcess extends PeerAddress {
    readonly reachability: Reachability;
    /** It must receive no new work. */
    readonly leaving: boolean;
    /** Whether the platform's list names it; the list lags. */
    readonly listed: boolean;
}
