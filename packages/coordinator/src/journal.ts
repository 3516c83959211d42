/**
 * Writes the progress of jobs and renews the claim on the cell in sequential transactions. A transaction whose response
 * was lost, or that was sent more than once, may still be executed later. The next transaction therefore rewrites the
 * owner record, so that the version which the delayed one expects no longer matches. After a transaction that the store
 * refuses for good, jobs are written one by one, so that only those that cannot be stored are left out.
 */
import { ErrorKind } from "@tanagerlink/errors";
import type { RecordName, RecordStore, RecordTransaction, RecordWrite } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Subscription, type Timers } from "@tanagerlink/timers";
import type { JobRun } from "@tanagerlink/workflow";
import { LeaseAuthority } from "./leaseAuthority.ts";
import {
    decodeOwnerRecord,
    encodeJson,
    isSameOwnerAndEpoch,
    type LeaseStatement,
    type OwnerRecord,
    ownerRecordName,
    type VersionedOwnerRecord,
} from "./ownerRecord.ts";
import { type ProgressChanges, ProgressRows } from "./progressRows.ts";

/** The store accepts 100 entries in a transaction; the owner record takes one or two of them. */
const MAXIMUM_TRANSACTION_ENTRIES = 90;
/** Size before base64 encoding; the store accepts 1 MB for a transaction. */
const MAXIMUM_TRANSACTION_BYTES = 600_000;
const MAXIMUM_LOGGED_JOBS = 10;
/** Delay before a failed transaction is retried. */
const RETRY_DELAY_MILLISECONDS = 60;

export interface JournalOptions {
    readonly store: RecordStore;
    /** Maximum size of a record in the store. */
    readonly rowBytes?: number | undefined;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly claim: VersionedOwnerRecord;
    /** Describes the leases on the workers for the next owner record. */
    readonly describeLeases: () => LeaseStatement;
    /** Interval at which the claim is renewed. */
    readonly renewalMilliseconds: number;
    /** Called once when another process has claimed the cell. */
    readonly onOwnershipLost: () => void;
    /** Called when the store has refused the progress of a job for good. The change counts as stored. */
    readonly onRefused: (job: JobRun) => void;
}

/** Change numbers of one job that are not stored yet. */
interface UnstoredChanges {
    /** All earlier changes of the job are stored. */
    readonly oldest: number;
    readonly latest: number;
}

interface Waiter {
    /** Number of the change that must be stored. */
    readonly change: number;
    readonly resolve: (stored: boolean) => void;
}

export class Journal implements Disposable {
    private readonly options: JournalOptions;
    private readonly dirty = new Map<JobRun, UnstoredChanges>();
    private readonly rows: ProgressRows;
    /** Records to remove, by table and key. */
    private readonly removals = new Map<string, RecordName>();
    private waiters: Waiter[] = [];
    private ownerRecord: OwnerRecord;
    private ownerVersion: number;
    private lastChange = 0;
    private lastStoredChange = 0;
    /** Number of further transactions that hold one job only. */
    private isolatedTransactions = 0;
    private isRenewalDue = false;
    private isFailing = false;
    private mustRewriteOwner = false;
    private isWriting = false;
    private isStopped = false;
    private resolveRelease: (() => void) | undefined;
    private readonly renewalTicker: Subscription;
    readonly leaseAuthority: LeaseAuthority;
    /** Monotonic time of the last response that confirmed the claim. */
    confirmedAt: number;

    constructor(options: JournalOptions) {
        this.options = options;
        this.rows = new ProgressRows(options.rowBytes);
        this.ownerRecord = options.claim.record;
        this.ownerVersion = options.claim.version;
        this.confirmedAt = options.timers.now();
        this.leaseAuthority = new LeaseAuthority(options.timers, options.claim.record);
        this.renewalTicker = options.timers.every(options.renewalMilliseconds, () => {
            this.isRenewalDue = true;
            this.scheduleWrite();
        });
    }

    /** Schedules a job's changed progress for storing. */
    recordChange(job: JobRun): void {
        const latest = ++this.lastChange;
        this.dirty.set(job, { oldest: this.dirty.get(job)?.oldest ?? latest, latest });
        this.scheduleWrite();
    }

    /** Removes records of the owner's partition in one of the next transactions. */
    remove(names: readonly RecordName[]): void {
        names.forEach(name => this.removals.set(removalKey(name), name));
        this.scheduleWrite();
    }

    /** Records the segments of a job's progress that a previous owner has written. */
    recordRestored(job: JobRun, segmentKeys: readonly string[]): void {
        this.rows.recordRestored(job, segmentKeys);
    }

