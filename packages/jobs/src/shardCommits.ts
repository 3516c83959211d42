/**
 * Group commit of one shard's job records. At most one transaction is in flight. If its outcome is unknown, it is
 * retried unchanged until it takes effect or the conflicting rows carry its identifier, which shows that an earlier
 * attempt took effect. Records that arrive in the meantime are coalesced per job and written by the next transaction.
 * Every transaction is conditional on the shard's epoch row, so that nothing takes effect after a takeover.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableRow, TableService } from "@tanagerlink/platform";
import { sleep, type Timers, withDeadline } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { buildBatch, type CommitBatch, selectJobs, submissionKeyOf } from "./commitBatch.ts";
import {
    buildMoveWrites,
    commitJobWrites,
    type JobMove,
    readTargetVersion,
    type TransactionContext,
} from "./jobMove.ts";
import {
    arrivalPrefix,
    isArrivalKey,
    jobKey,
    type JobRowValue,
    parseJobRow,
    parseSubmissionRow,
    specificationDigest,
    submissionKeyOfRow,
} from "./jobRow.ts";
import type { JobRowVersions } from "./jobRowVersions.ts";
import type { AcceptedJob } from "./jobStore.ts";
import { PendingJob } from "./pendingJob.ts";
import { TransactionRetrier } from "./transactionRetrier.ts";

/** Upper bound of the exponential backoff, as a multiple of the retry delay. */
const MAXIMUM_RETRY_FACTOR = 8;

/** Bounds of the group commit. */
export interface CommitBounds {
    /** How long a record waits for others to share its transaction. */
    readonly batchDelayMilliseconds: number;
    /** Maximum number of records in one transaction, including the parts of split jobs. */
    readonly maximumBatchRecords: number;
    /**
     * Maximum number of new jobs that wait for the table; further ones are refused. Updates are not counted, as they
     * add at most one pending record for each stored job.
     */
    readonly maximumPendingJobs: number;
    /** Delay after a failed transaction; doubled with each failure, up to eight times this value. */
    readonly retryDelayMilliseconds: number;
    /** Without an answer within this time, the outcome of a transaction counts as unknown. */
    readonly answerTimeoutMilliseconds: number;
}

export const defaultCommitBounds: CommitBounds = {
    batchDelayMilliseconds: 25,
    maximumBatchRecords: 100,
    maximumPendingJobs: 10_000,
    retryDelayMilliseconds: 250,
    answerTimeoutMilliseconds: 10_000,
};

/** Options of the group commit of one shard. */
export interface ShardCommitsOptions {
    readonly shard: string;
    readonly epoch: number;
    /** Condition on the epoch row, which is met until a newer owner takes over the shard. */
    readonly condition: RowCondition;
    readonly timers: Timers;
    readonly table: TableService;
    readonly nextTransactionId: () => string;
    readonly rowVersions: JobRowVersions;
    readonly bounds: CommitBounds;
}

/** @internal */
export class ShardCommits {
    private readonly options: ShardCommitsOptions;
    /** Jobs with unwritten records, ordered by the first of these. */
    private readonly pendingJobs = new Map<string, PendingJob>();
    /** Identifiers of new jobs that are neither accepted nor refused yet, in order of arrival. */
    private readonly newJobs = new Set<string>();
    /** Ends the wait for further records of the next batch. */
    private batchReady = new AbortController();
    private commitLoop: Promise<void> | undefined;
    /** The batch that was sent and whose outcome is not known yet. */
    private batchInFlight: CommitBatch | undefined;
    private isTableDown = false;
    private closeError: ServiceError | undefined;
    private readonly arrivalVersions = new Map<string, number>();
    private readonly transactionContext: TransactionContext;

    constructor(options: ShardCommitsOptions) {
        this.options = options;
        const { condition, timers, table, nextTransactionId } = options;
        this.transactionContext = {
            condition,
            timers,
            nextTransactionId,
            transactions: new TransactionRetrier(table, timers),
            closeError: () => this.closeError,
        };
    }

    get rowVersions(): JobRowVersions {
        return this.options.rowVersions;
    }

