/**
 * The lease of all attempts on one incarnation of a worker. It ends at a time on the worker's clock, which may run slow.
 * The owner estimates that clock from the readings in the worker's responses.
 */

/** Workers' clocks run at most 2 % slow. */
const MINIMUM_CLOCK_RATE = 0.98;
/** Allows for rounding by the owner and the worker. */
const EXPIRY_MARGIN_MILLISECONDS = 100;

export class WorkerLease {
    /** A reading of the worker's clock and the owner's monotonic time of its receipt. */
    private clockReading: { readonly clock: number; readonly receivedAt: number; } | undefined;
    /** Latest end of all leases that the worker may hold, whether or not it has confirmed them. */
    private latestEnd = -Infinity;

    recordClock(clock: number, now: number): void {
        this.clockReading = { clock, receivedAt: now };
    }

    get hasClockReading(): boolean {
        return this.clockReading !== undefined;
    }

    /** Whether the clock can read this in the response to a call that was sent at `sentAt`. A later incarnation's is behind. */
    canRead(clock: number, sentAt: number): boolean {
        if (this.clockReading === undefined) {
            return true;
        }
        const elapsed = sentAt - this.clockReading.receivedAt;
        // The response may have been overtaken by the one with the last reading.
        const earliest = this.clockReading.clock + (elapsed > 0 ? elapsed * MINIMUM_CLOCK_RATE : elapsed);
        return clock >= earliest - EXPIRY_MARGIN_MILLISECONDS;
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

    /** Counts with a lease that was not issued on this clock, of at most `milliseconds` from the last reading on. */
    assume(milliseconds: number): void {
        if (this.clockReading !== undefined) {
            this.latestEnd = Math.max(this.latestEnd, this.clockReading.clock + milliseconds);
        }
    }

    /**
     * Monotonic time at which all leases have expired on the worker, even with the slowest permitted clock; `Infinity`
     * before the first clock reading.
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
