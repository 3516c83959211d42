/**
 * The record that names the process which owns the cell. Its owner rewrites it to renew its claim; every transaction of
 * the owner expects the version that it wrote, so that a process that lost the claim cannot record anything.
 */
import type { RecordName, StoredRecord } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

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

/** Reads a record of our own tables; the error is the reason. */
export function decodeRecord<Value>(schema: z.ZodType<Value>, value: Uint8Array): Result<Value, string> {
    let json: unknown;
    try {
        json = JSON.parse(Buffer.from(value).toString("utf8"));
    }
    catch (failure) {
        return err(String(failure));
    }
    const parsed = schema.safeParse(json);
    return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

export function decodeOwner(stored: StoredRecord): Result<SeenOwner, string> {
    return decodeRecord(ownerRecordSchema, stored.value).map(record => ({ record, version: stored.version }));
}

/** Whether two records name the same claim, apart from its renewals. */
export function isSameClaim(left: OwnerRecord, right: OwnerRecord): boolean {
    return left.node === right.node && left.incarnation === right.incarnation && left.epoch === right.epoch;
}