    /** Refuses a new job at once while the table is known to be down, instead of waiting for the end of the outage. */
    async accept(record: JobRecord, idempotencyKey: string | undefined): Promise<Result<AcceptedJob, ServiceError>> {
        if (this.isTableDown || this.newJobs.size >= this.options.bounds.maximumPendingJobs) {
            return err(notAcceptedError);
        }
        this.newJobs.add(record.id);
        try {
            return await this.enqueue(new PendingJob(record, idempotencyKey));
        }
        finally {
            this.newJobs.delete(record.id);
        }
    }

    /** Resolves when this record or a later one of the job is durable. */
    async update(record: JobRecord): Promise<Result<void, ServiceError>> {
        const pending = this.pendingJobs.get(record.id);
        if (pending?.isRemoved === true || (pending === undefined && this.rowVersions.get(record.id) === undefined)) {
            return err(
                this.closeError ?? serviceError(ErrorKind.JobNotFound, `Job ${record.id} has no record to update.`),
            );
        }
        pending?.replace(record);
        return (await this.enqueue(pending ?? new PendingJob(record))).map(() => undefined);
    }

    remove(id: string): void {
        const job = this.pendingJobs.get(id);
        if (job !== undefined || this.rowVersions.get(id) !== undefined) {
            const removed = job ?? new PendingJob({ id } as JobRecord);
            removed.remove();
            void this.enqueue(removed);
        }
    }

    /**
     * Moves jobs without unwritten changes to other shards; nothing may be written for them in this shard afterwards.
     */
    async move(moves: readonly JobMove[]): Promise<Result<readonly string[], ServiceError>> {
        const writes = new Map<string, readonly ConditionalWrite[]>();
        await Promise.all(moves.map(async move => {
            const { id } = move.record;
            const version = await readTargetVersion(this.transactionContext, this.options.table, move);
            const stored = this.rowVersions.get(id);
            if (stored !== undefined && version !== undefined && !this.pendingJobs.has(id)) {
                writes.set(id, buildMoveWrites(move, stored, version));
            }
        }));
        const moved = await commitJobWrites(this.transactionContext, writes);
        for (const id of moved.isOk() ? moved.value : []) {
            const stored = this.rowVersions.get(id);
            this.rowVersions.set(id, (stored?.version ?? 0) + 1, stored?.submissionKey);
        }
        return moved;
    }

    /** Records the row versions of a job that was moved to this shard. */
    recordArrival(arrivalRow: TableRow, jobRow: TableRow, value: JobRowValue): void {
        this.arrivalVersions.set(value.record.id, arrivalRow.version);
        if ((this.rowVersions.get(value.record.id)?.version ?? 0) < jobRow.version) {
            this.rowVersions.set(value.record.id, jobRow.version, submissionKeyOfRow(value));
        }
    }

    /** Deletes the arrival rows of jobs that were moved to this shard. */
    async confirmArrivals(ids: readonly string[]): Promise<Result<readonly string[], ServiceError>> {
        const prefix = arrivalPrefix(this.options.shard);
        const writes = new Map(ids.map(id => {
            const expectedVersion = this.arrivalVersions.get(id) ?? 0;
            return [id, [{ key: `${prefix}${id}`, expectedVersion, value: undefined }]] as const;
        }));
        const confirmed = await commitJobWrites(this.transactionContext, writes);
        for (const id of confirmed.isOk() ? confirmed.value : []) {
            this.arrivalVersions.delete(id);
        }
        return confirmed;
    }

    /** Commits without further delay; resolves when nothing is pending any more. */
    async flush(): Promise<void> {
        while (this.commitLoop !== undefined) {
            this.batchReady.abort();
            await this.commitLoop;
        }
    }

    /** Stops sending and fails all pending jobs: those in flight with an unknown outcome, the others with the error. */
    close(error: ServiceError): void {
        this.closeError ??= error;
        this.batchReady.abort();
        const sent = new Set(this.batchInFlight?.items.map(item => item.job));
        this.pendingJobs.forEach(job => job.fail(sent.has(job) ? outcomeUnknownError : error));
        this.pendingJobs.clear();
    }

    private async enqueue(job: PendingJob): Promise<Result<AcceptedJob, ServiceError>> {
        if (this.closeError !== undefined) {
            return err(this.closeError);
        }
        this.pendingJobs.set(job.record.id, job);
        const durable = job.waitUntilDurable();
        if (this.pendingJobs.size >= this.options.bounds.maximumBatchRecords) {
            this.batchReady.abort();
        }
        this.commitLoop ??= this.runCommitLoop();
        return await durable;
    }

