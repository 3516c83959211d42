/** Confirms and enqueues the jobs that other shards have moved to this one. */
import { isFinished, type JobRecord } from "@tanagerlink/model";
import { createJobEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";

/** While nothing arrives, the table is polled for arrivals in every second period only. */
const IDLE_POLL_INTERVAL_PERIODS = 2;

/** Processes the arrivals of one shard. */
export class JobArrivals implements Disposable {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private isProcessing = false;
    private disposed = false;
    private periodsSincePoll = 0;

    constructor(context: ShardContext, lifecycle: TaskLifecycle) {
        this.context = context;
        this.lifecycle = lifecycle;
    }

    [Symbol.dispose](): void {
        this.disposed = true;
    }

    /** Polls for arrivals. Called once in each period of the mover, never while moves are being written. */
    async processArrivals(): Promise<void> {
        this.periodsSincePoll++;
        if (this.isProcessing || this.periodsSincePoll < IDLE_POLL_INTERVAL_PERIODS) {
            return;
        }
        this.isProcessing = true;
        const { jobs } = this.context.dependencies;
        const arrivals = await jobs.arrivals(this.context.shard);
        const records = new Map(arrivals.unwrapOr([]).map(record => [record.id, record]));
        if (!this.disposed && records.size > 0) {
            // Confirming first prevents a previous owner that is unaware of its successor from starting the jobs.
            const confirmed = await jobs.confirmArrivals(this.context.shard, [...records.keys()]);
            confirmed.unwrapOr([]).forEach(id => this.enqueue(records.get(id)));
        }
        this.periodsSincePoll = records.size > 0 ? IDLE_POLL_INTERVAL_PERIODS : 0;
        this.isProcessing = false;
    }

    /** Enqueues an arrived job, unless this owner has already loaded it or it has been moved on to another shard. */
    private enqueue(record: JobRecord | undefined): void {
        const { jobRegistry, dependencies } = this.context;
        const isObsolete = record === undefined || jobRegistry.get(record.id) !== undefined ||
            record.movedTo !== undefined;
        if (isObsolete || this.disposed || isFinished(record.state)) {
            return;
        }
        // The job may have returned to this shard. No move of it is in progress, so the record is current.
        jobRegistry.movedJobs.delete(record.id);
        const { timers } = dependencies;
        const entry = createJobEntry(record, timers.now(), timers.wallClock(), false);
        jobRegistry.add(entry);
        this.lifecycle.enqueueJob(entry);
    }
}
