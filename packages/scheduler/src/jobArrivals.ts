/** Takes in the jobs that other shards moved to this one. */
import { isFinished, type JobRecord } from "@tanagerlink/model";
import { createJobEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";

/** While nothing arrives, arrivals are looked for in every second period only. */
const IDLE_PERIODS = 2;

/** Arrivals of one shard. */
export class JobArrivals implements Disposable {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private arriving = false;
    private disposed = false;
    private idlePeriods = 0;

    constructor(context: ShardContext, lifecycle: TaskLifecycle) {
        this.context = context;
        this.lifecycle = lifecycle;
    }

    [Symbol.dispose](): void {
        this.disposed = true;
    }

    /** Called in each period, while no move is being written. */
    async takeIn(): Promise<void> {
        this.idlePeriods++;
        if (this.arriving || this.idlePeriods < IDLE_PERIODS) {
            return;
        }
        this.arriving = true;
        const { jobs } = this.context.dependencies;
        const arrivals = await jobs.arrivals(this.context.shard);
        const records = new Map(arrivals.unwrapOr([]).map(record => [record.id, record]));
        if (!this.disposed && records.size > 0) {
            // Confirmed first: a former owner that does not know of its successor must not start the jobs.
            const confirmed = await jobs.confirmArrivals(this.context.shard, [...records.keys()]);
            confirmed.unwrapOr([]).forEach(id => this.enqueue(records.get(id)));
        }
        this.idlePeriods = records.size > 0 ? IDLE_PERIODS : 0;
        this.arriving = false;
    }

    /** The arrival of a job may be confirmed after the job was read by a new owner, and even after it moved on. */
    private enqueue(record: JobRecord | undefined): void {
        const { book, dependencies } = this.context;
        const known = record === undefined || book.get(record.id) !== undefined || record.movedTo !== undefined;
        if (known || this.disposed || isFinished(record.state)) {
            return;
        }
        // The job has come back. No move of it is under way, so the record that was read is not an older one.
        book.moved.delete(record.id);
        const { timers } = dependencies;
        const entry = createJobEntry(record, timers.now(), timers.wallClock(), false);
        book.add(entry);
        this.lifecycle.enqueue(entry);
    }
}
