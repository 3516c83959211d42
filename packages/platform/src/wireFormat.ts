/**
 * Schemas of the requests and responses of the platform's HTTP interface. The adapters validate every response against
 * them, and the stand-in platform validates every request.
 */
import { vmRecordSchema } from "@tanagerlink/model";
import * as z from "zod";

/** Paths of the platform's HTTP interface below its base URL. */
export const PlatformPath = {
    /** POST, `readRequestSchema` to `readResponseSchema`. */
    TableRead: "/table/read",
    /** POST, `rangeRequestSchema` to `rangeResponseSchema`. */
    TableRange: "/table/range",
    /** POST, `transactionSchema` to `transactionResponseSchema`. */
    TableTransact: "/table/transact",
    /** PUT, GET and DELETE, followed by the encoded name. 404 means that there is no such object. */
    Objects: "/objects/",
    /**
     * GET, `vmListResponseSchema`. A platform may support the filters `?role=<role>` and `?failure-domain=<name>`; it
     * then sets `filtered` in each response to which it applied them. It may send an `ETag` and respond to
     * `If-None-Match` with status 304.
     */
    VirtualMachines: "/vms",
} as const;

export const tableRowSchema = z.object({
    key: z.string().min(1),
    value: z.unknown(),
    version: z.int().min(1),
    transactionId: z.string(),
});

export const readRequestSchema = z.object({ key: z.string().min(1) });
/** `row` is absent if there is no such row. */
export const readResponseSchema = z.object({ row: tableRowSchema.optional() });

export const rangeRequestSchema = z.object({
    prefix: z.string(),
    after: z.string().optional(),
    limit: z.int().min(1).max(10_000),
});
export const rangeResponseSchema = z.object({ rows: z.array(tableRowSchema) });

const conditionSchema = z.object({ key: z.string().min(1), expectedVersion: z.int().min(0) });

export const transactionSchema = z.object({
    id: z.string().min(1),
    conditions: z.array(conditionSchema),
    /** A write without a value deletes the row. */
    writes: z.array(conditionSchema.extend({ value: z.unknown().optional() })),
});

export const transactionResponseSchema = z.discriminatedUnion("committed", [
    z.object({ committed: z.literal(true), versions: z.record(z.string(), z.int().min(0)) }),
    z.object({ committed: z.literal(false), conflicts: z.array(z.string()).min(1), rows: z.array(tableRowSchema) }),
]);

export const vmListResponseSchema = z.object({
    vms: z.array(vmRecordSchema),
    /** Whether the filters of the request were applied. */
    filtered: z.boolean().optional(),
});
