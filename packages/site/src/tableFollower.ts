/**
 * Follows the changes of one table by long polls. A listing begins it, and replaces the changes whenever the store no
 * longer keeps them.
 */
import { listAll, type RecordChange, type RecordStore, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";

/** Pause after a call that failed. */
const RETRY_MILLISECONDS = 150;

export interface TableFollowerOptions {
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly table: string;
    readonly partitions: readonly string[];
    /** Longest wait of one call; also bounds how long a silent connection goes unnoticed. */
    readonly waitMilliseconds: number;
    /** Pause between calls, in which changes gather; for tables that change all the time. */
    readonly pauseMilliseconds: number;
    /** Receives all records after a listing, and the version of the store that it shows. */
    readonly listed: (records: readonly StoredRecord[], version: number) => void;
    readonly changed: (changes: readonly RecordChange[]) => void;
}

export class TableFollower implements Disposable {
    private readonly options: TableFollowerOptions;
    private readonly abort = new AbortController();
    private after: number | undefined;
    private failing = false;
    /** Monotonic time of the last answer; `-Infinity` before the first. */
    answeredAt = -Infinity;

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
            const answered = this.after === undefined ? await this.list() : await this.follow(this.after);
            const pause = answered ? pauseMilliseconds : RETRY_MILLISECONDS;
            if (pause > 0) {
                await sleep(timers, pause, this.abort.signal);
            }
        }
    }

    private async list(): Promise<boolean> {
        const { store, table, partitions } = this.options;
        const records: StoredRecord[] = [];
        let version = Infinity;
        for (const partition of partitions) {
            const listing = await listAll(store, { table, partition });
            if (listing.isErr()) {
                return this.note(listing.error.kind);
            }
            records.push(...listing.value.records);
            version = Math.min(version, listing.value.version);
        }
        if (!this.abort.signal.aborted) {
            this.note(undefined);
            this.after = version;
            this.options.listed(records, version);
        }
        return true;
    }

    private async follow(after: number): Promise<boolean> {
        const { store, table, waitMilliseconds } = this.options;
        const batch = await store.changes({ table, after, waitMilliseconds });
        if (batch.isErr()) {
            return this.note(batch.error.kind);
        }
        if (this.abort.signal.aborted) {
            return true;
        }
        this.note(undefined);
        if (!batch.value.kept) {
            this.after = undefined;
            return true;
        }
        this.after = Math.max(after, batch.value.version);
        if (batch.value.changes.length > 0) {
            this.options.changed(batch.value.changes);
        }
        return true;
    }

    /** Logs when the table becomes unreachable and when it answers again. */
    private note(failure: string | undefined): boolean {
        const { timers, logger, table } = this.options;
        if (failure !== undefined && !this.failing) {
            logger.warn({ table, error: failure }, "changes of a table cannot be followed");
        }
        else if (failure === undefined && this.failing) {
            const silent = Math.round(timers.now() - this.answeredAt);
            logger.info({ table, milliseconds: silent }, "changes of a table are followed again");
        }
        this.failing = failure !== undefined;
        if (failure === undefined) {
            this.answeredAt = timers.now();
        }
        return failure === undefined;
    }
}
