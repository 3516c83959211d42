import * as z from "zod";
import type { Decision } from "./decision.ts";
import { resourcesSchema } from "./resources.ts";
import type { WorkClass } from "./workClass.ts";

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, "must be letters, digits, '.', '_' or '-'");

/** Specification of a job as submitted by a caller. */
export const jobSpecificationSchema = z.strictObject({
    /** Name shared by similar jobs of a team; run times and sizes are estimated per name. */
    name,
    team: name,
    queue: name,
    /** Number of identical tasks. */
    tasks: z.int().min(1).max(10_000).default(1),
    size: resourcesSchema,
    /** Declared run time of a task. Absent for services. */
    runSeconds: z.number().positive().max(31_536_000).optional(),
    /** Gang scheduling: all tasks start together or none does. */
    allAtOnce: z.boolean().default(false),
    /** A lost task is started again if the job is idempotent, and never otherwise. */
    idempotent: z.boolean().default(true),
    /** Failure domains in which the job may run; empty means all. */
    failureDomains: z.array(name).max(64).default([]),
    /** Opaque payload for the worker, at most 64 KiB. Larger inputs belong in the object store. */
    payload: z.string().max(65_536).default(""),
});

export type JobSpecification = z.infer<typeof jobSpecificationSchema>;

export const JobState = {
    Queued: "queued",
    Running: "running",
    Succeeded: "succeeded",
    Failed: "failed",
    Cancelled: "cancelled",
    /** A task of a non-idempotent job was lost after its start request had been sent. */
    OutcomeUnknown: "outcome_unknown",
    NeverRunnable: "never_runnable",
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

export function isFinished(state: JobState): boolean {
    return state !== JobState.Queued && state !== JobState.Running;
}

export const TaskState = {
    Waiting: "waiting",
    /** The start request was sent and its response has not been received yet. */
    Starting: "starting",
    Running: "running",
    Succeeded: "succeeded",
    Failed: "failed",
    Cancelled: "cancelled",
    OutcomeUnknown: "outcome_unknown",
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** Part of a service job that is split over several failure domains. */
export interface JobPart {
    readonly id: string;
    /** Shard to which the part was assigned at submission. If the part has moved, a pointer to it remains there. */
    readonly shard: string;
    readonly tasks: number;
}

/** Record of a job as stored in the platform's table. */
export interface JobRecord {
    readonly id: string;
    readonly specification: JobSpecification;
    readonly workClass: WorkClass;
    readonly shard: string;
    /** Epoch of the shard under which the job was accepted. */
    readonly acceptedEpoch: number;
    readonly state: JobState;
    /** Wall-clock time in milliseconds, for display and for ordering by waiting time. */
    readonly submittedAt: number;
    readonly finishedAt?: number;
    /** Indices of tasks that succeeded; they are never started again. */
    readonly succeededTasks: readonly number[];
    /** Starts of non-idempotent tasks, stored before the start request is sent. */
    readonly intents: readonly StartIntent[];
    readonly decisions: readonly Decision[];
    /** Shard to which the job was moved before its first start; the record in that shard is authoritative. */
    readonly movedTo?: string;
    /** Shards from which the job was moved, in order; they may still hold a pointer to it. */
    readonly movedFrom?: readonly string[];
    /**
     * Parts of a split service job. The job itself runs no tasks; only its cancellation as a whole is recorded here.
     */
    readonly parts?: readonly JobPart[];
    /** Split job to which this job belongs as a part. */
    readonly partOf?: string;
}

/** The start of a non-idempotent task, which is started at most once. */
export interface StartIntent {
    readonly task: number;
    readonly attempt: number;
    readonly worker: string;
    readonly bootId: string;
}

/** Builds the identifier of a task, `<job>.<index>`. */
export function taskId(job: string, index: number): string {
    return `${job}.${index}`;
}
