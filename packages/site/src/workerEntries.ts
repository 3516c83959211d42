/**
 * The entries of the platform's list of workers. Workers rewrite their records about every second; only records with
 * new bytes are decoded, and an entry that says the same as before stays the same object.
 */
import type { WorkerEntry } from "@tanagerlink/coordinator";
import type { Logger } from "@tanagerlink/telemetry";
import type { Result } from "neverthrow";
import { isDeepStrictEqual } from "node:util";

/** Reads the list of workers in the platform's format. */
export interface WorkerSource {
    readonly table: string;
    readonly partition: string;
    /** The error is the reason why the entry describes no valid worker. */
    readEntry(id: string, value: Uint8Array): Result<WorkerEntry, string>;
}

export interface WorkerEntriesOptions {
    readonly workers: WorkerSource;
    readonly logger: Logger;
}

interface DecodedRecord {
    readonly value: Uint8Array;
    /** `undefined` if the record describes no valid worker. */
    readonly entry: WorkerEntry | undefined;
    readonly writtenAfter: number;
}

export class WorkerEntries {
    private readonly options: WorkerEntriesOptions;
    private decoded: ReadonlyMap<string, DecodedRecord> = new Map();

    constructor(options: WorkerEntriesOptions) {
        this.options = options;
    }

    /** Monotonic time by worker after which its record was written. */
    get writtenAfter(): ReadonlyMap<string, number> {
        return new Map([...this.decoded].map(([id, { writtenAfter }]) => [id, writtenAfter]));
    }

    /**
     * Returns the valid entries of the current records, given by worker. Records with new bytes have been written after
     * the given monotonic time.
     */
    update(records: ReadonlyMap<string, Uint8Array>, writtenAfter: number): ReadonlyMap<string, WorkerEntry> {
        const decoded = new Map<string, DecodedRecord>();
        const entries = new Map<string, WorkerEntry>();
        for (const [id, value] of records) {
            const previous = this.decoded.get(id);
            const isSame = previous !== undefined && Buffer.compare(previous.value, value) === 0;
            const record = isSame ? previous : { ...this.decode(id, value, previous), writtenAfter };
            decoded.set(id, record);
            if (record.entry !== undefined) {
                entries.set(id, record.entry);
            }
        }
        this.decoded = decoded;
        return entries;
    }

    private decode(
        id: string,
        value: Uint8Array,
        previous: DecodedRecord | undefined,
    ): Omit<DecodedRecord, "writtenAfter"> {
        const { workers, logger } = this.options;
        const read = workers.readEntry(id, value);
        if (read.isOk()) {
            const isUnchanged = isDeepStrictEqual(read.value, previous?.entry);
            return { value, entry: isUnchanged ? previous?.entry : read.value };
        }
        if (previous === undefined || previous.entry !== undefined) {
            logger.warn({ worker: id, reason: read.error }, "worker entry is invalid; the worker is not used");
        }
        return { value, entry: undefined };
    }
}
