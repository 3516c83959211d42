/** Deletes the records of old requests at a low rate, spread over the processes by jitter. */
import type { RequestLedger } from "@tanagerlink/jobs";
import type { Logger } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";

/** What pruning needs. */
export interface RequestPruningOptions {
    readonly requests: Pick<RequestLedger, "prune">;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Age from which records are deleted. */
    readonly retentionMilliseconds: number;
    /** Mean time between two runs. */
    readonly periodMilliseconds: number;
    /** Numbers from 0 to 1 for the jitter. */
    readonly random?: () => number;
}

/** Periodic pruning, until disposed. */
export class RequestPruning implements AsyncDisposable {
    private readonly options: RequestPruningOptions;
    private next: Subscription | undefined;
    private stopped = false;

    constructor(options: RequestPruningOptions) {
        this.options = options;
        this.plan();
    }

    [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        this.next?.[Symbol.dispose]();
        return Promise.resolve();
    }

    /** Waits half to one and a half periods, so that processes started together do not read the table together. */
    private plan(): void {
        const { timers, periodMilliseconds, random = Math.random } = this.options;
        if (!this.stopped) {
            this.next = timers.after(periodMilliseconds * (0.5 + random()), () => this.run());
        }
    }

    private async run(): Promise<void> {
        const { requests, timers, logger, retentionMilliseconds } = this.options;
        try {
            const pruned = await requests.prune(timers.wallClock() - retentionMilliseconds);
            pruned.match(
                deleted => logger.debug({ deleted }, "records of old requests deleted"),
                error =>
                    logger.warn({ error }, "records of old requests could not be deleted; the next run repeats it"),
            );
        }
        finally {
            this.plan();
        }
    }
}
