/**
 * The lease of all that runs on one worker. Its end is a time on the worker's clock, which may run slow; the owner
 * estimates it from the reports.
 */

/** A worker's clock may lose two hundredths. */
const SLOWEST_CLOCK_RATE = 0.98;
/** Beyond the computed end, for rounding on both sides. */
const LAPSE_MARGIN_MILLISECONDS = 100;

export class WorkerLease {
    /** A reading of the worker's clock and the monotonic time at which it arrived here. */
    private reading: { readonly clock: number; readonly at: number; } | undefined;
    /** Latest end of any lease that was sent, answered or not. */
    private latestEnd = -Infinity;

    read(clock: number, now: number): void {
        this.reading = { clock, at: now };
    }

    /** Forgets the clock and the leases of an earlier life. */
    restart(): void {
        this.reading = undefined;
        this.latestEnd = -Infinity;
    }

    get known(): boolean {
        return this.reading !== undefined;
    }

    /** End of a lease of the given length from now, on the worker's clock; `undefined` before the first report. */
    until(now: number, length: number): number | undefined {
        if (this.reading === undefined) {
            return undefined;
        }
        const end = Math.round(this.reading.clock + (now - this.reading.at) + length);
        this.latestEnd = Math.max(this.latestEnd, end);
        return end;
    }

    /** Whether every lease that was sent has certainly ended on the worker. */
    hasLapsed(now: number): boolean {
        if (this.reading === undefined) {
            return false;
        }
        const earliest = this.reading.clock + (now - this.reading.at) * SLOWEST_CLOCK_RATE;
        return earliest > this.latestEnd + LAPSE_MARGIN_MILLISECONDS;
    }
}
