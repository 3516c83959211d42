/**
 * Adaptive time limit for calls to a service whose latency varies widely. The limit follows the observed response times
 * and doubles after each time-out, so that dead connections are detected early while a slow service is still waited
 * for.
 */

/** Ratio of the time limit to the estimated response time. */
const TIMEOUT_FACTOR = 4;
/** Weight of the previous estimate in the moving average. */
const SMOOTHING_FACTOR = 0.8;

export interface AdaptiveTimeoutOptions {
    readonly shortestMilliseconds: number;
    readonly longestMilliseconds: number;
}

export class AdaptiveTimeout {
    private readonly options: AdaptiveTimeoutOptions;
    private estimatedMilliseconds = 0;

    constructor(options: AdaptiveTimeoutOptions) {
        this.options = options;
    }

    get milliseconds(): number {
        const { shortestMilliseconds, longestMilliseconds } = this.options;
        return Math.min(
            longestMilliseconds,
            Math.max(shortestMilliseconds, this.estimatedMilliseconds * TIMEOUT_FACTOR),
        );
    }

    /** Records the response time of a call. An increase takes effect at once, a decrease gradually. */
    recordResponse(milliseconds: number): void {
        this.estimatedMilliseconds = Math.max(
            milliseconds,
            this.estimatedMilliseconds * SMOOTHING_FACTOR + milliseconds * (1 - SMOOTHING_FACTOR),
        );
    }

    /** Doubles the limit after a call that timed out. */
    recordTimeout(): void {
        this.estimatedMilliseconds = this.milliseconds * 2 / TIMEOUT_FACTOR;
    }
}
