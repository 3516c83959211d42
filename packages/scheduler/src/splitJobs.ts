/**
 * Split jobs that this shard accepted. Delivers recorded cancellations to parts until each has ended, and records the end
 * of the job once all parts have ended, from which on the record may be forgotten.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { isFinished, type JobPart, type JobRecord, JobState, Reason } from "@tanagerlink/model";
import type { Result } from "neverthrow";
import type { JobEntry } from "./jobEntry.ts";
import { readMovedRecord } from "./movedRecord.ts";
import { decide, type ShardContext } from "./shardContext.ts";
import { stateOfParts } from "./splitStatus.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";

/** Period of looking at the parts of split jobs, in milliseconds. */
const PERIOD_MILLISECONDS = 2_000;

/** Jobs looked at in a period, which bounds the reads of the table. A running one mostly takes one read, and waits long. */
const RUNNING_AT_ONCE = 1;
const CANCELLED_AT_ONCE = 20;

/** Split jobs of one shard. */
export class SplitJobs implements Disposable {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly visited = new Set<JobEntry>();
    private subscription: Disposable | undefined;
    private disposed = false;

    constructor(context: ShardContext, lifecycle: TaskLifecycle) {
        this.context = context;
        this.lifecycle = lifecycle;
    }

    /** Begins to follow the parts, once the jobs were loaded. */
    start(): this {
        this.subscription = this.context.dependencies.timers.every(PERIOD_MILLISECONDS, () => this.visitSome());
        return this;
    }

    [Symbol.dispose](): void {
        this.disposed = true;
        this.subscription?.[Symbol.dispose]();
    }

    /** Records the cancellation of the whole job, unless all parts have ended. True when the record is durable. */
    async cancel(entry: JobEntry): Promise<boolean> {
        if (!isFinished(entry.record.state)) {
            await this.settle(entry);
        }
        // While the parts were read, another call may have cancelled the job.
        if (!isFinished(entry.record.state)) {
            entry.record = { ...entry.record, state: JobState.Cancelled };
            this.context.book.touch(entry);
            decide(this.context, entry, Reason.CancelledByCaller);
        }
        return this.lifecycle.persist(entry);
    }

    /** Delivers a recorded cancellation to the parts that have not ended. */
    async deliver(entry: JobEntry): Promise<void> {
        const { parts: access } = this.context.dependencies;
        await Promise.all((entry.record.parts ?? []).map(async part => {
            const record = await this.read(part);
            const ended = record.isOk() && (record.value === undefined || isFinished(record.value.state));
            return ended || this.disposed ? undefined : access?.cancel(part.id);
        }));
    }

    /** Those visited longest ago first. */
    private visitSome(): void {
        const { split } = this.context.book;
        let running = RUNNING_AT_ONCE;
        let cancelled = CANCELLED_AT_ONCE;
        for (const entry of [...split]) {
            const isCancelled = isFinished(entry.record.state);
            if (this.visited.has(entry) || (isCancelled ? cancelled : running) <= 0) {
                continue;
            }
            if (isCancelled) {
                cancelled--;
            }
            else {
                running--;
            }
            split.delete(entry);
            split.add(entry);
            this.visited.add(entry);
            void this.visit(entry).finally(() => this.visited.delete(entry));
        }
    }

    private async visit(entry: JobEntry): Promise<void> {
        if (isFinished(entry.record.state) && entry.pendingWrites === 0) {
            await this.deliver(entry);
        }
        await this.settle(entry);
    }

    /** Ends the job if all of its parts have ended. */
    private async settle(entry: JobEntry): Promise<void> {
        const records = await this.endedParts(entry);
        const { id } = entry.record;
        if (records === undefined || this.disposed || entry.record.finishedAt !== undefined) {
            return;
        }
        const { book, dependencies } = this.context;
        if (book.get(id) !== entry) {
            return;
        }
        const ends = records.map(({ finishedAt }) => finishedAt ?? 0);
        const finishedAt = Math.max(...ends, 0) || dependencies.timers.wallClock();
        const state = isFinished(entry.record.state)
            ? entry.record.state
            : stateOfParts(records.map(record => record.state));
        entry.record = { ...entry.record, state, finishedAt };
        book.split.delete(entry);
        book.touch(entry);
        await this.lifecycle.persist(entry);
    }

    /** Records of all parts, or `undefined` when a part has not ended or can't be read now. */
    private async endedParts(entry: JobEntry): Promise<readonly JobRecord[] | undefined> {
        const records: JobRecord[] = [];
        for (const part of entry.record.parts ?? []) {
            const record = await this.read(part);
            if (record.isErr() || (record.value !== undefined && !isFinished(record.value.state))) {
                return undefined;
            }
            records.push(...(record.value === undefined ? [] : [record.value]));
        }
        return records;
    }

    /** Reads a part where it is now. A part without a record was removed after its end. */
    private read(part: JobPart): Promise<Result<JobRecord | undefined, ServiceError>> {
        return readMovedRecord(this.context.dependencies.jobs, part.shard, part.id);
    }
}
