/**
 * Polls the parts of the split jobs that this shard accepted. Delivers recorded cancellations until each part has
 * ended, and records the end of the job once all parts have ended; from then on retention may remove the record.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { isFinished, type JobPart, type JobRecord, JobState, Reason } from "@tanagerlink/model";
import type { Result } from "neverthrow";
import type { JobEntry } from "./jobEntry.ts";
import { readMovedRecord } from "./movedRecord.ts";
import { recordJobDecision, type ShardContext } from "./shardContext.ts";
import { stateFromParts } from "./splitStatus.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";

const PART_POLL_PERIOD_MILLISECONDS = 2_000;

/** Bounds the reads of the table in one period. A running job mostly needs one read, and it runs for a long time. */
const MAXIMUM_RUNNING_JOBS_PER_PERIOD = 1;
const MAXIMUM_CANCELLED_JOBS_PER_PERIOD = 20;

/** Polls and cancels the split jobs of one shard. */
export class SplitJobs implements Disposable {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly entriesInProgress = new Set<JobEntry>();
    private subscription: Disposable | undefined;
    private disposed = false;

    constructor(context: ShardContext, lifecycle: TaskLifecycle) {
        this.context = context;
        this.lifecycle = lifecycle;
    }

    /** Starts to poll the parts; called once the jobs are loaded. */
    start(): this {
        this.subscription = this.context.dependencies.timers.every(
            PART_POLL_PERIOD_MILLISECONDS,
            () => this.pollNextJobs(),
        );
        return this;
    }

    [Symbol.dispose](): void {
        this.disposed = true;
        this.subscription?.[Symbol.dispose]();
    }

    /** Records the cancellation of the job, unless all parts have ended. Resolves to true if the record is durable. */
    async cancel(entry: JobEntry): Promise<boolean> {
        if (!isFinished(entry.record.state)) {
            await this.finishIfPartsEnded(entry);
        }
        // Another call may have cancelled the job while the parts were being read.
        if (!isFinished(entry.record.state)) {
            entry.record = { ...entry.record, state: JobState.Cancelled };
            this.context.jobRegistry.markChanged(entry);
            recordJobDecision(this.context, entry, Reason.CancelledByCaller);
        }
        return this.lifecycle.persistRecord(entry);
    }

    /** Sends a recorded cancellation to the parts that have not ended. */
    async deliverCancellation(entry: JobEntry): Promise<void> {
        const { partAccess } = this.context.dependencies;
        await Promise.all((entry.record.parts ?? []).map(async part => {
            const record = await this.readPart(part);
            const hasEnded = record.isOk() && (record.value === undefined || isFinished(record.value.state));
            return hasEnded || this.disposed ? undefined : partAccess?.cancelPart(part.id);
        }));
    }

    /** Polls the jobs that were polled least recently. */
    private pollNextJobs(): void {
        const { splitJobs } = this.context.jobRegistry;
        let remainingRunning = MAXIMUM_RUNNING_JOBS_PER_PERIOD;
        let remainingCancelled = MAXIMUM_CANCELLED_JOBS_PER_PERIOD;
        for (const entry of [...splitJobs]) {
            const isCancelled = isFinished(entry.record.state);
            if (this.entriesInProgress.has(entry) || (isCancelled ? remainingCancelled : remainingRunning) <= 0) {
                continue;
            }
            if (isCancelled) {
                remainingCancelled--;
            }
            else {
                remainingRunning--;
            }
            splitJobs.delete(entry);
            splitJobs.add(entry);
            this.entriesInProgress.add(entry);
            void this.pollJob(entry).finally(() => this.entriesInProgress.delete(entry));
        }
    }

    private async pollJob(entry: JobEntry): Promise<void> {
        if (isFinished(entry.record.state) && entry.pendingWrites === 0) {
            await this.deliverCancellation(entry);
        }
        await this.finishIfPartsEnded(entry);
    }

    /** Records the end of the job if all of its parts have ended. */
    private async finishIfPartsEnded(entry: JobEntry): Promise<void> {
        const records = await this.readEndedParts(entry);
        const { id } = entry.record;
        if (records === undefined || this.disposed || entry.record.finishedAt !== undefined) {
            return;
        }
        const { jobRegistry, dependencies } = this.context;
        if (jobRegistry.get(id) !== entry) {
            return;
        }
        const finishTimes = records.map(({ finishedAt }) => finishedAt ?? 0);
        const finishedAt = Math.max(...finishTimes, 0) || dependencies.timers.wallClock();
        const state = isFinished(entry.record.state)
            ? entry.record.state
            : stateFromParts(records.map(record => record.state));
        entry.record = { ...entry.record, state, finishedAt };
        jobRegistry.splitJobs.delete(entry);
        jobRegistry.markChanged(entry);
        await this.lifecycle.persistRecord(entry);
    }

    /** Records of the parts, or `undefined` if a part has not ended or cannot be read. */
    private async readEndedParts(entry: JobEntry): Promise<readonly JobRecord[] | undefined> {
        const records: JobRecord[] = [];
        for (const part of entry.record.parts ?? []) {
            const record = await this.readPart(part);
            if (record.isErr() || (record.value !== undefined && !isFinished(record.value.state))) {
                return undefined;
            }
            records.push(...(record.value === undefined ? [] : [record.value]));
        }
        return records;
    }

    /** Reads a part in its current shard. A part without a record has ended and was removed by retention. */
    private readPart(part: JobPart): Promise<Result<JobRecord | undefined, ServiceError>> {
        return readMovedRecord(this.context.dependencies.jobs, part.shard, part.id);
    }
}