    /** Commits batch after batch while anything is pending. */
    private async runCommitLoop(): Promise<void> {
        const { timers, bounds, shard, condition, nextTransactionId, rowVersions } = this.options;
        while (this.pendingJobs.size > 0 && this.closeError === undefined) {
            this.batchReady = new AbortController();
            if (this.pendingJobs.size < bounds.maximumBatchRecords) {
                await sleep(timers, bounds.batchDelayMilliseconds, this.batchReady.signal);
            }
            const jobs = selectJobs(this.jobsInCommitOrder(), bounds.maximumBatchRecords);
            await this.sendBatch(buildBatch(shard, nextTransactionId(), condition, jobs, rowVersions));
        }
        this.commitLoop = undefined;
    }

    /** New jobs first: their callers wait, and a burst of updates must not delay them. */
    private *jobsInCommitOrder(): Iterable<PendingJob> {
        for (const id of this.newJobs) {
            const job = this.pendingJobs.get(id);
            if (job !== undefined) {
                yield job;
            }
        }
        for (const [id, job] of this.pendingJobs) {
            if (!this.newJobs.has(id)) {
                yield job;
            }
        }
    }

    /** Sends the batch until its outcome is known, or until the table has failed and it certainly had no effect. */
    private async sendBatch(batch: CommitBatch): Promise<void> {
        const { timers, table, bounds } = this.options;
        let isOutcomeUnknown = false;
        this.batchInFlight = batch;
        for (let factor = 1; this.closeError === undefined; factor = Math.min(factor * 2, MAXIMUM_RETRY_FACTOR)) {
            const sent = table.transact(batch.transaction);
            const outcome = await withDeadline(timers, bounds.answerTimeoutMilliseconds, sent) ??
                err(outcomeUnknownError);
            if (outcome.isOk()) {
                this.isTableDown = false;
                this.batchInFlight = undefined;
                if (outcome.value.committed) {
                    this.markCommitted(batch, outcome.value.versions);
                }
                else {
                    await this.resolveConflict(batch, outcome.value.conflicts, outcome.value.rows, isOutcomeUnknown);
                }
                return;
            }
            this.isTableDown = true;
            isOutcomeUnknown ||= outcome.error.kind !== ErrorKind.StoreUnavailable;
            if (!isOutcomeUnknown) {
                this.batchInFlight = undefined;
                this.refuseNewJobs(batch);
            }
            await sleep(timers, bounds.retryDelayMilliseconds * factor);
            if (!isOutcomeUnknown) {
                this.isTableDown = false;
                return;
            }
        }
    }

    private markCommitted(batch: CommitBatch, versions: Readonly<Record<string, number>>): void {
        for (const { job, revision, isDeletion } of batch.items) {
            const { id } = job.record;
            if (this.pendingJobs.get(id) !== job) {
                continue;
            }
            const stored = this.rowVersions.get(id);
            const version = versions[jobKey(this.options.shard, id)] ?? (stored?.version ?? 0) + 1;
            if (isDeletion) {
                this.rowVersions.delete(id);
            }
            else {
                this.rowVersions.set(id, version, stored?.submissionKey ?? submissionKeyOf(job));
            }
            this.pendingJobs.delete(id);
            if (job.markDurable(revision)) {
                // Moves the job to the end of the order, so that one that changes constantly does not delay the others.
                this.pendingJobs.set(id, job);
            }
        }
    }

