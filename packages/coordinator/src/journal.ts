/**
 * Writes the progress of jobs and renews the claim on the cell in sequential transactions. A transaction whose response
 * was lost, or that was sent more than once, may still be executed later. The next transaction therefore rewrites the
 * owner record, so that the version which the delayed one expects no longer matches.
 */
import { ErrorKind } from "@tanagerlink/errors";
import type { RecordName, RecordStore, RecordTransaction, RecordWrite } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Subscription, type Timers } from "@tanagerlink/timers";
import { type JobRun, progressOf } from "@tanagerlink/workflow";
import {
    decodeOwnerRecord,
    encodeJson,
    isSameOwnerAndEpoch,
    OWNER_PARTITION,
    type OwnerRecord,
    ownerRecordName,
    type VersionedOwnerRecord,
} from "./ownerRecord.ts";

export const PROGRESS_TABLE = "progress";

/** The store accepts 100 entries in a transaction; the owner record takes one or two of them. */
const MAXIMUM_TRANSACTION_ENTRIES = 90;
/** Size before base64 encoding; the store accepts 1 MB for a transaction. */
const MAXIMUM_TRANSACTION_BYTES = 600_000;
/** Delay before a failed transaction is retried. */
const RETRY_DELAY_MILLISECONDS = 60;

export interface JournalOptions {
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly claim: VersionedOwnerRecord;
    /** Interval at which the claim is renewed. */
    readonly renewalMilliseconds: number;
    /** Called once when another process has claimed the cell. */
    readonly onOwnershipLost: () => void;
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
    /** Records to remove, by key. */
    private readonly removals = new Map<string, RecordName>();
    private waiters: Waiter[] = [];
    private ownerRecord: OwnerRecord;
    private ownerVersion: number;
    private lastChange = 0;
    private lastStoredChange = 0;
    private isRenewalDue = false;
    private mustRewriteOwner = false;
    private isWriting = false;
    private isStopped = false;
    private resolveRelease: (() => void) | undefined;
    private readonly renewalTicker: Subscription;
    /** Monotonic time of the last response that confirmed the claim. */
    confirmedAt: number;

    constructor(options: JournalOptions) {
        this.options = options;
        this.ownerRecord = options.claim.record;
        this.ownerVersion = options.claim.version;
        this.confirmedAt = options.timers.now();
        this.renewalTicker = options.timers.every(options.renewalMilliseconds, () => {
            this.isRenewalDue = true;
            this.scheduleWrite();
        });
    }

    /** Schedules a job's changed progress for storing. */
    recordChange(job: JobRun): void {
        const latest = ++this.lastChange;
        // The record of an earlier job with the same identifier is overwritten instead.
        this.removals.delete(job.id);
        this.dirty.set(job, { oldest: this.dirty.get(job)?.oldest ?? latest, latest });
        this.scheduleWrite();
    }

    /** Removes records of the owner's partition in one of the next transactions. */
    remove(names: readonly RecordName[]): void {
        names.forEach(name => this.removals.set(name.key, name));
        this.scheduleWrite();
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
        const outcome = await store.commit(transaction);
        if (this.isStopped) {
            return;
        }
        if (outcome.isErr()) {
            if (outcome.error.kind === ErrorKind.StoreOutcomeUnknown) {
                this.mustRewriteOwner = true;
            }
            logger.debug({ error: outcome.error.kind, jobs: batch.jobs.size }, "progress not stored yet");
            await sleep(timers, RETRY_DELAY_MILLISECONDS);
            return;
        }
        if (!outcome.value.committed) {
            const current = outcome.value.current.map(decodeOwnerRecord).find(decoded => decoded.isOk());
            if (current?.isOk() === true && isSameOwnerAndEpoch(current.value.record, this.ownerRecord)) {
                // An earlier transaction of this journal has rewritten the owner record; its response was lost.
                this.ownerRecord = current.value.record;
                this.ownerVersion = current.value.version;
                this.mustRewriteOwner = true;
                return;
            }
            logger.warn({ epoch: this.ownerRecord.epoch }, "cell was taken by another process");
            this.stop();
            this.options.onOwnershipLost();
            return;
        }
        this.confirmedAt = timers.now();
        if (rewritesOwner) {
            this.ownerRecord = nextOwnerRecord;
            this.ownerVersion = outcome.value.version;
            this.isRenewalDue = false;
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

    private nextBatch(): Batch {
        const jobs = new Map<JobRun, number>();
        const writes: RecordWrite[] = [];
        let bytes = 0;
        for (const [job, { latest }] of this.dirty) {
            const value = encodeJson(progressOf(job));
            bytes += value.byteLength;
            if (
                writes.length >= MAXIMUM_TRANSACTION_ENTRIES || writes.length > 0 && bytes > MAXIMUM_TRANSACTION_BYTES
            ) {
                break;
            }
            writes.push({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: job.id, value });
            jobs.set(job, latest);
        }
        const removals = [...this.removals.values()].slice(0, MAXIMUM_TRANSACTION_ENTRIES - writes.length);
        return { jobs, writes, removals, states: new Map([...jobs.keys()].map(job => [job, job.state])) };
    }

    private markCommitted(batch: Batch): void {
        for (const [job, written] of batch.jobs) {
            const latest = this.dirty.get(job)?.latest ?? written;
            if (latest === written) {
                this.dirty.delete(job);
            }
            else {
                this.dirty.set(job, { oldest: written + 1, latest });
            }
            job.storedState = batch.states.get(job) ?? job.storedState;
        }
        batch.removals.forEach(({ key }) => this.removals.delete(key));
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

interface Batch {
    readonly jobs: ReadonlyMap<JobRun, number>;
    readonly writes: readonly RecordWrite[];
    readonly removals: readonly RecordName[];
    readonly states: ReadonlyMap<JobRun, JobRun["state"]>;
}
