/** Reads whole tables for a new owner and retries until they are complete and current. */
import { listAllRecords, type RecordStore, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";

/** Delay before a failed or stale listing is retried. */
const RETRY_DELAY_MILLISECONDS = 100;

export interface RecordReaderOptions {
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Older listings may lack records that the previous owner has written. */
    readonly minimumVersion: number;
    /** Whether the records are no longer needed. */
    readonly isAbandoned: () => boolean;
}

export class RecordReader {
    private readonly options: RecordReaderOptions;

    constructor(options: RecordReaderOptions) {
        this.options = options;
    }

    /** Reads all records of the partitions. The result is incomplete only if the read was abandoned. */
    async read(table: string, partitions: readonly string[]): Promise<readonly StoredRecord[]> {
        const partitionRecords = await Promise.all(partitions.map(partition => this.readPartition(table, partition)));
        return partitionRecords.flat();
    }

    private async readPartition(table: string, partition: string): Promise<readonly StoredRecord[]> {
        const { store, timers, logger, minimumVersion, isAbandoned } = this.options;
        while (!isAbandoned()) {
            const listing = await listAllRecords(store, { table, partition });
            if (listing.isOk() && listing.value.version >= minimumVersion) {
                return listing.value.records;
            }
            logger.info(
                { table, error: listing.isErr() ? listing.error.kind : "stale" },
                "could not read current records; retrying",
            );
            await sleep(timers, RETRY_DELAY_MILLISECONDS);
        }
        return [];
    }
}
