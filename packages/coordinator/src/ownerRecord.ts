/**
 * The record that names the process that owns the cell. The owner rewrites it to renew its claim. Every transaction of
 * the owner expects the version that it wrote last, so that a process that has lost ownership cannot write.
 */
import { decodeJson, type RecordName, type StoredRecord } from "@tanagerlink/platform";
import type { Result } from "neverthrow";
import * as z from "zod";

export const CELL_TABLE = "cell";
/** The owner writes to one partition only, since a transaction cannot span partitions. */
export const OWNER_PARTITION = "owner";

export const ownerRecordName: RecordName = { table: CELL_TABLE, partition: OWNER_PARTITION, key: "owner" };

const ownerRecordSchema = z.object({
    /** Name of the owner's node; empty after the owner has released the cell. */
    node: z.string(),
    /** Identifier of one run of the owner's process; a restarted process is another owner. */
    incarnation: z.string(),
    /** Highest fencing token that the owner sends to workers; increases with each change of owner. */
    epoch: z.int(),
    /** Number of renewals in this epoch. */
    renewals: z.int(),
    /** Terms of the owner's leases; missing in records of earlier versions. */
    leaseTerms: z.object({
        leaseMilliseconds: z.number().positive(),
        authorityMilliseconds: z.number().min(0),
    }).optional(),
    /**
     * Remaining milliseconds of the leases on the workers with attempts that the owner could not reach when it wrote the
     * record. It extends none of them before a record without the worker is stored.
     */
    remainingLeases: z.record(z.string(), z.number().min(0)).optional(),
    /**
     * Remaining milliseconds of leases that last longer than the terms say, on workers that the owner reaches. A worker
     * that has restarted may hold one that was meant for its former incarnation.
     */
    longerLeases: z.record(z.string(), z.number().min(0)).optional(),
    /** Milliseconds after which all leases of previous owners on other workers have expired. */
    otherLeasesMilliseconds: z.number().min(0).optional(),
});

export type OwnerRecord = z.infer<typeof ownerRecordSchema>;

/** What the record says of leases. */
export type LeaseStatement = Pick<
    OwnerRecord,
    "leaseTerms" | "remainingLeases" | "longerLeases" | "otherLeasesMilliseconds"
>;

/** The owner record and its version in the store. */
export interface VersionedOwnerRecord {
    readonly record: OwnerRecord;
    readonly version: number;
}

export function encodeJson(value: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(value));
}

export function decodeOwnerRecord(stored: StoredRecord): Result<VersionedOwnerRecord, string> {
    return decodeJson(ownerRecordSchema, stored.value).map(record => ({ record, version: stored.version }));
}

/** Whether the same owner wrote both records in the same epoch; the number of renewals may differ. */
export function isSameOwnerAndEpoch(left: OwnerRecord, right: OwnerRecord): boolean {
    return left.node === right.node && left.incarnation === right.incarnation && left.epoch === right.epoch;
}
