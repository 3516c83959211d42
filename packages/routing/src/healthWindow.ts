/**
 * Recent requests of one executor, for comparison with the other executors of its service. Older ones count half
 * after each check.
 */

/** Fewer requests than this are no ground for a judgement. */
const MINIMUM_SAMPLES = 5;

/** Sums over recent requests. */
export class HealthWindow {
    private samples = 0;
    private failures = 0;
    private milliseconds = 0;

    add(milliseconds: number, failed: boolean): void {
        this.samples += 1;
        this.failures += failed ? 1 : 0;
        this.milliseconds += milliseconds;
    }

    get judgeable(): boolean {
        return this.samples >= MINIMUM_SAMPLES;
    }

    /** Part of the requests that failed, 0 to 1. */
    get failureRate(): number {
        return this.samples === 0 ? 0 : this.failures / this.samples;
    }

    get meanMilliseconds(): number {
        return this.samples === 0 ? 0 : this.milliseconds / this.samples;
    }

    fade(): void {
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
