/**
 * Group commit for the jobs of one shard under one epoch. Changes of a short period go into one transaction, at most
 * one transaction is outstanding, and each job's newest state replaces older ones that were not written yet. Every
 * transaction has the shard's epoch row as a condition, so nothing is written after a takeover.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableRow, TableService, TransactionAnswer } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import {
    arrivalPrefix,
    jobKey,
    type JobRowValue,
    parseJobRow,
    parseSubmissionRow,
    type SubmissionRowValue,
} from "./jobRow.ts";
import type { AcceptedJob } from "./jobStore.ts";
import { isDone, moveChange, type PendingChange, refuse, submissionOf } from "./pendingChange.ts";

/** Time for which changes are collected, in milliseconds. */
const COMMIT_DELAY_MILLISECONDS = 25;

/** Changes in one transaction. */
const MAXIMUM_BATCH = 100;

/** Pauses between attempts while the table is down, in milliseconds. */
const FIRST_RETRY_MILLISECONDS = 100;
const LONGEST_RETRY_MILLISECONDS = 2_000;

/** What the writer uses. */
export interface ShardWriterOptions {
    readonly shard: string;
    readonly epoch: number;
    readonly condition: RowCondition;
    readonly table: TableService;
    readonly timers: Timers;
    readonly nextTransactionId: () => string;
}

/** Writes job rows of one shard. */
export class ShardWriter {
    private readonly options: ShardWriterOptions;
    private readonly versions = new Map<string, number>();
    private readonly keys = new Map<string, string>();
    private pending = new Map<string, PendingChange>();
    private readonly closing = new AbortController();
    private running: Promise<void> | undefined;
    private superseded: ServiceError | undefined;

    constructor(options: ShardWriterOptions) {
        this.options = options;
    }

    get epoch(): number {
        return this.options.epoch;
    }

    /** Takes over the version of a row that was read. */
    known(row: TableRow, value: JobRowValue): void {
        this.versions.set(row.key, row.version);
        if (value.idempotencyKey !== undefined) {
            this.keys.set(row.key, value.idempotencyKey);
        }
    }

    accept(record: JobRecord, idempotencyKey: string | undefined): Promise<Result<AcceptedJob, ServiceError>> {
        return new Promise(resolve => {
            const key = jobKey(record.shard, record.id);
            const value = idempotencyKey === undefined ? { record } : { record, idempotencyKey };
            if (idempotencyKey !== undefined) {
                this.keys.set(key, idempotencyKey);
            }
            this.add({ key, value, acceptance: resolve, waiters: [], uncertain: false });
        });
    }

    update(record: JobRecord): Promise<Result<void, ServiceError>> {
        return new Promise(resolve => {
            const key = jobKey(record.shard, record.id);
            const idempotencyKey = this.keys.get(key);
            const value = idempotencyKey === undefined ? { record } : { record, idempotencyKey };
            const waiting = this.pending.get(key);
            if (waiting !== undefined) {
                waiting.value = value;
                waiting.waiters.push(resolve);
                return;
            }
            this.add({ key, value, acceptance: undefined, waiters: [resolve], uncertain: false });
        });
    }

    /** Turns the row of a job into a pointer and creates its rows in the other shard. */
    move(record: JobRecord, shard: string): Promise<Result<void, ServiceError>> {
        return new Promise(resolve => {
            const key = jobKey(record.shard, record.id);
            if (this.pending.has(key)) {
                resolve(err(serviceError(ErrorKind.Internal, `job ${record.id} has unwritten changes and can't move`)));
                return;
            }
            this.add(moveChange(record, shard, this.keys.get(key), resolve));
        });
    }

    /** Takes over the versions of the rows of a job that was moved to this shard. */
    arrived(arrival: TableRow, row: TableRow, value: JobRowValue): void {
        this.versions.set(arrival.key, arrival.version);
        if (!this.versions.has(row.key)) {
            this.known(row, value);
        }
    }

    confirmArrival(job: string): Promise<Result<void, ServiceError>> {
        return new Promise(resolve => {
            const key = `${arrivalPrefix(this.options.shard)}${job}`;
            this.add({ key, value: undefined, acceptance: undefined, waiters: [resolve], uncertain: false });
        });
    }

