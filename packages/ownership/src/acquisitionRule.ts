/** Decides from a process's own observations when it may attempt to acquire a shard. */
import type { OwnershipDurations } from "./ownershipOptions.ts";
import type { RowObservation } from "./shardDirectory.ts";

/**
 * Less preferred processes wait longer, by up to this many poll periods, so as not to compete with the preferred one.
 */
const MAXIMUM_RANK_STEPS = 4;

export interface Candidate {
    readonly nodeId: string;
    /** Position among the eligible owners in rendezvous order; 0 is the preferred owner. */
    readonly rank: number;
}

/**
 * Milliseconds from the first observation of the row until the candidate may attempt an acquisition; `undefined` for a
 * malformed row, which is never acquired. The row must not change in between, which the conditional write ensures up to
 * the moment of the takeover.
 */
export function acquisitionDelay(
    observation: RowObservation,
    candidate: Candidate,
    durations: OwnershipDurations,
): number | undefined {
    const preference = preferenceDelay(candidate, durations);
    const { value } = observation;
    if (value === undefined) {
        return observation.version === 0 ? preference : undefined;
    }
    if (value.state === "held") {
        return value.leaseMilliseconds + durations.margin + preference;
    }
    if (value.successor === candidate.nodeId) {
        return 0;
    }
    return value.successor === undefined ? preference : 2 * durations.renewal + preference;
}

/** Milliseconds for which a candidate lets more preferred ones go first. */
export function preferenceDelay({ rank }: Candidate, durations: OwnershipDurations): number {
    return Math.min(rank, MAXIMUM_RANK_STEPS) * pollPeriod(durations);
}

/** Polls run at twice the rate of renewals, so that a released or abandoned shard is detected early. */
export function pollPeriod(durations: OwnershipDurations): number {
    return durations.renewal / 2;
}
