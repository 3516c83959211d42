import type { ShardId } from "@tanagerlink/model";
import type { TableService } from "@tanagerlink/platform";
import type { Timers } from "@tanagerlink/timers";
import type { AdoptionOptions } from "./adoptionRule.ts";
import type { Rendezvous } from "./rendezvous.ts";

/** Durations of the lease protocol in milliseconds. */
export interface OwnershipDurations {
    /** Length of an owner's lease, counted by the owner from before it sent the renewal. */
    readonly lease: number;
    /** Period of renewals. */
    readonly renewal: number;
    /**
     * Added to the lease by a candidate. `margin / lease` is the largest difference between the rates of two monotonic
     * clocks that the protocol tolerates.
     */
    readonly margin: number;
    /** How long an accepted request of a worker counts as confirmation of the epoch. */
    readonly confirmation: number;
}

/** Bounds of section 5 of the design page. */
export const defaultOwnershipDurations: OwnershipDurations = {
    lease: 6_000,
    renewal: 2_000,
    margin: 1_000,
    confirmation: 4_000,
};

export interface OwnershipOptions {
    /** Identifier of this process, unique over its restarts. */
    readonly nodeId: string;
    readonly failureDomain: string;
    /** Shards of all failure domains, as configured. */
    readonly shards: readonly ShardId[];
    readonly timers: Timers;
    readonly table: TableService;
    readonly rendezvous: Rendezvous;
    readonly durations: OwnershipDurations;
    /** Identifiers of the usable entry processes of a failure domain; this process is always counted in its own one. */
    readonly liveMembers: (failureDomain: string) => readonly string[];
    /** By default no shard of another failure domain is taken over. */
    readonly adoption?: AdoptionOptions;
    /** A new identifier with each call, unique over the fleet. */
    readonly nextTransactionId: () => string;
}
