/**
 * Writes the progress of jobs and renews the claim on the cell, one transaction after another. A transaction whose
 * answer was lost, or that was sent more than once, may still be carried out; the next one rewrites the owner record and
 * so makes its condition fail.
 */
import { ErrorKind } from "@tanagerlink/errors";
import type { RecordName, RecordStore, RecordTransaction, RecordWrite } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Subscription, type Timers } from "@tanagerlink/timers";
import { type JobRun, progressOf } from "@tanagerlink/workflow";
import {
    decodeOwner,
    encodeRecord,
    isSameClaim,
    OWNER_PARTITION,
    type OwnerRecord,
    ownerRecordName,
    type SeenOwner,
} from "./ownerRecord.ts";

export const PROGRESS_TABLE = "progress";

/** Entries of one transaction; the store takes 100, and the owner record needs one or two of them. */
const MOST_ENTRIES = 90;
/** Bytes of one transaction before base64; the store takes a megabyte. */
const MOST_BYTES = 600_000;
/** Pause before a transaction that failed is tried again. */
const RETRY_MILLISECONDS = 60;

export interface JournalOptions {
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly claim: SeenOwner;
    /** Period of renewals while nothing else is written. */
    readonly renewalMilliseconds: number;
    /** Called once when another process has taken the cell. */
    readonly deposed: () => void;
}

/** Changes of one job that are not stored yet. */
interface Unstored {
    /** No earlier change of the job is missing in the store. */
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
    private readonly dirty = new Map<JobRun, Unstored>();
    private removals: RecordName[] = [];
    private waiters: Waiter[] = [];
    private owner: OwnerRecord;
    private version: number;
    private change = 0;
    private storedChange = 0;
    private renewalDue = false;
    private mustRewriteOwner = false;
    private writing = false;
    private ended = false;
    private released: (() => void) | undefined;
    private readonly renewal: Subscription;
    /** Monotonic time of the last answer that confirmed the claim. */
    confirmedAt: number;

    constructor(options: JournalOptions) {
        this.options = options;
        this.owner = options.claim.record;
        this.version = options.claim.version;
        this.confirmedAt = options.timers.now();
        this.renewal = options.timers.every(options.renewalMilliseconds, () => {
            this.renewalDue = true;
            this.write();
        });
    }

    /** Notes that a job's progress has changed. */
    note(job: JobRun): void {
        const latest = ++this.change;
        this.dirty.set(job, { oldest: this.dirty.get(job)?.oldest ?? latest, latest });
        this.write();
    }

    /** Removes records in the owner's partition with one of the next transactions. */
    remove(names: readonly RecordName[]): void {
        this.removals.push(...names);
        this.write();
    }

    /** Resolves when all changes noted so far are stored; false when the cell was lost before. */
    stored(): Promise<boolean> {
        if (this.ended) {
            return Promise.resolve(false);
        }
        if (this.dirty.size === 0 && this.change === this.storedChange) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => this.waiters.push({ change: this.change, resolve }));
    }

    /** Asks the store whether the claim still holds. */
    confirm(): void {
        this.renewalDue = true;
        this.write();
    }

    /** Gives the cell back, so that another process can take it at once. */
    async release(): Promise<void> {
        await this.stored();
        if (!this.ended) {
            await new Promise<void>(resolve => {
                this.released = resolve;
                this.write();
            });
        }
    }

    [Symbol.dispose](): void {
        this.finish();
    }

    private write(): void {
        if (!this.writing && !this.ended) {
            this.writing = true;
            // Changes of the same turn share a transaction.
            setImmediate(() => void this.writeAll());
        }
    }

    private async writeAll(): Promise<void> {
        try {
            while (
                !this.ended && (this.dirty.size > 0 || this.removals.length > 0 || this.renewalDue || this.released)
            ) {
                await this.writeBatch();
            }
        }
        finally {
            // In the turn of the last check, so that a change that is noted after it starts the next series.
            this.writing = false;
        }
    }

    private async writeBatch(): Promise<void> {
        const { store, timers, logger } = this.options;
        const releases = this.released !== undefined && this.dirty.size === 0;
        const rewritesOwner = this.renewalDue || this.mustRewriteOwner || releases;
        const next: OwnerRecord = {
            ...this.owner,
            renewals: this.owner.renewals + 1,
            ...(releases ? { node: "" } : {}),
        };
        const batch = this.nextBatch();
        const transaction: RecordTransaction = {
            expectations: [{ ...ownerRecordName, expectedVersion: this.version }],
            writes: [
                ...(rewritesOwner ? [{ ...ownerRecordName, value: encodeRecord(next) }] : []),
                ...batch.writes,
            ],
            removals: batch.removals,
        };
        const outcome = await store.commit(transaction);
        if (this.ended) {
            return;
        }
        if (outcome.isErr()) {
            if (outcome.error.kind === ErrorKind.StoreOutcomeUnknown) {
                this.mustRewriteOwner = true;
            }
            logger.debug({ error: outcome.error.kind, jobs: batch.jobs.size }, "progress not stored yet");
            await sleep(timers, RETRY_MILLISECONDS);
            return;
        }
        if (!outcome.value.committed) {
            const current = outcome.value.current.map(decodeOwner).find(decoded => decoded.isOk());
            if (current?.isOk() === true && isSameClaim(current.value.record, this.owner)) {
                // An own transaction whose answer was lost has rewritten the owner record.
                this.owner = current.value.record;
                this.version = current.value.version;
                this.mustRewriteOwner = true;
                return;
            }
            logger.warn({ epoch: this.owner.epoch }, "cell was taken by another process");
            this.finish();
            this.options.deposed();
            return;
        }
        this.confirmedAt = timers.now();
        if (rewritesOwner) {
            this.owner = next;
            this.version = outcome.value.version;
            this.renewalDue = false;
            this.mustRewriteOwner = false;
        }
        else if (outcome.value.mayRepeat === true) {
            this.mustRewriteOwner = true;
        }
        this.committed(batch);
        if (releases) {
            this.finish();
        }
    }

    private nextBatch(): Batch {
        const jobs = new Map<JobRun, number>();
        const writes: RecordWrite[] = [];
        let bytes = 0;
        for (const [job, { latest }] of this.dirty) {
            const value = encodeRecord(progressOf(job));
            bytes += value.byteLength;
            if (writes.length >= MOST_ENTRIES || writes.length > 0 && bytes > MOST_BYTES) {
                break;
            }
            writes.push({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: job.id, value });
            jobs.set(job, latest);
        }
        const removals = this.removals.slice(0, MOST_ENTRIES - writes.length);
        return { jobs, writes, removals, states: new Map([...jobs.keys()].map(job => [job, job.state])) };
    }

    private committed(batch: Batch): void {
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
        this.removals = this.removals.slice(batch.removals.length);
        this.storedChange = this.dirty.size === 0
            ? this.change
            : Math.min(...[...this.dirty.values()].map(({ oldest }) => oldest)) - 1;
        const done = this.waiters.filter(({ change }) => change <= this.storedChange);
        this.waiters = this.waiters.filter(({ change }) => change > this.storedChange);
        done.forEach(({ resolve }) => resolve(true));
    }

    private finish(): void {
        this.ended = true;
        this.renewal[Symbol.dispose]();
        this.waiters.forEach(({ resolve }) => resolve(false));
        this.waiters = [];
        this.released?.();
    }
}

interface Batch {
    readonly jobs: ReadonlyMap<JobRun, number>;
    readonly writes: readonly RecordWrite[];
    readonly removals: readonly RecordName[];
    readonly states: ReadonlyMap<JobRun, JobRun["state"]>;
}