    private async resolveConflict(
        batch: CommitBatch,
        conflicts: readonly string[],
        rows: readonly TableRow[],
        wasOutcomeUnknown: boolean,
    ): Promise<void> {
        const { condition, shard, epoch } = this.options;
        const isGone = (key: string): boolean => conflicts.includes(key) && rows.every(row => row.key !== key);
        // A batch of deletions leaves no rows with its identifier; it took effect if all of its rows are gone.
        const isAlreadyDeleted = batch.items.every(item => item.isDeletion)
            && batch.transaction.writes.every(write => isGone(write.key));
        const tookEffect = isAlreadyDeleted || rows.some(row => row.transactionId === batch.transaction.id);
        if (tookEffect) {
            this.markCommitted(batch, {});
        }
        if (conflicts.includes(condition.key)) {
            // If a newer owner has changed every row since, an earlier attempt may have taken effect. A single row that
            // still has the expected version shows that none did, since all rows are written together. Arrival rows
            // prove nothing, because the owner of the target shard deletes them.
            const permanentWrites = batch.transaction.writes.filter(write => !isArrivalKey(write.key));
            const mayHaveTakenEffect = wasOutcomeUnknown &&
                permanentWrites.every(write => conflicts.includes(write.key));
            this.batchInFlight = mayHaveTakenEffect && !tookEffect ? batch : undefined;
            this.close(
                serviceError(
                    ErrorKind.StaleEpoch,
                    `Shard ${shard} has a newer owner; epoch ${epoch} is stale.`,
                ),
            );
        }
        if (tookEffect || this.closeError !== undefined) {
            return;
        }
        const rowsByKey = new Map(rows.map(row => [row.key, row]));
        await Promise.all(batch.items.map(({ job }) => this.resolveJobConflict(job, conflicts, rowsByKey)));
    }

    /** Fails a job with a conflict, or corrects its recorded row versions so that the next batch can write it. */
    private async resolveJobConflict(
        job: PendingJob,
        conflicts: readonly string[],
        rows: ReadonlyMap<string, TableRow>,
    ): Promise<void> {
        const { id } = job.record;
        const key = jobKey(this.options.shard, id);
        const stored = this.rowVersions.get(id);
        const rowKey = stored === undefined ? submissionKeyOf(job) : stored.submissionKey;
        if (conflicts.includes(key)) {
            this.pendingJobs.delete(id);
            this.rowVersions.delete(id);
            job.fail(
                serviceError(
                    ErrorKind.Internal,
                    `The row of job ${id} was changed by another writer than the owner of its shard.`,
                ),
            );
        }
        else if (rowKey !== undefined && conflicts.includes(rowKey)) {
            const row = rows.get(rowKey);
            if (stored !== undefined) {
                const isOwn = row !== undefined && parseSubmissionRow(row)?.job === id;
                this.rowVersions.setSubmissionVersion(id, isOwn ? row.version : undefined);
            }
            else if (row !== undefined) {
                this.pendingJobs.delete(id);
                await this.resolveRepeatedSubmission(job, row);
            }
        }
    }

    private async resolveRepeatedSubmission(job: PendingJob, row: TableRow): Promise<void> {
        const original = parseSubmissionRow(row);
        if (original === undefined || original.digest !== specificationDigest(job.record.specification)) {
            const message = "The idempotency key was used for another submission; use a new key for a new job.";
            job.fail(serviceError(ErrorKind.IdempotencyKeyConflict, message));
            return;
        }
        const record = await this.readJob(original.shard, original.job);
        if (record === undefined) {
            job.fail(
                serviceError(
                    ErrorKind.StoreUnavailable,
                    `Job ${original.job} of this idempotency key could not be read; retry later.`,
                ),
            );
        }
        else {
            job.resolveAsRepeated(record);
        }
    }

    /** Reads a job, following pointers to the shard to which it was moved. */
    private async readJob(shard: string, job: string): Promise<JobRecord | undefined> {
        const read = await this.options.table.read(jobKey(shard, job));
        const record = read.isOk() && read.value !== undefined ? parseJobRow(read.value)?.record : undefined;
        return record?.movedTo === undefined ? record : await this.readJob(record.movedTo, job);
    }

    /** Refuses the new jobs of a batch that certainly had no effect. Its updates stay pending. */
    private refuseNewJobs(batch: CommitBatch): void {
        for (const { job } of batch.items) {
            if (this.rowVersions.get(job.record.id) === undefined) {
                this.pendingJobs.delete(job.record.id);
                job.fail(notAcceptedError);
            }
        }
    }
}

const notAcceptedError = serviceError(
    ErrorKind.StoreUnavailable,
    "The job was not accepted: the table is unavailable, or too many new jobs wait for it.",
);
const outcomeUnknownError = serviceError(
    ErrorKind.StoreOutcomeUnknown,
    "The table did not confirm whether the record was written.",
);
