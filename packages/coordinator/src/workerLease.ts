/**
 * The lease of all attempts on one worker. It ends at a time on the worker's clock, which may run slow. The owner
 * estimates that clock from the readings in the worker's responses.
 */

/** Workers' clocks run at most 2 % slow. */
const MINIMUM_CLOCK_RATE = 0.98;
/** Allows for rounding by the owner and the worker. */
const EXPIRY_MARGIN_MILLISECONDS = 100;

export class WorkerLease {
    /** A reading of the worker's clock and the owner's monotonic time of its receipt. */
    private clockReading: { readonly clock: number; readonly receivedAt: number; } | undefined;
    /** Latest end of all leases sent, whether or not a response was received. */
    private latestEnd = -Infinity;

    recordClock(clock: number, now: number): void {
        this.clockReading = { clock, receivedAt: now };
    }

    /** Discards the clock and the leases of the worker's previous incarnation. */
    reset(): void {
        this.clockReading = undefined;
        this.latestEnd = -Infinity;
    }

    get hasClockReading(): boolean {
        return this.clockReading !== undefined;
    }

    /** Issues a lease. Returns its end on the worker's clock; `undefined` before the first clock reading. */
    issue(now: number, milliseconds: number): number | undefined {
        if (this.clockReading === undefined) {
            return undefined;
        }
        // Not longer than stated even on the slowest clock.
        const elapsed = (now - this.clockReading.receivedAt) * MINIMUM_CLOCK_RATE;
        const end = Math.floor(this.clockReading.clock + elapsed + milliseconds);
        this.latestEnd = Math.max(this.latestEnd, end);
        return end;
    }

    /**
     * Monotonic time at which all leases sent have expired on the worker, even with the slowest permitted clock;
     * `Infinity` before the first clock reading.
     */
    get expiresAt(): number {
        if (this.clockReading === undefined) {
            return Infinity;
        }
        const { clock, receivedAt } = this.clockReading;
        return receivedAt + (this.latestEnd + EXPIRY_MARGIN_MILLISECONDS - clock) / MINIMUM_CLOCK_RATE;
    }

    hasExpired(now: number): boolean {
        return now > this.expiresAt;
    }
}
