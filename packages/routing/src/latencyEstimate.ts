/**
 * Moving averages of request latency. The peak estimate follows a rise at once and a fall slowly, so that an executor
 * that has just become slow is avoided before many requests have been sent to it.
 */

/** Time constant of the exponential decay. */
const DECAY_MILLISECONDS = 10_000;

/** Exponentially weighted moving average over time. */
export class LatencyEstimate {
    private readonly tracksPeak: boolean;
    private value = 0;
    private updatedAt: number | undefined;

    constructor(tracksPeak: boolean) {
        this.tracksPeak = tracksPeak;
    }

    /** Estimate in milliseconds; 0 before the first sample. */
    get milliseconds(): number {
        return this.value;
    }

    /** Estimate that decays while there are no samples, so that an executor that was slow gets requests again. */
    decayedMilliseconds(now: number): number {
        return this.updatedAt === undefined ? 0 : this.value * Math.exp((this.updatedAt - now) / DECAY_MILLISECONDS);
    }

    record(milliseconds: number, now: number): void {
        const weight = this.updatedAt === undefined ? 0 : Math.exp((this.updatedAt - now) / DECAY_MILLISECONDS);
        // The bound lets every sample count, also one at the same instant as the previous one.
        const keptWeight = Math.min(weight, 0.95);
        this.value = this.updatedAt === undefined || (this.tracksPeak && milliseconds > this.value)
            ? milliseconds
            : this.value * keptWeight + milliseconds * (1 - keptWeight);
        this.updatedAt = now;
    }

    reset(): void {
        this.value = 0;
        this.updatedAt = undefined;
    }
}
