/**
 * Group commit of one shard's job records. At most one transaction is under way. One whose outcome is unknown is sent
 * again unchanged until it is decided: it either takes effect, or the conflicting rows carry its identifier, which shows
 * that it took effect before. Records that arrive meanwhile are coalesced per job and go with the next transaction.
 * Every transaction has the shard's epoch row as a condition, so nothing takes effect after a takeover.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableRow, TableService } from "@tanagerlink/platform";
import { sleep, type Timers, withDeadline } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { type Batch, buildBatch, chooseJobs, submissionKeyOf } from "./commitBatch.ts";
import { commitMoves, type JobMove, type MoveContext, moveWrites, targetVersion } from "./jobMove.ts";
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
import type { AcceptedJob } from "./jobStore.ts";
import type { KnownJobs } from "./knownJobs.ts";
import { PendingJob } from "./pendingJob.ts";
import { ResentTransactions } from "./resentTransactions.ts";

/** Greatest factor by which the pause between retries grows. */
const MAXIMUM_RETRY_FACTOR = 8;

/** Bounds of the group commit. */
export interface CommitBounds {
    /** Longest time that a record waits for others to join its transaction, in milliseconds. */
    readonly commitMilliseconds: number;
    /** Jobs in one transaction at most. */
    readonly commitRecords: number;
    /** New jobs that may wait for the table; further ones are refused. Updates add at most one for each known job. */
    readonly maximumPendingJobs: number;
    /** Pause after a failed transaction in milliseconds, doubled up to eight times this value. */
    readonly retryMilliseconds: number;
    /** A transaction without an answer for this long counts as one with an unknown outcome. */
    readonly answerMilliseconds: number;
}

export const defaultCommitBounds: CommitBounds = {
    commitMilliseconds: 25,
    commitRecords: 100,
    maximumPendingJobs: 10_000,
    retryMilliseconds: 250,
    answerMilliseconds: 10_000,
};

/** What the commits of one shard are made with. */
export interface ShardCommitsOptions {
    readonly shard: string;
    readonly epoch: number;
    /** Condition that holds as long as no newer owner took the shard over. */
    readonly condition: RowCondition;
    readonly timers: Timers;
    readonly table: TableService;
    readonly nextTransactionId: () => string;
    readonly known: KnownJobs;
    readonly bounds: CommitBounds;
}

/** @internal */
export class ShardCommits {
    private readonly options: ShardCommitsOptions;
    /** In the order in which jobs got their first unwritten record. */
    private readonly pending = new Map<string, PendingJob>();
    /** Identifiers of new jobs whose acceptance is not settled, in the order of their arrival. */
    private readonly newJobs = new Set<string>();
    private full = new AbortController();
    private running: Promise<void> | undefined;
    /** The batch that was sent and isn't decided. */
    private inFlight: Batch | undefined;
    private storeDown = false;
    private closedBy: ServiceError | undefined;
    private readonly arrivalVersions = new Map<string, number>();
    private readonly moveContext: MoveContext;

    constructor(options: ShardCommitsOptions) {
        this.options = options;
        const { condition, timers, table, nextTransactionId } = options;
        this.moveContext = {
            condition,
            timers,
            nextTransactionId,
            transactions: new ResentTransactions(table, timers),
            closedBy: () => this.closedBy,
        };
    }

    get known(): KnownJobs {
        return this.options.known;
    }

    /** While the table is known to be down, a new job is refused at once instead of waiting for the outage to end. */
    async accept(record: JobRecord, idempotencyKey: string | undefined): Promise<Result<AcceptedJob, ServiceError>> {
        if (this.storeDown || this.newJobs.size >= this.options.bounds.maximumPendingJobs) {
            return err(notAccepted);
        }
        this.newJobs.add(record.id);
        try {
            return await this.add(new PendingJob(record, idempotencyKey));
        }
        finally {
            this.newJobs.delete(record.id);
        }
    }

    /** Resolves when this record, or a later one of the job, is durable. */
    async update(record: JobRecord): Promise<Result<void, ServiceError>> {
        const pending = this.pending.get(record.id);
        if (pending?.removed === true || (pending === undefined && this.known.get(record.id) === undefined)) {
            return err(this.closedBy ?? serviceError(ErrorKind.JobNotFound, `Job ${record.id} has no record.`));
        }
        pending?.replace(record);
        return (await this.add(pending ?? new PendingJob(record))).map(() => undefined);
    }

    remove(id: string): void {
        const job = this.pending.get(id);
        if (job !== undefined || this.known.get(id) !== undefined) {
            const removed = job ?? new PendingJob({ id } as JobRecord);
            removed.remove();
            void this.add(removed);
        }
    }

