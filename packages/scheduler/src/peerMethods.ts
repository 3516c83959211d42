/** Methods that the owner of a shard provides to other processes. */
import { WorkClass } from "@tanagerlink/model";
import type { PeerMethod } from "@tanagerlink/peer";
import * as z from "zod";
import { type JobStatus, jobStatusSchema, type Submission, submissionSchema } from "./submission.ts";

const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, "must be a Uint8Array");
const headers = z.record(z.string(), z.string());

const jobReferenceSchema = z.strictObject({ shard: z.string(), job: z.string() });

/** Identifies a job and the shard that holds it. */
export type JobReference = z.infer<typeof jobReferenceSchema>;

const forwardedRequestSchema = z.strictObject({
    shard: z.string(),
    request: z.strictObject({
        id: z.string(),
        service: z.string(),
        team: z.string(),
        workClass: z.enum(WorkClass),
        idempotent: z.boolean(),
        method: z.string(),
        path: z.string(),
        headers,
        body: bytes,
        remainingMilliseconds: z.number(),
    }),
});

/** A request with the shard whose owner runs it. */
export type ForwardedRequest = z.infer<typeof forwardedRequestSchema>;

const forwardedResponseSchema = z.strictObject({
    requestId: z.string(),
    status: z.int(),
    headers,
    setCookies: z.array(z.string()).exactOptional(),
    body: bytes,
    executor: z.string(),
    shard: z.string(),
    attempts: z.int(),
});

export type ForwardedResponse = z.infer<typeof forwardedResponseSchema>;

/** Idempotent because the submission carries the identifier of the job. */
export const submitMethod: PeerMethod<Submission, JobStatus> = {
    name: "scheduler/submit",
    request: submissionSchema,
    answer: jobStatusSchema,
    idempotent: true,
};

export const cancelMethod: PeerMethod<JobReference, JobStatus> = {
    name: "scheduler/cancel",
    request: jobReferenceSchema,
    answer: jobStatusSchema,
    idempotent: true,
};

export const statusMethod: PeerMethod<JobReference, JobStatus> = {
    name: "scheduler/status",
    request: jobReferenceSchema,
    answer: jobStatusSchema,
    idempotent: true,
};

/** Not marked as idempotent because the forwarded request may not be. */
export const requestMethod: PeerMethod<ForwardedRequest, ForwardedResponse> = {
    name: "scheduler/request",
    request: forwardedRequestSchema,
    answer: forwardedResponseSchema,
};
