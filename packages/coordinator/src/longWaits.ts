/**
 * What a step may use once it has waited for long without a start, while its service is at most half used: what keeps
 * workers free for others must not keep a mostly idle service from work.
 */
import type { ActiveStep } from "./activeSteps.ts";
import type { Fleet } from "./fleet.ts";

const MAXIMUM_USED_SHARE = 0.5;

/** Waiting times, in whole intervals of the recheck of steps. */
const YIELD_TO_HOLDERS_MILLISECONDS = 1_000;
const YIELD_TO_GANGS_MILLISECONDS = 2_000;

export interface Entitlement {
    /** Capacity that is held for others. */
    readonly heldCapacity: boolean;
    /** Workers that are reserved for a gang. */
    readonly reservedWorkers: boolean;
}

export function entitlementOf(entry: ActiveStep, fleet: Fleet, now: number): Entitlement {
    const waited = entry.waitedMilliseconds(now);
    const isServiceIdle = waited >= YIELD_TO_HOLDERS_MILLISECONDS
        && fleet.usedShareOf(entry.service) <= MAXIMUM_USED_SHARE;
    return {
        heldCapacity: isServiceIdle,
        reservedWorkers: isServiceIdle && waited >= YIELD_TO_GANGS_MILLISECONDS,
    };
}
