/**
 * Follows the changes of one table with long polls. The follower lists the table first, and again whenever the store no
 * longer keeps the changes since the last received version.
 */
import { describeUnknown } from "@tanagerlink/errors";
import { listAllRecords, type RecordChange, type RecordStore, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";

const RETRY_DELAY_MILLISECONDS = 150;

export interface TableFollowerOptions {
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly table: string;
    readonly partitions: readonly string[];
    /** Maximum wait of one long poll; it also bounds the time until a silent connection is detected. */
    readonly waitMilliseconds: number;
    /** Pause between polls, which batches the changes of a table that changes constantly. */
    readonly pauseMilliseconds: number;
    /**
     * Receives all records of a listing, the version of the store that the listing shows, and the monotonic time after
     * which records that were not known before have been written. The first listing counts as written when it is read.
     */
    readonly onListing: (records: readonly StoredRecord[], version: number, writtenAfter: number) => void;
    readonly onChanges: (changes: readonly RecordChange[], writtenAfter: number) => void;
}

export class TableFollower implements Disposable {
    private readonly options: TableFollowerOptions;
    private readonly abort = new AbortController();
    /** Version after which changes are requested; `undefined` while a listing is due. */
    private after: number | undefined;
    /** Monotonic time of the request whose response showed the records as they are known. */
    private shownAt: number | undefined;
    private isFailing = false;
    /** Monotonic time of the last successful response; `-Infinity` before the first. */
    lastResponseAt = -Infinity;

    constructor(options: TableFollowerOptions) {
        this.options = options;
    }

    start(): void {
        void this.run();
    }

    [Symbol.dispose](): void {
        this.abort.abort();
    }

    private async run(): Promise<void> {
        const { timers, pauseMilliseconds } = this.options;
        while (!this.abort.signal.aborted) {
            const succeeded = await this.readGuarded();
            const pause = succeeded ? pauseMilliseconds : RETRY_DELAY_MILLISECONDS;
            if (pause > 0) {
                await sleep(timers, pause, this.abort.signal);
            }
        }
    }

    /** Reads once. After an unexpected error the table is listed anew: a record must not end the following of others. */
    private async readGuarded(): Promise<boolean> {
        try {
            return this.after === undefined ? await this.list() : await this.pollChanges(this.after);
        }
        catch (failure) {
            const { logger, table } = this.options;
            logger.error({ table, reason: describeUnknown(failure) }, "unexpected error in changes of the table");
            this.after = undefined;
            return false;
        }
    }

    private async list(): Promise<boolean> {
        const { store, timers, table, partitions } = this.options;
        const requestedAt = timers.now();
        const records: StoredRecord[] = [];
        let version = Infinity;
        for (const partition of partitions) {
            const listing = await listAllRecords(store, { table, partition });
            if (listing.isErr()) {
                return this.recordOutcome(listing.error.kind);
            }
            records.push(...listing.value.records);
            version = Math.min(version, listing.value.version);
        }
        if (!this.abort.signal.aborted) {
            this.recordOutcome(undefined);
            this.after = version;
            const writtenAfter = this.shownAt ?? requestedAt;
            this.shownAt = requestedAt;
            this.options.onListing(records, version, writtenAfter);
        }
        return true;
    }

    private async pollChanges(after: number): Promise<boolean> {
        const { store, timers, table, waitMilliseconds } = this.options;
        const requestedAt = timers.now();
        const batch = await store.changes({ table, after, waitMilliseconds });
        if (batch.isErr()) {
            return this.recordOutcome(batch.error.kind);
        }
        if (this.abort.signal.aborted) {
            return true;
        }
        this.recordOutcome(undefined);
        if (!batch.value.kept) {
            this.after = undefined;
            return true;
        }
        this.after = Math.max(after, batch.value.version);
        const writtenAfter = this.shownAt ?? requestedAt;
        this.shownAt = requestedAt;
        if (batch.value.changes.length > 0) {
            this.options.onChanges(batch.value.changes, writtenAfter);
        }
        return true;
    }

    /** Logs the first failure and the recovery from it. Returns whether the call succeeded. */
    private recordOutcome(failure: string | undefined): boolean {
        const { timers, logger, table } = this.options;
        if (failure !== undefined && !this.isFailing) {
            logger.warn({ table, error: failure }, "changes of the table cannot be read");
        }
        else if (failure === undefined && this.isFailing) {
            const silenceMilliseconds = Math.round(timers.now() - this.lastResponseAt);
            logger.info({ table, milliseconds: silenceMilliseconds }, "changes of the table can be read again");
        }
        this.isFailing = failure !== undefined;
        if (failure === undefined) {
            this.lastResponseAt = timers.now();
        }
        return failure === undefined;
    }
}
