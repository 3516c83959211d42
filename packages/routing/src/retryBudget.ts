/**
 * Bounds the retries of a service to a part of its first tries, so that an outage does not multiply the load on the
 * executors that are left. A small reserve lets a service with little traffic retry as well.
 */
import type { Timers } from "@tanagerlink/timers";
import type { RoutingLimits } from "./executorPoolOptions.ts";

/** First tries whose retries may be saved up. */
const SAVED_FIRST_TRIES = 1_000;

/** Token bucket filled by first tries and, up to the reserve, by time. */
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

    /** Notes a first try. */
    earn(): void {
        const { retryRatio } = this.limits;
        this.earned = Math.min(SAVED_FIRST_TRIES * retryRatio, this.earned + retryRatio);
    }

    /** Takes one retry; false when the budget is used up. */
    take(): boolean {
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

/** Wait before the given retry (1 for the first): exponential, and uniform between 0 and its bound. */
export function backoff(limits: RoutingLimits, retry: number, random: () => number): number {
    const bound = limits.backoffBaseMilliseconds * 2 ** Math.min(retry - 1, 20);
    return random() * Math.min(limits.backoffMaximumMilliseconds, bound);
}
