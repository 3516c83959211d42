/** Keys and schemas of the table rows of jobs, arrivals and submissions. */
import {
    type JobRecord,
    type JobSpecification,
    jobSpecificationSchema,
    JobState,
    Reason,
    WorkClass,
} from "@tanagerlink/model";
import type { TableRow } from "@tanagerlink/platform";
import { createHash } from "node:crypto";
import * as z from "zod";

const decisionSchema = z.object({
    at: z.number(),
    reason: z.enum(Reason),
    task: z.int().exactOptional(),
    worker: z.string().exactOptional(),
    configurationVersion: z.int(),
    origin: z.string().exactOptional(),
    detail: z.string().exactOptional(),
});

const intentSchema = z.object({ task: z.int(), attempt: z.int(), worker: z.string(), bootId: z.string() });

const partSchema = z.object({ id: z.string(), shard: z.string(), tasks: z.int() });

const recordSchema = z.object({
    id: z.string(),
    specification: jobSpecificationSchema,
    workClass: z.enum(WorkClass),
    shard: z.string(),
    acceptedEpoch: z.int(),
    state: z.enum(JobState),
    submittedAt: z.number(),
    finishedAt: z.number().exactOptional(),
    succeededTasks: z.array(z.int()),
    intents: z.array(intentSchema),
    decisions: z.array(decisionSchema),
    movedTo: z.string().exactOptional(),
    movedFrom: z.array(z.string()).exactOptional(),
    parts: z.array(partSchema).exactOptional(),
    partOf: z.string().exactOptional(),
});

const jobRowSchema = z.object({ record: recordSchema, idempotencyKey: z.string().exactOptional() });

const submissionRowSchema = z.object({ shard: z.string(), job: z.string(), digest: z.string() });

/** Value of `job/<shard>/<id>`. */
export interface JobRowValue {
    readonly record: JobRecord;
    readonly idempotencyKey?: string;
}

/** Value of `submission/<team>/<key>`. */
export type SubmissionRowValue = z.infer<typeof submissionRowSchema>;

export function jobPrefix(shard: string): string {
    return `job/${shard}/`;
}

export function jobKey(shard: string, job: string): string {
    return `${jobPrefix(shard)}${job}`;
}

/** Key prefix of the rows that notify the owner of a shard of jobs that were moved to it. */
export function arrivalPrefix(shard: string): string {
    return `arrival/${shard}/`;
}

export function isArrivalKey(key: string): boolean {
    return key.startsWith("arrival/");
}

/** Idempotency keys are free text; they are encoded so that a slash in one cannot yield the key of another row. */
export function submissionKey(team: string, idempotencyKey: string): string {
    return `submission/${team}/${encodeURIComponent(idempotencyKey)}`;
}

/** Key of the submission row that belongs to a job row; `undefined` when the job has no idempotency key. */
export function submissionKeyOfRow({ record, idempotencyKey }: JobRowValue): string | undefined {
    return idempotencyKey === undefined ? undefined : submissionKey(record.specification.team, idempotencyKey);
}

/** Parses a job row; `undefined` if it does not match the schema. */
export function parseJobRow(row: TableRow): JobRowValue | undefined {
    return jobRowSchema.safeParse(row.value).data as JobRowValue | undefined;
}

export function parseSubmissionRow(row: TableRow): SubmissionRowValue | undefined {
    return submissionRowSchema.safeParse(row.value).data;
}

/** Digest of the content of a submission; equal idempotency keys with different digests are a conflict. */
export function specificationDigest(specification: JobSpecification): string {
    const sorted = Object.entries(specification).sort(([left], [right]) => left < right ? -1 : 1);
    return createHash("sha256").update(JSON.stringify(sorted)).digest("base64");
}
