/**
 * Schemas of a job submission, sent from an entry process to the owner of a shard, and of the job status for callers.
 */
import {
    type Decision,
    type JobPart,
    type JobRecord,
    jobSpecificationSchema,
    JobState,
    shardId,
    TaskState,
    WorkClass,
} from "@tanagerlink/model";
import * as z from "zod";

/** The entry process chooses the identifier, so that a submission that is sent twice is accepted only once. */
export const submissionSchema = z.strictObject({
    id: z.string().min(1).max(256),
    shard: z.string().min(1).max(128),
    specification: jobSpecificationSchema,
    workClass: z.enum(WorkClass),
    idempotencyKey: z.string().min(1).max(256).optional(),
    submittedAt: z.number(),
});

export type Submission = z.infer<typeof submissionSchema>;

const decisionSchema = z.custom<Decision>(value => typeof value === "object" && value !== undefined);

/** Status of one part of a split job, as shown to callers. */
export const partStatusSchema = z.object({
    id: z.string(),
    /** Shard that currently holds the part. */
    shard: z.string(),
    state: z.enum(JobState),
    tasks: z.partialRecord(z.enum(TaskState), z.number()),
    /** The owner of the part could not be reached; state and tasks are those in the table or at submission. */
    unreachable: z.boolean().optional(),
});

export type PartStatus = z.infer<typeof partStatusSchema>;

/** Status of one job, as shown to callers. */
export const jobStatusSchema = z.object({
    id: z.string(),
    name: z.string(),
    team: z.string(),
    queue: z.string(),
    workClass: z.enum(WorkClass),
    shard: z.string(),
    state: z.enum(JobState),
    /** Number of tasks by state; states without tasks are left out. */
    tasks: z.partialRecord(z.enum(TaskState), z.number()),
    submittedAt: z.number(),
    finishedAt: z.number().optional(),
    decisions: z.array(decisionSchema),
    /** Parts of a service job that is split over failure domains; its tasks and state are derived from them. */
    parts: z.array(partStatusSchema).optional(),
    /** Identifier of the job that this one is a part of. */
    partOf: z.string().optional(),
    /** The submission repeated an earlier one with the same idempotency key. */
    repeated: z.boolean().optional(),
});

export type JobStatus = z.infer<typeof jobStatusSchema>;

/** Builds the status from the durable record alone, for jobs whose owner cannot be reached. */
export function statusOfRecord(record: JobRecord): JobStatus {
    const { specification } = record;
    const succeeded = record.succeededTasks.length;
    const unfinished = specification.tasks - succeeded;
    return {
        id: record.id,
        name: specification.name,
        team: specification.team,
        queue: specification.queue,
        workClass: record.workClass,
        shard: record.shard,
        state: record.state,
        tasks: {
            ...(succeeded > 0 ? { [TaskState.Succeeded]: succeeded } : {}),
            ...(unfinished > 0 ? { [TaskState.Waiting]: unfinished } : {}),
        },
        submittedAt: record.submittedAt,
        decisions: [...record.decisions],
        ...(record.finishedAt === undefined ? {} : { finishedAt: record.finishedAt }),
        ...(record.partOf === undefined ? {} : { partOf: record.partOf }),
        ...(record.parts === undefined ? {} : { parts: record.parts.map(partAtSubmission) }),
    };
}

function partAtSubmission({ id, shard, tasks }: JobPart): PartStatus {
    return { id, shard, state: JobState.Queued, tasks: { [TaskState.Waiting]: tasks } };
}

/** Builds a job identifier that contains the shard in which the job was accepted: `<domain>.<index>.<unique>`. */
export function jobIdentifier(shard: string, unique: string): string {
    return `${shard.replace("/", ".")}.${unique}`;
}

/** Builds the identifier of a part of a split job. Like any job identifier, it contains the first shard of the part. */
export function partIdentifier(job: string, shard: string, position: number): string {
    return jobIdentifier(shard, `${job.slice(job.lastIndexOf(".") + 1)}-p${position}`);
}

/** Shard in which a job was accepted; `undefined` if the identifier is not a valid job identifier. */
export function shardOfJob(job: string): string | undefined {
    const match = /^(.+)\.(\d+)\.[A-Za-z0-9_-]+$/.exec(job);
    return match?.[1] === undefined || match[2] === undefined ? undefined : shardId(match[1], Number(match[2]));
}
