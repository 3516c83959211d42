/** A job on its way from an entry process to the owner of a shard, and what callers learn about a job. */
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

/** The entry process chooses the identifier, so that the same submission sent twice is accepted once. */
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

/** One part of a split job as callers see it. */
export const partStatusSchema = z.object({
    id: z.string(),
    /** Shard that holds the part now. */
    shard: z.string(),
    state: z.enum(JobState),
    tasks: z.partialRecord(z.enum(TaskState), z.number()),
    /** The owner of the part could not be asked; state and tasks are the last ones in the table or at submission. */
    unreachable: z.boolean().optional(),
});

export type PartStatus = z.infer<typeof partStatusSchema>;

/** One job as callers see it. */
export const jobStatusSchema = z.object({
    id: z.string(),
    name: z.string(),
    team: z.string(),
    queue: z.string(),
    workClass: z.enum(WorkClass),
    shard: z.string(),
    state: z.enum(JobState),
    /** Number of tasks in each state that occurs. */
    tasks: z.partialRecord(z.enum(TaskState), z.number()),
    submittedAt: z.number(),
    finishedAt: z.number().optional(),
    decisions: z.array(decisionSchema),
    /** Parts of a service job over several failure domains; tasks and state of the job are derived from them. */
    parts: z.array(partStatusSchema).optional(),
    /** Job that this one is a part of. */
    partOf: z.string().optional(),
    /** The submission repeated an earlier one with the same idempotency key. */
    repeated: z.boolean().optional(),
});

export type JobStatus = z.infer<typeof jobStatusSchema>;

/** Builds the status from the durable record alone, for jobs whose owner can't be asked. */
export function statusOfRecord(record: JobRecord): JobStatus {
    const { specification } = record;
    const succeeded = record.succeededTasks.length;
    const others = specification.tasks - succeeded;
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
            ...(others > 0 ? { [TaskState.Waiting]: others } : {}),
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

/** Builds a job identifier that names the shard in which the job was accepted: `<domain>.<index>.<unique>`. */
export function jobIdentifier(shard: string, unique: string): string {
    return `${shard.replace("/", ".")}.${unique}`;
}

/** Identifier of a part of a split job. It names the shard of the part, as any job identifier does. */
export function partIdentifier(job: string, shard: string, position: number): string {
    return jobIdentifier(shard, `${job.slice(job.lastIndexOf(".") + 1)}-p${position}`);
}

/** Shard in which a job was accepted; `undefined` when the identifier isn't one of a job. */
export function shardOfJob(job: string): string | undefined {
    const match = /^(.+)\.(\d+)\.[A-Za-z0-9_-]+$/.exec(job);
    return match?.[1] === undefined || match[2] === undefined ? undefined : shardId(match[1], Number(match[2]));
}
