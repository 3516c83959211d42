/**
 * Limits the retries of a service to a fraction of its first attempts, so that an outage does not multiply the load on
 * the remaining executors. A small reserve lets a service with little traffic retry as well.
 */
import type { Timers } from "@tanagerlink/timers";
import type { RoutingLimits } from "./executorPoolOptions.ts";

/** Number of first attempts whose unused retries can be saved up. */
const MAXIMUM_SAVED_FIRST_ATTEMPTS = 1_000;

/** Token bucket that is filled by first attempts and, up to the reserve, over time. */
export class RetryBudget {
    private readonly timers: Timers;
    private readonly limits: RoutingLimits;
    private earned = 0;
    private reserve: number;
    private refilledAt: number;

    constructor(timers: Timers, limits: RoutingLimits) {
        this.timers = timers;
        this.limits = limits;
        this.reserve = limits.retryReserve;
        this.refilledAt = timers.now();
    }

    /** Credits the retries that a first attempt allows. */
    recordFirstAttempt(): void {
        const { retryRatio } = this.limits;
        this.earned = Math.min(MAXIMUM_SAVED_FIRST_ATTEMPTS * retryRatio, this.earned + retryRatio);
    }

    /** Takes one retry from the budget; returns false if it is exhausted. */
    tryAcquire(): boolean {
        this.refill();
        if (this.earned >= 1) {
            this.earned -= 1;
            return true;
        }
        if (this.reserve >= 1) {
            this.reserve -= 1;
            return true;
        }
        return false;
    }

    private refill(): void {
        const now = this.timers.now();
        const { retryReserve, retryReservePerSecond } = this.limits;
        const added = (now - this.refilledAt) / 1_000 * retryReservePerSecond;
        this.reserve = Math.min(retryReserve, this.reserve + added);
        this.refilledAt = now;
    }
}

/** Random delay before the given retry (1 for the first), uniform between 0 and an exponentially growing bound. */
export function backoffMilliseconds(limits: RoutingLimits, retry: number, random: () => number): number {
    const bound = limits.backoffBaseMilliseconds * 2 ** Math.min(retry - 1, 20);
    return random() * Math.min(limits.backoffMaximumMilliseconds, bound);
}