    remove(job: string): void {
        const key = jobKey(this.options.shard, job);
        if (this.versions.has(key)) {
            this.add({ key, value: undefined, acceptance: undefined, waiters: [], uncertain: false });
        }
    }

    /** Writes what is pending, up to the bound, and refuses the rest. */
    async close(withinMilliseconds: number): Promise<void> {
        const { timers } = this.options;
        if (this.running !== undefined) {
            await Promise.race([this.running, sleep(timers, withinMilliseconds)]);
        }
        this.closing.abort();
        this.supersede(serviceError(ErrorKind.NotOwner, `shard ${this.options.shard} was given up`));
    }

    private add(change: PendingChange): void {
        if (this.superseded !== undefined) {
            refuse(change, this.superseded);
            return;
        }
        this.pending.set(change.key, change);
        this.running ??= this.run().finally(() => {
            this.running = undefined;
        });
    }

    private async run(): Promise<void> {
        const { timers } = this.options;
        let retry = FIRST_RETRY_MILLISECONDS;
        while (this.pending.size > 0 && this.superseded === undefined) {
            if (this.pending.size < MAXIMUM_BATCH) {
                await sleep(timers, COMMIT_DELAY_MILLISECONDS, this.closing.signal);
            }
            const batch = this.takeBatch();
            const progress = await this.commit(batch);
            if (!progress) {
                await sleep(timers, retry, this.closing.signal);
                retry = Math.min(retry * 2, LONGEST_RETRY_MILLISECONDS);
            }
            else {
                retry = FIRST_RETRY_MILLISECONDS;
            }
        }
    }

    private takeBatch(): PendingChange[] {
        const batch = [...this.pending.values()].slice(0, MAXIMUM_BATCH);
        batch.forEach(change => this.pending.delete(change.key));
        return batch;
    }

    /** Writes a batch. Returns false when the table could not be used and the updates wait for the next attempt. */
    private async commit(batch: readonly PendingChange[]): Promise<boolean> {
        const { table, condition, nextTransactionId } = this.options;
        const id = nextTransactionId();
        const writes = batch.flatMap(change => this.writesOf(change));
        const answer = await table.transact({ id, conditions: [condition], writes });
        if (answer.isErr()) {
            await this.failed(batch, answer.error);
            return false;
        }
        if (answer.value.committed) {
            this.committed(batch, answer.value.versions);
            return true;
        }
        await this.conflicted(batch, answer.value);
        return true;
    }

    private writesOf(change: PendingChange): ConditionalWrite[] {
        const expectedVersion = this.versions.get(change.key) ?? 0;
        const writes: ConditionalWrite[] = [
            { key: change.key, expectedVersion, value: change.value },
            ...change.created ?? [],
        ];
        const submission = change.acceptance === undefined ? undefined : submissionOf(change.value);
        if (submission !== undefined) {
            writes.push({ key: submission.key, expectedVersion: 0, value: submission.value });
        }
        return writes;
    }

    private committed(batch: readonly PendingChange[], versions: Readonly<Record<string, number>>): void {
        for (const change of batch) {
            if (change.value === undefined) {
                this.versions.delete(change.key);
                this.keys.delete(change.key);
                change.waiters.forEach(resolve => resolve(ok(undefined)));
                continue;
            }
            this.versions.set(change.key, versions[change.key] ?? (this.versions.get(change.key) ?? 0) + 1);
            change.acceptance?.(ok({ record: change.value.record, repeated: false }));
            change.waiters.forEach(resolve => resolve(ok(undefined)));
        }
    }

    /**
     * A new job that was certainly not written is refused at once, since its caller waits. All other changes are kept
     * and written later, among them new jobs that may have been written: their outcome is found out by the next write.
     */
    private async failed(batch: readonly PendingChange[], error: ServiceError): Promise<void> {
        const unknown = error.kind !== ErrorKind.StoreUnavailable;
        for (const change of batch) {
            change.uncertain ||= unknown;
            if (change.acceptance !== undefined && !change.uncertain) {
                refuse(change, error);
                continue;
            }
            if (unknown && change.acceptance === undefined) {
                await this.refreshVersion(change.key);
            }
            this.putBack(change);
        }
    }

