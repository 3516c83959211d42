/**
 * Schemas of the fields in each section of the configuration files. Names of durations include the unit.
 */
import { FailureDomainState, LimitEnforcement, WorkClass } from "@tanagerlink/model";
import * as z from "zod";

/** Number of shards of a failure domain whose entry does not set one. */
export const DEFAULT_SHARDS = 2;

/** With more shards, the lease renewals of one failure domain would exceed the platform's write rate. */
const MAXIMUM_SHARDS = 256;

const SALT_BYTES = 16;
const HASH_BYTES = 32;

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "must be letters, digits, '.', '_' or '-'");

function base64Bytes(bytes: number) {
    return z.base64({ error: "must be base64; quote it", abort: true }).refine(
        text => Buffer.from(text, "base64").length === bytes,
        `must be ${bytes} bytes in base64`,
    );
}

/** @internal Names of entries. Key identifiers contain no dot, since a dot separates them from the secret. */
export const entryNameSchemas = {
    teams: nameSchema,
    keys: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/, "must be letters, digits, '_' or '-'"),
    queues: nameSchema,
    domains: nameSchema,
    services: nameSchema,
};

/** @internal */
export const teamFieldsSchema = z.strictObject({
    "share": z.number().positive().max(1_000_000),
    "upper-limit": z.int().min(0).max(1_000_000_000),
    "enforce": z.enum(LimitEnforcement).default(LimitEnforcement.Starts),
});

/** @internal */
export const keyFieldsSchema = z.strictObject({
    "team": nameSchema,
    "salt": base64Bytes(SALT_BYTES),
    "hash": base64Bytes(HASH_BYTES),
    "revoked": z.boolean().default(false),
});

/** @internal */
export const queueFieldsSchema = z.strictObject({
    "work-class": z.enum(WorkClass),
    "open": z.boolean().default(false),
});

/** @internal */
export const domainFieldsSchema = z.strictObject({
    "region": nameSchema,
    "state": z.enum(FailureDomainState).default(FailureDomainState.Active),
    "shards": z.int().min(1).max(MAXIMUM_SHARDS).default(DEFAULT_SHARDS),
});

/** Limits all requests: a new owner of an executor's slots waits this long for requests that it does not know of. */
const MAXIMUM_REQUEST_MILLISECONDS = 60_000;

/** @internal */
export const serviceFieldsSchema = z.strictObject({
    "queue": nameSchema,
    "deadline-milliseconds": z.int().min(1).max(MAXIMUM_REQUEST_MILLISECONDS),
});

/** @internal */
export const settingsFieldsSchema = z.strictObject({
    "urgent-reserve": z.number().min(0).max(0.5).default(0.03),
    "aging-seconds": z.number().positive().max(31_536_000).default(600),
    "worker-failure-limit": z.int().min(1).max(1_000).default(3),
    "job-failure-limit": z.int().min(1).max(1_000).default(3),
});