    /** Moves jobs without unwritten changes to other shards; nothing may be written for them here afterwards. */
    async move(moves: readonly JobMove[]): Promise<Result<readonly string[], ServiceError>> {
        const writes = new Map<string, readonly ConditionalWrite[]>();
        await Promise.all(moves.map(async move => {
            const { id } = move.record;
            const version = await targetVersion(this.moveContext, this.options.table, move);
            const known = this.known.get(id);
            if (known !== undefined && version !== undefined && !this.pending.has(id)) {
                writes.set(id, moveWrites(move, known, version));
            }
        }));
        const moved = await commitMoves(this.moveContext, writes);
        for (const id of moved.isOk() ? moved.value : []) {
            const known = this.known.get(id);
            this.known.set(id, (known?.version ?? 0) + 1, known?.submission);
        }
        return moved;
    }

    /** Takes over the versions of the rows of a job that was moved to this shard. */
    arrived(arrival: TableRow, row: TableRow, value: JobRowValue): void {
        this.arrivalVersions.set(value.record.id, arrival.version);
        if ((this.known.get(value.record.id)?.version ?? 0) < row.version) {
            this.known.set(value.record.id, row.version, submissionKeyOfRow(value));
        }
    }

    /** Deletes the arrival rows of jobs that were moved to this shard. */
    async confirmArrivals(ids: readonly string[]): Promise<Result<readonly string[], ServiceError>> {
        const prefix = arrivalPrefix(this.options.shard);
        const writes = new Map(ids.map(id => {
            const expectedVersion = this.arrivalVersions.get(id) ?? 0;
            return [id, [{ key: `${prefix}${id}`, expectedVersion, value: undefined }]] as const;
        }));
        const confirmed = await commitMoves(this.moveContext, writes);
        for (const id of confirmed.isOk() ? confirmed.value : []) {
            this.arrivalVersions.delete(id);
        }
        return confirmed;
    }

    /** Resolves when nothing is pending any more. */
    async flush(): Promise<void> {
        while (this.running !== undefined) {
            this.full.abort();
            await this.running;
        }
    }

    /** Nothing more is sent. Everything pending fails: with the error, or as unknown where a write was under way. */
    close(error: ServiceError): void {
        this.closedBy ??= error;
        this.full.abort();
        const sent = new Set(this.inFlight?.items.map(item => item.job));
        this.pending.forEach(job => job.fail(sent.has(job) ? outcomeUnknown : error));
        this.pending.clear();
    }

    private async add(job: PendingJob): Promise<Result<AcceptedJob, ServiceError>> {
        if (this.closedBy !== undefined) {
            return err(this.closedBy);
        }
        this.pending.set(job.record.id, job);
        const settled = job.wait();
        if (this.pending.size >= this.options.bounds.commitRecords) {
            this.full.abort();
        }
        this.running ??= this.run();
        return await settled;
    }

    /** Runs while anything is pending. */
    private async run(): Promise<void> {
        const { timers, bounds, shard, condition, nextTransactionId, known } = this.options;
        while (this.pending.size > 0 && this.closedBy === undefined) {
            this.full = new AbortController();
            if (this.pending.size < bounds.commitRecords) {
                await sleep(timers, bounds.commitMilliseconds, this.full.signal);
            }
            const jobs = chooseJobs(this.inOrder(), bounds.commitRecords);
            await this.commit(buildBatch(shard, nextTransactionId(), condition, jobs, known));
        }
        this.running = undefined;
    }

    /** New jobs first: their callers wait, and a burst of updates must not hold them up. */
    private *inOrder(): Iterable<PendingJob> {
        for (const id of this.newJobs) {
            const job = this.pending.get(id);
            if (job !== undefined) {
                yield job;
            }
        }
        for (const [id, job] of this.pending) {
            if (!this.newJobs.has(id)) {
                yield job;
            }
        }
    }

    /** Sends the batch until it is decided, or until it certainly had no effect. */
    private async commit(batch: Batch): Promise<void> {
        const { timers, table, bounds } = this.options;
        let undecided = false;
        this.inFlight = batch;
        for (let factor = 1; this.closedBy === undefined; factor = Math.min(factor * 2, MAXIMUM_RETRY_FACTOR)) {
            const sent = table.transact(batch.transaction);
            const answer = await withDeadline(timers, bounds.answerMilliseconds, sent) ?? err(outcomeUnknown);
            if (answer.isOk()) {
                this.storeDown = false;
                this.inFlight = undefined;
                if (answer.value.committed) {
                    this.settle(batch, answer.value.versions);
                }
                else {
                    await this.resolveConflict(batch, answer.value.conflicts, answer.value.rows, undecided);
                }
                return;
            }
            this.storeDown = true;
            undecided ||= answer.error.kind !== ErrorKind.StoreUnavailable;
            if (!undecided) {
                this.inFlight = undefined;
                this.refuseNewJobs(batch);
            }
            await sleep(timers, bounds.retryMilliseconds * factor);
            if (!undecided) {
                this.storeDown = false;
                return;
            }
        }
    }

