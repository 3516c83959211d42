import type { ShardId } from "@tanagerlink/model";
import type { TableService } from "@tanagerlink/platform";
import type { Timers } from "@tanagerlink/timers";
import type { AdoptionOptions } from "./adoptionRule.ts";
import type { Rendezvous } from "./rendezvous.ts";

/** Durations of the lease protocol in milliseconds. */
export interface OwnershipDurations {
    /** Length of an owner's lease, which the owner counts from the time at which it sent the renewal. */
    readonly lease: number;
    /** Period of renewals. */
    readonly renewal: number;
    /**
     * Safety margin that a candidate waits in addition to the lease. `margin / lease` is the maximum difference between
     * the rates of two monotonic clocks that the protocol tolerates.
     */
    readonly margin: number;
    /** Confirmation window: how long a request that a worker accepted counts as confirmation of the epoch. */
    readonly confirmation: number;
}

/** Durations from section 5 of the design document. */
export const defaultOwnershipDurations: OwnershipDurations = {
    lease: 6_000,
    renewal: 2_000,
    margin: 1_000,
    confirmation: 4_000,
};

export interface OwnershipOptions {
    /** Identifier of this process, unique across its restarts. */
    readonly nodeId: string;
    readonly failureDomain: string;
    /** Configured shards of all failure domains. */
    readonly shards: readonly ShardId[];
    readonly timers: Timers;
    readonly table: TableService;
    readonly rendezvous: Rendezvous;
    readonly durations: OwnershipDurations;
    /**
     * Identifiers of the usable entry processes of a failure domain. This process always counts as a member of its own
     * failure domain.
     */
    readonly liveMembers: (failureDomain: string) => readonly string[];
    /** Conditions for adopting shards of other failure domains; without them, none is adopted. */
    readonly adoption?: AdoptionOptions;
    /** Returns a new identifier on each call, unique across the fleet. */
    readonly nextTransactionId: () => string;
}