    /** After an unknown outcome the row tells which version the next write has to expect. */
    private async refreshVersion(key: string): Promise<void> {
        const row = await this.options.table.read(key);
        if (row.isOk() && row.value !== undefined) {
            this.versions.set(key, row.value.version);
        }
    }

    /** A newer state that was added meanwhile replaces the one that was not written. */
    private putBack(change: PendingChange): void {
        const newer = this.pending.get(change.key);
        if (newer === undefined) {
            this.pending.set(change.key, change);
        }
        else {
            newer.waiters.unshift(...change.waiters);
        }
    }

    private async conflicted(
        batch: readonly PendingChange[],
        answer: Extract<TransactionAnswer, { committed: false; }>,
    ): Promise<void> {
        const { condition, shard, epoch } = this.options;
        if (answer.conflicts.includes(condition.key)) {
            const error = serviceError(ErrorKind.StaleEpoch, `shard ${shard} has an owner after epoch ${epoch}`);
            batch.forEach(change => refuse(change, error));
            this.supersede(error);
            return;
        }
        const conflicts = new Set(answer.conflicts);
        const rows = new Map(answer.rows.map(row => [row.key, row]));
        for (const change of batch) {
            const submission = change.acceptance === undefined ? undefined : submissionOf(change.value);
            if (change.acceptance !== undefined && conflicts.has(change.key)) {
                this.settleWritten(change, rows.get(change.key));
            }
            else if (submission !== undefined && conflicts.has(submission.key)) {
                await this.settleRepeated(change, submission.value, rows.get(submission.key));
            }
            else if (isDone(change, conflicts, rows)) {
                this.versions.set(change.key, rows.get(change.key)?.version ?? this.versions.get(change.key) ?? 0);
                change.waiters.forEach(resolve => resolve(ok(undefined)));
            }
            else {
                if (conflicts.has(change.key)) {
                    this.versions.set(change.key, rows.get(change.key)?.version ?? 0);
                }
                this.putBack(change);
            }
        }
    }

    /** The row of a new job exists already: an earlier attempt to write it took effect. */
    private settleWritten(change: PendingChange, row: TableRow | undefined): void {
        if (row === undefined || change.value === undefined) {
            this.putBack(change);
            return;
        }
        this.versions.set(change.key, row.version);
        change.acceptance?.(ok({ record: change.value.record, repeated: false }));
        change.acceptance = undefined;
        if (change.waiters.length > 0) {
            this.putBack(change);
        }
    }

    /** The idempotency key was used before: the earlier job is the answer when it was asked for the same. */
    private async settleRepeated(
        change: PendingChange,
        wanted: SubmissionRowValue,
        row: TableRow | undefined,
    ): Promise<void> {
        const earlier = row === undefined ? undefined : parseSubmissionRow(row);
        const settle = change.acceptance;
        if (earlier === undefined) {
            settle?.(err(serviceError(ErrorKind.StoreUnavailable, "the row of the idempotency key is not readable")));
            return;
        }
        if (earlier.digest !== wanted.digest) {
            settle?.(err(serviceError(
                ErrorKind.IdempotencyKeyConflict,
                `the idempotency key belongs to job ${earlier.job}, which was submitted with another specification`,
            )));
            return;
        }
        const value = await this.readJob(earlier.shard, earlier.job);
        settle?.(
            value === undefined
                ? err(serviceError(ErrorKind.StoreUnavailable, `the record of job ${earlier.job} could not be read`))
                : ok({ record: value.record, repeated: true }),
        );
    }

    /** Reads a job, in the shard to which it was moved if it was. */
    private async readJob(shard: string, job: string): Promise<JobRowValue | undefined> {
        const row = await this.options.table.read(jobKey(shard, job));
        const value = row.isOk() && row.value !== undefined ? parseJobRow(row.value) : undefined;
        const movedTo = value?.record.movedTo;
        return movedTo === undefined ? value : await this.readJob(movedTo, job);
    }

    private supersede(error: ServiceError): void {
        this.superseded ??= error;
        const pending = [...this.pending.values()];
        this.pending = new Map();
        pending.forEach(change => refuse(change, error));
    }
}