    private settle(batch: Batch, versions: Readonly<Record<string, number>>): void {
        for (const { job, revision, removes } of batch.items) {
            const { id } = job.record;
            if (this.pending.get(id) !== job) {
                continue;
            }
            const known = this.known.get(id);
            const version = versions[jobKey(this.options.shard, id)] ?? (known?.version ?? 0) + 1;
            if (removes) {
                this.known.delete(id);
            }
            else {
                this.known.set(id, version, known?.submission ?? submissionKeyOf(job));
            }
            this.pending.delete(id);
            if (job.settle(revision)) {
                // Back to the end of the order, so that a job that changes all the time doesn't hold up the others.
                this.pending.set(id, job);
            }
        }
    }

    private async resolveConflict(
        batch: Batch,
        conflicts: readonly string[],
        rows: readonly TableRow[],
        wasUndecided: boolean,
    ): Promise<void> {
        const { condition, shard, epoch } = this.options;
        const isGone = (key: string): boolean => conflicts.includes(key) && rows.every(row => row.key !== key);
        // A batch of deletions leaves no row with its identifier; it took effect if all of its rows are gone.
        const deletedBefore = batch.items.every(item => item.removes)
            && batch.transaction.writes.every(write => isGone(write.key));
        const tookEffect = deletedBefore || rows.some(row => row.transactionId === batch.transaction.id);
        if (tookEffect) {
            this.settle(batch, {});
        }
        if (conflicts.includes(condition.key)) {
            // If a newer owner changed every row since, an earlier sending may have taken effect before. A row that
            // still has the expected version shows that none did, since all rows are written together. Arrival rows show
            // nothing: the receiver deletes them.
            const lasting = batch.transaction.writes.filter(write => !isArrivalKey(write.key));
            const mayHave = wasUndecided && lasting.every(write => conflicts.includes(write.key));
            this.inFlight = mayHave && !tookEffect ? batch : undefined;
            this.close(serviceError(ErrorKind.StaleEpoch, `Shard ${shard} has an owner after epoch ${epoch}.`));
        }
        if (tookEffect || this.closedBy !== undefined) {
            return;
        }
        const found = new Map(rows.map(row => [row.key, row]));
        await Promise.all(batch.items.map(({ job }) => this.resolveJob(job, conflicts, found)));
    }

    /** Takes a job with a conflict out of the pending ones, or corrects what is known of it; the rest is sent again. */
    private async resolveJob(
        job: PendingJob,
        conflicts: readonly string[],
        rows: ReadonlyMap<string, TableRow>,
    ): Promise<void> {
        const { id } = job.record;
        const key = jobKey(this.options.shard, id);
        const known = this.known.get(id);
        const submission = known === undefined ? submissionKeyOf(job) : known.submission;
        if (conflicts.includes(key)) {
            this.pending.delete(id);
            this.known.delete(id);
            job.fail(serviceError(ErrorKind.Internal, `The row of job ${id} was changed outside its shard.`));
        }
        else if (submission !== undefined && conflicts.includes(submission)) {
            const row = rows.get(submission);
            if (known !== undefined) {
                const isOwn = row !== undefined && parseSubmissionRow(row)?.job === id;
                this.known.setSubmission(id, isOwn ? row.version : undefined);
            }
            else if (row !== undefined) {
                this.pending.delete(id);
                await this.resolveRepeated(job, row);
            }
        }
    }

    private async resolveRepeated(job: PendingJob, row: TableRow): Promise<void> {
        const first = parseSubmissionRow(row);
        if (first === undefined || first.digest !== specificationDigest(job.record.specification)) {
            const message = "The idempotency key was used for another submission; use a new key for a new job.";
            job.fail(serviceError(ErrorKind.IdempotencyKeyConflict, message));
            return;
        }
        const record = await this.readJob(first.shard, first.job);
        if (record === undefined) {
            job.fail(serviceError(ErrorKind.StoreUnavailable, `Job ${first.job} of this key could not be read now.`));
        }
        else {
            job.repeat(record);
        }
    }

    /** Reads a job, in the shard to which it was moved if it was. */
    private async readJob(shard: string, job: string): Promise<JobRecord | undefined> {
        const read = await this.options.table.read(jobKey(shard, job));
        const record = read.isOk() && read.value !== undefined ? parseJobRow(read.value)?.record : undefined;
        return record?.movedTo === undefined ? record : await this.readJob(record.movedTo, job);
    }

    /** The table certainly holds nothing of the batch. Updates stay pending; new jobs are refused, which is true. */
    private refuseNewJobs(batch: Batch): void {
        for (const { job } of batch.items) {
            if (this.known.get(job.record.id) === undefined) {
                this.pending.delete(job.record.id);
                job.fail(notAccepted);
            }
        }
    }
}

const notAccepted = serviceError(ErrorKind.StoreUnavailable, "The table is down; the job was not accepted.");
const outcomeUnknown = serviceError(
    ErrorKind.StoreOutcomeUnknown,
    "The table did not answer whether the record was written.",
);
