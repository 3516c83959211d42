/**
 * Failure rate and mean latency of the recent requests of one executor, for comparison with the other executors of its
 * service. Each check halves the weight of all earlier requests.
 */

/** With fewer requests, failure rate and latency are not significant. */
const MINIMUM_SAMPLES = 5;

/** Sums over recent requests. */
export class HealthWindow {
    private samples = 0;
    private failures = 0;
    private milliseconds = 0;

    record(milliseconds: number, failed: boolean): void {
        this.samples += 1;
        this.failures += failed ? 1 : 0;
        this.milliseconds += milliseconds;
    }

    get hasEnoughSamples(): boolean {
        return this.samples >= MINIMUM_SAMPLES;
    }

    /** Fraction of the requests that failed, from 0 to 1. */
    get failureRate(): number {
        return this.samples === 0 ? 0 : this.failures / this.samples;
    }

    get meanMilliseconds(): number {
        return this.samples === 0 ? 0 : this.milliseconds / this.samples;
    }

    /** Halves the weight of all requests so far. */
    decay(): void {
        this.samples /= 2;
        this.failures /= 2;
        this.milliseconds /= 2;
    }

    reset(): void {
        this.samples = 0;
        this.failures = 0;
        this.milliseconds = 0;
    }
}
