/**
 * Moving estimates of request time. The peak estimate follows a rise at once and a fall slowly, so that an executor
 * that has just become slow is avoided before many requests have met it.
 */

const DECAY_MS = 10_000;

/** Exponentially weighted moving average over time. */
export class LatencyEstimate {
    private readonly peak: boolean;
    private value = 0;
    private updatedAt: number | undefined;

    constructor(peak: boolean) {
        this.peak = peak;
    }

    /** Estimate in milliseconds; 0 before the first sample. */
    get milliseconds(): number {
        return this.value;
    }

    /** Estimate that fades without samples, so that an executor once slow is tried again. */
    faded(now: number): number {
        return this.updatedAt === undefined ? 0 : this.value * Math.exp((this.updatedAt - now) / DECAY_MS);
    }

    add(milliseconds: number, now: number): void {
        const weight = this.updatedAt === undefined ? 0 : Math.exp((this.updatedAt - now) / DECAY_MS);
        // Samples of one instant count as well.
        const kept = Math.min(weight, 0.95);
        this.value = this.updatedAt === undefined || (this.peak && milliseconds > this.value)
            ? milliseconds
            : this.value * kept + milliseconds * (1 - kept);
        this.updatedAt = now;
    }

    reset(): void {
        this.value = 0;
        this.updatedAt = undefined;
    }
}
