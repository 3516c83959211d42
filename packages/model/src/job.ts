import * as z from "zod";
import type { Decision } from "./decision.ts";
import { resourcesSchema } from "./resources.ts";
import type { WorkClass } from "./workClass.ts";

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, "must be letters, digits, '.', '_' or '-'");

/** What a caller submits as a job. */
export const jobSpecificationSchema = z.strictObject({
    /** Name shared by similar jobs of a team; run times and sizes are learned by it. */
    name,
    team: name,
    queue: name,
    /** Number of equal tasks. */
    tasks: z.int().min(1).max(10_000).default(1),
    size: resourcesSchema,
    /** Declared run time of one task in seconds. Absent for services. */
    runSeconds: z.number().positive().max(31_536_000).optional(),
    /** All tasks start together or none does. */
    allAtOnce: z.boolean().default(false),
    /** A task of an idempotent job may run again after it was lost; one of a non-idempotent job never does. */
    idempotent: z.boolean().default(true),
    /** Only failure domains in which the job may run; empty means all. */
    failureDomains: z.array(name).max(64).default([]),
    /** Opaque payload for the worker, at most 64 KiB. Larger inputs go to the object store. */
    payload: z.string().max(65_536).default(""),
});

export type JobSpecification = z.infer<typeof jobSpecificationSchema>;

export const JobState = {
    Queued: "queued",
    Running: "running",
    Succeeded: "succeeded",
    Failed: "failed",
    Cancelled: "cancelled",
    /** A task of a non-idempotent job was lost after its start was sent. */
    OutcomeUnknown: "outcome_unknown",
    NeverRunnable: "never_runnable",
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

/** Whether a job in this state has ended. */
export function isFinished(state: JobState): boolean {
    return state !== JobState.Queued && state !== JobState.Running;
}

export const TaskState = {
    Waiting: "waiting",
    /** A start was sent and its answer is not known yet. */
    Starting: "starting",
    Running: "running",
    Succeeded: "succeeded",
    Failed: "failed",
    Cancelled: "cancelled",
    OutcomeUnknown: "outcome_unknown",
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** Part of a service job that runs in several failure domains. */
export interface JobPart {
    readonly id: string;
    /** Shard to which the part was given at submission; a moved part left a pointer there. */
    readonly shard: string;
    readonly tasks: number;
}

/** Record of one job as it lasts in the platform's table. */
export interface JobRecord {
    readonly id: string;
    readonly specification: JobSpecification;
    readonly workClass: WorkClass;
    readonly shard: string;
    /** Epoch of the shard under which the job was accepted. */
    readonly acceptedEpoch: number;
    readonly state: JobState;
    /** Wall-clock milliseconds, for people and for ordering by waiting time. */
    readonly submittedAt: number;
    readonly finishedAt?: number;
    /** Indices of tasks that ended well; they never start again. */
    readonly succeededTasks: readonly number[];
    /** Starts of non-idempotent tasks, written before the start is sent. */
    readonly intents: readonly StartIntent[];
    readonly decisions: readonly Decision[];
    /** Set when the job was moved to another shard before it ever started; the record there is the valid one. */
    readonly movedTo?: string;
    /** Shards that the job was moved away from and that may still hold a pointer to it, in order. */
    readonly movedFrom?: readonly string[];
    /** Parts of a split service job, which runs nothing itself; only a cancellation of the whole is recorded here. */
    readonly parts?: readonly JobPart[];
    /** Split job that this one is a part of. */
    readonly partOf?: string;
}

/** The one start that a non-idempotent task gets. */
export interface StartIntent {
    readonly task: number;
    readonly attempt: number;
    readonly worker: string;
    readonly bootId: string;
}

/** Identifier of a task, `<job>.<index>`. */
export function taskId(job: string, index: number): string {
    return `${job}.${index}`;
}
