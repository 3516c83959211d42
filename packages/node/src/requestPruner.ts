/** Periodically deletes the records of old requests, with jitter so that the processes do it at different times. */
import type { RequestLedger } from "@tanagerlink/jobs";
import type { Logger } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";

export interface RequestPrunerOptions {
    readonly requestLedger: Pick<RequestLedger, "prune">;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Age at which records are deleted. */
    readonly retentionMilliseconds: number;
    /** Mean interval between two runs. */
    readonly periodMilliseconds: number;
    /** Random numbers from 0 to 1 for the jitter; `Math.random` by default. */
    readonly random?: () => number;
}

/** Prunes the request ledger periodically until disposed. */
export class RequestPruner implements AsyncDisposable {
    private readonly options: RequestPrunerOptions;
    private nextRun: Subscription | undefined;
    private isDisposed = false;

    constructor(options: RequestPrunerOptions) {
        this.options = options;
        this.scheduleNext();
    }

    [Symbol.asyncDispose](): Promise<void> {
        this.isDisposed = true;
        this.nextRun?.[Symbol.dispose]();
        return Promise.resolve();
    }

    /** Waits 0.5 to 1.5 periods, so that processes that started together do not read the table at the same time. */
    private scheduleNext(): void {
        const { timers, periodMilliseconds, random = Math.random } = this.options;
        if (!this.isDisposed) {
            this.nextRun = timers.after(periodMilliseconds * (0.5 + random()), () => this.prune());
        }
    }

    private async prune(): Promise<void> {
        const { requestLedger, timers, logger, retentionMilliseconds } = this.options;
        try {
            const pruned = await requestLedger.prune(timers.wallClock() - retentionMilliseconds);
            pruned.match(
                deleted => logger.debug({ deleted }, "records of old requests deleted"),
                error => logger.warn({ error }, "records of old requests could not be deleted; the next run retries"),
            );
        }
        finally {
            this.scheduleNext();
        }
    }
}
