/**
 * Time limit of calls to a service that is fast on most days and very slow on some. It follows the durations of answers
 * and grows after each call that reached it, so that silent connections are noticed early and a slow service is waited
 * for.
 */

/** An answer may take this many times as long as the recent ones. */
const FACTOR = 4;
/** Part of the old estimate that each answer keeps. */
const SMOOTHING = 0.8;

export interface AdaptiveTimeoutOptions {
    readonly shortestMilliseconds: number;
    readonly longestMilliseconds: number;
}

export class AdaptiveTimeout {
    private readonly options: AdaptiveTimeoutOptions;
    private typical = 0;

    constructor(options: AdaptiveTimeoutOptions) {
        this.options = options;
    }

    get milliseconds(): number {
        const { shortestMilliseconds, longestMilliseconds } = this.options;
        return Math.min(longestMilliseconds, Math.max(shortestMilliseconds, this.typical * FACTOR));
    }

    answered(milliseconds: number): void {
        this.typical = Math.max(milliseconds, this.typical * SMOOTHING + milliseconds * (1 - SMOOTHING));
    }

    /** Doubles the limit. */
    timedOut(): void {
        this.typical = this.milliseconds * 2 / FACTOR;
    }
}
