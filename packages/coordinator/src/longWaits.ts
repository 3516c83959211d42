/**
 * What a step may use once it has waited for long without a start, while its service is at most half used: what keeps
 * workers free for others must not keep a mostly idle service from work.
 */
import type { ActiveStep } from "./activeSteps.ts";
import type { Fleet } from "./fleet.ts";

const MAXIMUM_USED_SHARE = 0.5;

/** Waiting times before these are used, in whole intervals of the recheck of steps. */
const HELD_CAPACITY_MILLISECONDS = 1_000;
const QUARANTINED_WORKERS_MILLISECONDS = 1_000;
const RESERVED_WORKERS_MILLISECONDS = 2_000;

export interface Entitlement {
    /** Capacity that is held for others. */
    readonly heldCapacity: boolean;
    /** Workers that are reserved for a gang. */
    readonly reservedWorkers: boolean;
    /** Workers on which tasks have failed. */
    readonly quarantinedWorkers: boolean;
}

export function entitlementOf(entry: ActiveStep, fleet: Fleet, now: number): Entitlement {
    const waited = entry.waitedMilliseconds(now);
    const isServiceIdle = waited >= HELD_CAPACITY_MILLISECONDS &&
        fleet.usedShareOf(entry.service) <= MAXIMUM_USED_SHARE;
    // Lasting tasks are owed a worker in a full service too, and no failure ends them.
    const isOwedAnyWorker = isServiceIdle || entry.step.specification.lasting;
    return {
        heldCapacity: isServiceIdle,
        reservedWorkers: isServiceIdle && waited >= RESERVED_WORKERS_MILLISECONDS,
        quarantinedWorkers: isOwedAnyWorker && waited >= QUARANTINED_WORKERS_MILLISECONDS,
    };
}
