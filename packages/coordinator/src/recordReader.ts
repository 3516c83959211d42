/** Reads whole tables for a new owner, as often as it takes. */
import { listAll, type RecordStore, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";

/** Pause before records are read again. */
const RETRY_MILLISECONDS = 100;

export interface RecordReaderOptions {
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Listings of an older version lack records that the former owner may have written. */
    readonly minimumVersion: number;
    /** Whether the records are no longer wanted. */
    readonly abandoned: () => boolean;
}

export class RecordReader {
    private readonly options: RecordReaderOptions;

    constructor(options: RecordReaderOptions) {
        this.options = options;
    }

    /** All records of the partitions; incomplete only if the reading was abandoned. */
    async read(table: string, partitions: readonly string[]): Promise<readonly StoredRecord[]> {
        const read = await Promise.all(partitions.map(partition => this.readPartition(table, partition)));
        return read.flat();
    }

    private async readPartition(table: string, partition: string): Promise<readonly StoredRecord[]> {
        const { store, timers, logger, minimumVersion, abandoned } = this.options;
        while (!abandoned()) {
            const listing = await listAll(store, { table, partition });
            if (listing.isOk() && listing.value.version >= minimumVersion) {
                return listing.value.records;
            }
            logger.info({ table, error: listing.isErr() ? listing.error.kind : "stale" }, "records not read yet");
            await sleep(timers, RETRY_MILLISECONDS);
        }
        return [];
    }
}