    /** Resolves to true when all changes recorded so far are stored, or to false when ownership is lost first. */
    waitUntilStored(): Promise<boolean> {
        if (this.isStopped) {
            return Promise.resolve(false);
        }
        if (this.dirty.size === 0 && this.lastChange === this.lastStoredChange) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => this.waiters.push({ change: this.lastChange, resolve }));
    }

    /** Renews the claim, to find out whether it still holds. */
    requestConfirmation(): void {
        this.isRenewalDue = true;
        this.scheduleWrite();
    }

    /** Releases the cell, so that another process can claim it at once. */
    async release(): Promise<void> {
        await this.waitUntilStored();
        if (!this.isStopped) {
            await new Promise<void>(resolve => {
                this.resolveRelease = resolve;
                this.scheduleWrite();
            });
        }
    }

    [Symbol.dispose](): void {
        this.stop();
    }

    private scheduleWrite(): void {
        if (!this.isWriting && !this.isStopped) {
            this.isWriting = true;
            // Changes of the same turn of the event loop share a transaction.
            setImmediate(() => void this.writeAll());
        }
    }

    private async writeAll(): Promise<void> {
        try {
            while (
                !this.isStopped &&
                (this.dirty.size > 0 || this.removals.size > 0 || this.isRenewalDue || this.resolveRelease)
            ) {
                await this.writeBatch();
            }
        }
        finally {
            // Reset in the same turn as the last check of the loop, so that a later change schedules a new write.
            this.isWriting = false;
        }
    }

    private async writeBatch(): Promise<void> {
        const { store, timers, logger } = this.options;
        const isRelease = this.resolveRelease !== undefined && this.dirty.size === 0;
        const rewritesOwner = this.isRenewalDue || this.mustRewriteOwner || isRelease;
        const nextOwnerRecord: OwnerRecord = {
            ...this.ownerRecord,
            renewals: this.ownerRecord.renewals + 1,
            ...(rewritesOwner ? this.options.describeLeases() : {}),
            ...(isRelease ? { node: "" } : {}),
        };
        const batch = this.nextBatch();
        const transaction: RecordTransaction = {
            expectations: [{ ...ownerRecordName, expectedVersion: this.ownerVersion }],
            writes: [
                ...(rewritesOwner ? [{ ...ownerRecordName, value: encodeJson(nextOwnerRecord) }] : []),
                ...batch.writes,
            ],
            removals: batch.removals,
        };
        batch.jobs.forEach(({ changes }, job) => this.rows.recordUnconfirmed(job, changes));
        const sentAt = rewritesOwner ? this.leaseAuthority.recordSent(nextOwnerRecord) : undefined;
        if (rewritesOwner) {
            // A further request that comes before the response is for a later record.
            this.isRenewalDue = false;
        }
        const outcome = await store.commit(transaction);
        if (this.isStopped) {
            return;
        }
        if (outcome.isErr()) {
            this.isRenewalDue ||= rewritesOwner;
            await this.handleFailure(outcome.error.kind, batch);
            return;
        }
        if (this.isFailing) {
            this.isFailing = false;
            logger.info({}, "progress is stored again");
        }
        if (!outcome.value.committed) {
            const current = outcome.value.current.map(decodeOwnerRecord).find(decoded => decoded.isOk());
            if (current?.isOk() === true && isSameOwnerAndEpoch(current.value.record, this.ownerRecord)) {
                // An earlier transaction of this journal has rewritten the owner record; its response was lost.
                this.ownerRecord = current.value.record;
                this.ownerVersion = current.value.version;
                this.leaseAuthority.recordFound(this.ownerRecord);
                this.mustRewriteOwner = true;
                return;
            }
            logger.warn({ epoch: this.ownerRecord.epoch }, "cell was taken by another process");
            this.stop();
            this.options.onOwnershipLost();
            return;
        }
        this.confirmedAt = timers.now();
        if (sentAt !== undefined) {
            this.ownerRecord = nextOwnerRecord;
            this.ownerVersion = outcome.value.version;
            this.leaseAuthority.recordStored(nextOwnerRecord, sentAt);
            this.mustRewriteOwner = false;
        }
        else if (outcome.value.mayRepeat === true) {
            this.mustRewriteOwner = true;
        }
        this.markCommitted(batch);
        if (isRelease) {
            this.stop();
        }
    }

    private async handleFailure(error: ErrorKind, batch: Batch): Promise<void> {
        const { timers, logger } = this.options;
        if (error === ErrorKind.StoreRefused && batch.writes.length + batch.removals.length > 0) {
            this.handleRefusal(batch);
            return;
        }
        if (error === ErrorKind.StoreOutcomeUnknown) {
            this.mustRewriteOwner = true;
        }
        if (!this.isFailing) {
            this.isFailing = true;
            logger.warn({ error, jobs: batch.jobs.size }, "progress cannot be stored; retrying");
        }
        await sleep(timers, RETRY_DELAY_MILLISECONDS);
    }

    /** Finds the job that the store refuses, and leaves it out. */
    private handleRefusal({ jobs, writes, removals }: Batch): void {
        const { logger, onRefused } = this.options;
        const sizes = writes.map(({ value }) => value.byteLength);
        logger.error(
            {
                jobs: [...jobs.keys()].map(({ id }) => id).slice(0, MAXIMUM_LOGGED_JOBS),
                largest: Math.max(0, ...sizes),
            },
            "the store refuses a transaction",
        );
        const [job] = jobs.keys();
        const [onlyJob] = jobs.values();
        const hasOtherRemovals = onlyJob !== undefined && removals.length > onlyJob.changes.removals.length;
        if (jobs.size > 1 || hasOtherRemovals) {
            this.isolatedTransactions = this.dirty.size;
        }
        else if (job === undefined) {
            removals.forEach(name => this.removals.delete(removalKey(name)));
        }
        else {
            this.dirty.delete(job);
            this.rows.forget(job);
            onRefused(job);
        }
    }

    private nextBatch(): Batch {
        const jobs = new Map<JobRun, BatchedJob>();
        const writes: RecordWrite[] = [];
        const removals: RecordName[] = [];
        const maximumJobs = this.isolatedTransactions > 0 ? 1 : MAXIMUM_TRANSACTION_ENTRIES;
        let bytes = 0;
        for (const [job, { latest }] of this.dirty) {
            const all = this.rows.changesOf(job);
            const changes = takeFirst(
                all,
                MAXIMUM_TRANSACTION_ENTRIES - writes.length - removals.length,
                MAXIMUM_TRANSACTION_BYTES - bytes,
                jobs.size === 0 ? 1 : 0,
            );
            const isComplete = changes.writes.length + changes.removals.length
                === all.writes.length + all.removals.length;
            if (jobs.size >= maximumJobs || jobs.size > 0 && !isComplete) {
                break;
            }
            writes.push(...changes.writes);
            removals.push(...changes.removals);
            bytes += sizeOf(changes.writes);
            jobs.set(job, { changes, written: isComplete ? latest : undefined, state: job.state });
            if (!isComplete) {
                break;
            }
        }
        if (this.isolatedTransactions > 0) {
            this.isolatedTransactions--;
        }
        // A record that is written again, for a later job with the same identifier, is not to be removed.
        writes.forEach(name => this.removals.delete(removalKey(name)));
        const others = maximumJobs === 1 && jobs.size > 0 ? [] : [...this.removals.values()];
        removals.push(...others.slice(0, MAXIMUM_TRANSACTION_ENTRIES - writes.length - removals.length));
        return { jobs, writes, removals };
    }

    private markCommitted(batch: Batch): void {
        for (const [job, { changes, written, state }] of batch.jobs) {
            this.rows.recordStored(job, changes);
            if (written === undefined) {
                continue;
            }
            const latest = this.dirty.get(job)?.latest ?? written;
            if (latest === written) {
                this.dirty.delete(job);
            }
            else {
                this.dirty.set(job, { oldest: written + 1, latest });
            }
            job.storedState = state;
        }
        batch.removals.forEach(name => this.removals.delete(removalKey(name)));
        this.lastStoredChange = this.dirty.size === 0
            ? this.lastChange
            : Math.min(...[...this.dirty.values()].map(({ oldest }) => oldest)) - 1;
        const finishedWaiters = this.waiters.filter(({ change }) => change <= this.lastStoredChange);
        this.waiters = this.waiters.filter(({ change }) => change > this.lastStoredChange);
        finishedWaiters.forEach(({ resolve }) => resolve(true));
    }

    private stop(): void {
        this.isStopped = true;
        this.renewalTicker[Symbol.dispose]();
        this.waiters.forEach(({ resolve }) => resolve(false));
        this.waiters = [];
        this.resolveRelease?.();
    }
}

interface BatchedJob {
    readonly changes: ProgressChanges;
    /** Number of the latest change that the batch holds; `undefined` if it holds a part of the job's rows only. */
    readonly written: number | undefined;
    readonly state: JobRun["state"];
}

interface Batch {
    readonly jobs: ReadonlyMap<JobRun, BatchedJob>;
    readonly writes: readonly RecordWrite[];
    readonly removals: readonly RecordName[];
}

function removalKey({ table, key }: RecordName): string {
    return `${table}/${key}`;
}

function sizeOf(writes: readonly RecordWrite[]): number {
    return writes.reduce((sum, { value }) => sum + value.byteLength, 0);
}

/** The first of the changes that fit into a transaction, with removals only after all writes. */
function takeFirst(
    { writes, removals }: ProgressChanges,
    maximumEntries: number,
    maximumBytes: number,
    minimumEntries: number,
): ProgressChanges {
    let bytes = 0;
    let count = 0;
    for (const { value } of writes) {
        bytes += value.byteLength;
        if (count >= maximumEntries || count >= minimumEntries && bytes > maximumBytes) {
            return { writes: writes.slice(0, count), removals: [] };
        }
        count++;
    }
    return { writes, removals: removals.slice(0, maximumEntries - count) };
}
