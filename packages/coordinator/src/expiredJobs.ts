/**
 * Removes the records of ended jobs after their retention. A job record without progress looks like a job that has not
 * begun, and the records lie in different partitions, which a transaction cannot span. The job record therefore goes
 * first, and the progress only once that removal is certain. What an interruption leaves in between is progress without
 * a job, which the next owner removes.
 */
import type { RecordStore } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { CellJobs, ExpiredJob } from "./cellJobs.ts";
import { CANCELLATIONS_TABLE, JOBS_TABLE, partitionOf } from "./jobTables.ts";

/** The store accepts 100 entries in a transaction; each job takes three of them. */
const MAXIMUM_JOBS_PER_TRANSACTION = 30;
/** Time for which a listing that was read before a removal may still arrive. */
const LATE_LISTING_MILLISECONDS = 60_000;
/** Delay after a failed transaction. */
const RETRY_DELAY_MILLISECONDS = 1_000;

export interface ExpiredJobsOptions {
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly jobs: CellJobs;
    /** Retention of ended jobs. */
    readonly retentionMilliseconds: number;
    /** Called for each job whose record is certainly removed, and whose identifier is not used again yet. */
    readonly onRemoved: (id: string) => void;
}

export class ExpiredJobs implements Disposable {
    private readonly options: ExpiredJobsOptions;
    private isRemoving = false;
    private isStopped = false;
    private retryAt = -Infinity;

    constructor(options: ExpiredJobsOptions) {
        this.options = options;
    }

    /** Starts to remove the records of jobs whose retention is over, unless a removal is in progress. */
    remove(): void {
        const { timers, jobs, retentionMilliseconds } = this.options;
        const now = timers.now();
        if (this.isRemoving || this.isStopped || now < this.retryAt) {
            return;
        }
        jobs.forgetRemovedRecords(now - LATE_LISTING_MILLISECONDS);
        const expired = jobs.expiredJobs(now - retentionMilliseconds);
        if (expired.length > 0) {
            this.isRemoving = true;
            void this.removeAll(expired).finally(() => this.isRemoving = false);
        }
    }

    [Symbol.dispose](): void {
        this.isStopped = true;
    }

    private async removeAll(expired: readonly ExpiredJob[]): Promise<void> {
        const { timers } = this.options;
        for (const batch of groupIntoBatches(expired)) {
            const isComplete = await this.removeBatch(batch);
            if (this.isStopped) {
                return;
            }
            if (!isComplete) {
                this.retryAt = timers.now() + RETRY_DELAY_MILLISECONDS;
                return;
            }
        }
    }

    /**
     * Removes the job records and cancellations of one partition. A removal that is executed late, or twice, cannot hit
     * a later job with the same identifier, since it expects the versions of the records. Returns whether all are gone.
     */
    private async removeBatch(batch: readonly ExpiredJob[]): Promise<boolean> {
        const { store, logger, jobs, onRemoved } = this.options;
        const names = batch.map(({ id }) => ({ table: JOBS_TABLE, partition: partitionOf(id), key: id }));
        const outcome = await store.commit({
            expectations: batch.map(({ id, recordVersion }) => ({
                table: JOBS_TABLE,
                partition: partitionOf(id),
                key: id,
                expectedVersion: recordVersion,
            })),
            writes: [],
            removals: [...names, ...names.map(name => ({ ...name, table: CANCELLATIONS_TABLE }))],
        });
        if (outcome.isErr()) {
            logger.info(
                { jobs: batch.length, error: outcome.error.kind },
                "could not remove the records of expired jobs; retrying",
            );
            return false;
        }
        const remaining = outcome.value.committed ? [] : outcome.value.current;
        const removed = batch.filter(({ id, recordVersion }) =>
            !remaining.some(({ key, version }) => key === id && version === recordVersion)
        );
        for (const job of removed) {
            if (jobs.recordRemoval(job)) {
                onRemoved(job.id);
            }
        }
        return removed.length === batch.length;
    }
}

/** Groups jobs by the partition of their records. */
function groupIntoBatches(expired: readonly ExpiredJob[]): ExpiredJob[][] {
    const openBatches = new Map<string, ExpiredJob[]>();
    const batches: ExpiredJob[][] = [];
    for (const job of expired) {
        const partition = partitionOf(job.id);
        const batch = openBatches.get(partition);
        if (batch === undefined || batch.length >= MAXIMUM_JOBS_PER_TRANSACTION) {
            const started = [job];
            openBatches.set(partition, started);
            batches.push(started);
        }
        else {
            batch.push(job);
        }
    }
    return batches;
}
