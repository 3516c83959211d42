/**
 * Moves jobs that wait here, and never started, to shards that can run them now: when this shard has no room while
 * another one has, or when this shard's failure domain was taken out. Takes in the jobs that others moved here.
 */
import { ErrorKind } from "@tanagerlink/errors";
import { FailureDomainState, isFinished, type JobRecord, TaskState } from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import { createJobEntry, type JobEntry, type TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import { shardOfJob } from "./submission.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";

/** Period of moves and of looking for arrivals, in milliseconds. */
const PERIOD_MILLISECONDS = 2_000;

/** Most jobs moved in a period, which bounds the writes and the error when many move to one shard. */
const MOVES_AT_ONCE = 10;

/** Most jobs for which a target is looked for in a period, and most jobs looked at; the next period goes on from there. */
const ASKED_AT_ONCE = 50;
const LOOKED_AT_ONCE = 2_000;

/** Least time that a job waits before it is moved, in milliseconds. */
const LEAST_WAIT_MILLISECONDS = 5_000;

/** Time without any worker after which a shard gives its waiting jobs away; a new owner needs some to read them. */
const WITHOUT_WORKER_MILLISECONDS = 3_000;

/** Moves of one shard. */
export class JobMoves implements Disposable {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly subscription: Subscription;
    private cursor: Iterator<JobEntry>;
    private arriving = false;
    private withoutWorkerSince: number | undefined;
    private disposed = false;

    constructor(context: ShardContext, lifecycle: TaskLifecycle) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.cursor = context.book.entries();
        this.subscription = context.dependencies.timers.every(PERIOD_MILLISECONDS, async () => {
            this.moveWaiting();
            await this.takeInArrivals();
            await this.forgetOnePointer();
        });
    }

    [Symbol.dispose](): void {
        this.disposed = true;
        this.subscription[Symbol.dispose]();
    }

    private moveWaiting(): void {
        const { moveTarget, timers } = this.context.dependencies;
        if (moveTarget === undefined || this.context.policy.waitingTaskCount() === 0) {
            return;
        }
        const out = this.failureDomainOut() || this.hasNoWorker();
        const waitingBefore = timers.now() - LEAST_WAIT_MILLISECONDS;
        let moves = 0;
        let asked = 0;
        for (let looked = 0; looked < LOOKED_AT_ONCE && asked < ASKED_AT_ONCE && moves < MOVES_AT_ONCE; looked++) {
            const next = this.cursor.next();
            if (next.done === true) {
                this.cursor = this.context.book.entries();
                return;
            }
            const entry = next.value;
            if (!isMovable(entry) || (!out && entry.waitingSince > waitingBefore)) {
                continue;
            }
            asked++;
            const target = moveTarget(entry.record, out);
            if (target !== undefined) {
                moves++;
                this.move(entry, target);
            }
        }
    }

    /** From here on this shard never starts the job, whatever becomes of the write. */
    private move(entry: JobEntry, target: string): void {
        const { id } = entry.record;
        const { jobs, logger } = this.context.dependencies;
        this.context.policy.removeJob(id);
        this.context.book.delete(id);
        this.context.book.moved.set(id, target);
        void this.context.writes.track(jobs.move(entry.record, target)).then(result => {
            if (result.isErr() && result.error.kind !== ErrorKind.StaleEpoch) {
                logger.warn({ job: id, target, error: result.error }, "job was not moved; the next owner reads it");
            }
        });
    }

    private async takeInArrivals(): Promise<void> {
        if (this.arriving) {
            return;
        }
        this.arriving = true;
        const { jobs } = this.context.dependencies;
        const { shard } = this.context;
        const records = await jobs.arrivals(shard);
        for (const record of records.isOk() ? records.value : []) {
            // Confirmed first: a former owner that does not know of its successor must not start the job.
            const confirmed = this.disposed ? undefined : await jobs.confirmArrival(shard, record.id);
            if (confirmed?.isOk() === true) {
                this.takeIn(record);
            }
        }
        this.arriving = false;
    }

    private takeIn(record: JobRecord): void {
        const { book } = this.context;
        // A part may have been loaded and moved on before its arrival was confirmed.
        const isElsewhere = record.movedTo !== undefined || book.moved.has(record.id);
        if (this.disposed || isElsewhere || book.get(record.id) !== undefined || isFinished(record.state)) {
            return;
        }
        const { timers } = this.context.dependencies;
        const entry = createJobEntry(record, timers.now(), timers.wallClock(), false);
        book.add(entry);
        this.lifecycle.enqueue(entry);
    }

    /** A pointer is kept as long as the record to which it points; one is looked up in each period. */
    private async forgetOnePointer(): Promise<void> {
        const { moved } = this.context.book;
        const [oldest] = moved;
        if (oldest === undefined) {
            return;
        }
        const [job, target] = oldest;
        const record = await this.context.dependencies.jobs.read(target, job);
        moved.delete(job);
        if (record.isOk() && record.value === undefined && !this.context.writes.pending) {
            this.context.dependencies.jobs.remove(this.context.shard, job);
        }
        else {
            moved.set(job, target);
        }
    }

    /** No worker has taken new work for a while, for example because the last one leaves. */
    private hasNoWorker(): boolean {
        const now = this.context.dependencies.timers.now();
        if (this.context.policy.availableCapacity().processorMillis > 0) {
            this.withoutWorkerSince = undefined;
            return false;
        }
        this.withoutWorkerSince ??= now;
        return now - this.withoutWorkerSince >= WITHOUT_WORKER_MILLISECONDS;
    }

    private failureDomainOut(): boolean {
        const configuration = this.context.dependencies.configuration();
        return configuration?.failureDomains[this.context.failureDomain]?.state === FailureDomainState.Out;
    }
}

/**
 * Jobs of which nothing runs or may run. Of a non-idempotent job nothing may ever have been started. A job moves at most
 * once, so that no cycle of pointers arises.
 */
function isMovable(entry: JobEntry): boolean {
    const { record } = entry;
    const settled = entry.pendingWrites === 0 && !isFinished(record.state) && record.intents.length === 0
        && shardOfJob(record.id) === record.shard && record.parts === undefined;
    if (!settled) {
        return false;
    }
    const waits = (task: TaskEntry): boolean => task.state === TaskState.Waiting && !task.recovering;
    return record.specification.idempotent && !record.specification.allAtOnce
        ? entry.tasks.every(task => waits(task) || task.state === TaskState.Succeeded) && entry.tasks.some(waits)
        : entry.tasks.every(task => waits(task) && !task.everPlaced);
}
