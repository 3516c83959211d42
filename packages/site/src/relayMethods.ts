/** The methods that the processes of a cell call on each other: relayed calls to the store, and calls to the owner. */
import type { PeerMethod } from "@tanagerlink/peer";
import type {
    ChangeBatch,
    ChangeRequest,
    CommitOutcome,
    ListRequest,
    RecordPage,
    RecordTransaction,
} from "@tanagerlink/platform";
import { type JobSpecification, jobSpecificationSchema, JobState } from "@tanagerlink/workflow";
import * as z from "zod";

const nameFields = { table: z.string(), partition: z.string(), key: z.string() };
const bytesSchema = z.instanceof(Uint8Array);
const storedRecordSchema = z.object({ ...nameFields, value: bytesSchema, version: z.number() });

export const relayCommitMethod: PeerMethod<RecordTransaction, CommitOutcome> = {
    name: "store/commit",
    request: z.object({
        expectations: z.array(z.object({ ...nameFields, expectedVersion: z.number() })),
        writes: z.array(z.object({ ...nameFields, value: bytesSchema })),
        removals: z.array(z.object(nameFields)),
    }),
    answer: z.discriminatedUnion("committed", [
        z.object({ committed: z.literal(true), version: z.number() }),
        z.object({ committed: z.literal(false), current: z.array(storedRecordSchema) }),
    ]),
    // Transactions carry their expected versions. Only the registration of a member has none; it may be repeated.
    idempotent: true,
};

export const relayListMethod: PeerMethod<ListRequest, RecordPage> = {
    name: "store/list",
    request: z.object({
        table: z.string(),
        partition: z.string(),
        from: z.string().optional(),
        to: z.string().optional(),
    }) as z.ZodType<ListRequest>,
    answer: z.object({ records: z.array(storedRecordSchema), more: z.boolean(), version: z.number() }),
    idempotent: true,
};

export const relayChangesMethod: PeerMethod<ChangeRequest, ChangeBatch> = {
    name: "store/changes",
    request: z.object({ table: z.string(), after: z.number(), waitMilliseconds: z.number() }),
    answer: z.discriminatedUnion("kept", [
        z.object({
            kept: z.literal(true),
            changes: z.array(z.object({ ...nameFields, value: bytesSchema.optional(), version: z.number() })),
            version: z.number(),
        }),
        z.object({ kept: z.literal(false) }),
    ]) as z.ZodType<ChangeBatch>,
    idempotent: true,
};

export const notifyJobAcceptedMethod: PeerMethod<JobSpecification, Record<string, never>> = {
    name: "cell/accepted",
    request: jobSpecificationSchema,
    answer: z.strictObject({}),
    idempotent: true,
};

export const notifyJobCancelledMethod: PeerMethod<{ id: string; }, Record<string, never>> = {
    name: "cell/cancelled",
    request: z.object({ id: z.string() }),
    answer: z.strictObject({}),
    idempotent: true,
};

const jobStateSchema = z.enum([
    JobState.Queued,
    JobState.Running,
    JobState.Completed,
    JobState.Failed,
    JobState.Cancelled,
]);

/** `state` is missing for a job that the owner does not know. */
export const readJobStateMethod: PeerMethod<{ id: string; }, { state?: JobState | undefined; }> = {
    name: "cell/state",
    request: z.object({ id: z.string() }),
    answer: z.object({ state: jobStateSchema.optional() }),
    idempotent: true,
};

export const countPendingJobsMethod: PeerMethod<{ queue: string; }, { count: number; }> = {
    name: "cell/pending",
    request: z.object({ queue: z.string() }),
    answer: z.object({ count: z.number() }),
    idempotent: true,
};
