/**
 * The record that names the process which owns the cell. Its owner rewrites it to renew its claim; every transaction of
 * the owner expects the version that it wrote, so that a process that lost the claim cannot record anything.
 */
import { decodeJson, type RecordName, type StoredRecord } from "@tanagerlink/platform";
import type { Result } from "neverthrow";
import * as z from "zod";

export const CELL_TABLE = "cell";
/** Partition of all that the owner writes, since a transaction keeps to one. */
export const OWNER_PARTITION = "owner";

export const ownerRecordName: RecordName = { table: CELL_TABLE, partition: OWNER_PARTITION, key: "owner" };

const ownerRecordSchema = z.object({
    /** Empty when the last owner has given the cell back. */
    node: z.string(),
    /** Start of the owner's process; a restarted process is another owner. */
    incarnation: z.string(),
    /** Fencing token towards workers; rises with each owner. */
    epoch: z.int(),
    /** Number of renewals under this epoch. */
    renewals: z.int(),
});

export type OwnerRecord = z.infer<typeof ownerRecordSchema>;

/** The owner record and its version in the store. */
export interface SeenOwner {
    readonly record: OwnerRecord;
    readonly version: number;
}

export function encodeRecord(value: unknown): Uint8Array {
    return Buffer.from(JSON.stringify(value));
}

export function decodeOwner(stored: StoredRecord): Result<SeenOwner, string> {
    return decodeJson(ownerRecordSchema, stored.value).map(record => ({ record, version: stored.version }));
}

/** Whether two records name the same claim, apart from its renewals. */
export function isSameClaim(left: OwnerRecord, right: OwnerRecord): boolean {
    return left.node === right.node && left.incarnation === right.incarnation && left.epoch === right.epoch;
}
