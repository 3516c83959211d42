/**
 * The task that keeps one executor attached: it attaches the executor under the owner's epoch, and repeats the
 * attach to read reports while requests with an unknown end hold slots.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep } from "@tanagerlink/timers";
import type { PoolContext } from "./executorPoolOptions.ts";
import { Attachment, type PooledExecutor } from "./pooledExecutor.ts";

const RETRY_BASE_MS = 50;
const RETRY_MAXIMUM_MS = 2_000;

/** Statuses by which an executor says that it knows no attach. */
const UNSUPPORTED_STATUSES: readonly unknown[] = [404, 405, 501];

/** Keeps one executor attached until it is removed and nothing of it is in use. */
export class ExecutorAttachment {
    private readonly context: PoolContext;
    private readonly executor: PooledExecutor;
    private readonly changed: () => void;
    private wake = new AbortController();
    private failures = 0;

    /** `changed` is called after each change of the executor's state. */
    constructor(context: PoolContext, executor: PooledExecutor, changed: () => void) {
        this.context = context;
        this.executor = executor;
        this.changed = changed;
    }

    /** Attaches again at once instead of after the current wait. */
    attachSoon(): void {
        this.wake.abort();
    }

    /** Runs until the executor is of no more interest. */
    async run(): Promise<void> {
        const { context, executor } = this;
        while (!context.disposed && !executor.forgettable()) {
            this.wake = new AbortController();
            const askedAt = context.timers.now();
            const result = await executor.client.attach(context.shard, context.epoch);
            if (context.disposed) {
                return;
            }
            result.match(report => {
                this.failures = 0;
                executor.apply(report, askedAt);
            }, error => this.fail(error));
            executor.expire();
            this.changed();
            await sleep(context.timers, this.wait(), this.wake.signal);
        }
    }

    private fail(error: ServiceError): void {
        const { context, executor } = this;
        this.failures++;
        executor.missReport();
        if (error.kind === ErrorKind.StaleEpoch) {
            context.superseded = true;
        }
        else if (error.kind === ErrorKind.TargetRefused) {
            const unsupported = UNSUPPORTED_STATUSES.includes(error.detail?.["status"]);
            executor.attachment = unsupported ? Attachment.Unsupported : Attachment.None;
        }
        else if (error.kind === ErrorKind.TargetUnreachable) {
            executor.detach();
        }
        // After an unknown outcome the executor still knows the epoch; its health decides whether it is used.
    }

    private wait(): number {
        const { limits, random } = this.context;
        if (this.failures > 0) {
            const bound = Math.min(RETRY_MAXIMUM_MS, RETRY_BASE_MS * 2 ** Math.min(this.failures - 1, 10));
            return bound * (0.5 + random() / 2);
        }
        return this.executor.needsReport() ? limits.reportPeriodMilliseconds : limits.refreshPeriodMilliseconds;
    }
}
