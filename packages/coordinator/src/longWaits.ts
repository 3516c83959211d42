/**
 * What a step may use once it has waited for long without a start, if its service is at most half used or its tasks
 * last: what keeps workers free for others must not keep a mostly idle service from work.
 */
import type { ActiveStep } from "./activeSteps.ts";
import type { Fleet } from "./fleet.ts";

const MAXIMUM_USED_SHARE = 0.5;

/** Minimum wait, and that for reserved workers, in whole intervals of the recheck of steps. */
const MINIMUM_MILLISECONDS = 1_000;
const RESERVED_WORKERS_MILLISECONDS = 2_000;

export interface Entitlement {
    /** Workers that are claimed for trials of others. */
    readonly claimedWorkers: boolean;
    /** Capacity that is held for others. */
    readonly heldCapacity: boolean;
    /** Workers that are reserved for a gang. */
    readonly reservedWorkers: boolean;
    /** Workers on which tasks have failed. */
    readonly quarantinedWorkers: boolean;
}

export function entitlementOf(entry: ActiveStep, fleet: Fleet, now: number): Entitlement {
    const waited = entry.waitedMilliseconds(now);
    const hasWaited = waited >= MINIMUM_MILLISECONDS;
    // Lasting tasks are owed a worker in a full service too.
    const isOwed = hasWaited
        && (entry.step.specification.lasting || fleet.usedShareOf(entry.service) <= MAXIMUM_USED_SHARE);
    return {
        // Many suspects may claim a worker one after another.
        claimedWorkers: hasWaited,
        heldCapacity: isOwed,
        quarantinedWorkers: isOwed,
        reservedWorkers: isOwed && waited >= RESERVED_WORKERS_MILLISECONDS,
    };
}
