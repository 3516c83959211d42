/**
 * Keeps one executor attached: attaches it under the owner's epoch, and repeats the attach periodically to read
 * reports, more often while requests with an unknown outcome occupy slots.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep } from "@tanagerlink/timers";
import type { PoolContext } from "./executorPoolOptions.ts";
import { Attachment, type PooledExecutor } from "./pooledExecutor.ts";

const RETRY_DELAY_BASE_MILLISECONDS = 50;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 2_000;

/** Statuses with which an executor answers that does not support the attach call. */
const UNSUPPORTED_STATUSES: readonly unknown[] = [404, 405, 501];

/** Keeps one executor attached until it is removed and none of its slots is in use. */
export class ExecutorAttachment {
    private readonly context: PoolContext;
    private readonly executor: PooledExecutor;
    private readonly onStateChange: () => void;
    /** Ends the delay before the next attach. */
    private delayController = new AbortController();
    private failures = 0;

    /** `onStateChange` is called after each change of the executor's state. */
    constructor(context: PoolContext, executor: PooledExecutor, onStateChange: () => void) {
        this.context = context;
        this.executor = executor;
        this.onStateChange = onStateChange;
    }

    /** Ends the current delay, so that the executor is attached again at once. */
    attachNow(): void {
        this.delayController.abort();
    }

    /** Runs until the executor can be removed or the pool is disposed. */
    async run(): Promise<void> {
        const { context, executor } = this;
        while (!context.isDisposed && !executor.isRemovable()) {
            this.delayController = new AbortController();
            const requestedAt = context.timers.now();
            const result = await executor.client.attach(context.shard, context.epoch);
            if (context.isDisposed) {
                return;
            }
            result.match(report => {
                this.failures = 0;
                executor.applyReport(report, requestedAt);
            }, error => this.handleFailure(error));
            executor.releaseExpiredSlots();
            this.onStateChange();
            await sleep(context.timers, this.nextDelayMilliseconds(), this.delayController.signal);
        }
    }

    private handleFailure(error: ServiceError): void {
        const { context, executor } = this;
        this.failures++;
        executor.discardReport();
        if (error.kind === ErrorKind.StaleEpoch) {
            context.isSuperseded = true;
        }
        else if (error.kind === ErrorKind.TargetRefused) {
            const unsupported = UNSUPPORTED_STATUSES.includes(error.detail?.["status"]);
            executor.attachment = unsupported ? Attachment.Unsupported : Attachment.None;
        }
        else if (error.kind === ErrorKind.TargetUnreachable) {
            executor.detach();
        }
        // After an unknown outcome the executor may still know the epoch; its health decides whether it is used.
    }

    private nextDelayMilliseconds(): number {
        const { limits, random } = this.context;
        if (this.failures > 0) {
            const bound = Math.min(
                MAXIMUM_RETRY_DELAY_MILLISECONDS,
                RETRY_DELAY_BASE_MILLISECONDS * 2 ** Math.min(this.failures - 1, 10),
            );
            return bound * (0.5 + random() / 2);
        }
        return this.executor.needsReport() ? limits.reportPeriodMilliseconds : limits.refreshPeriodMilliseconds;
    }
}
