/** A job on its way from an entry process to the owner of a shard, and what callers learn about a job. */
import {
    type Decision,
    type JobRecord,
    jobSpecificationSchema,
    JobState,
    shardId,
    TaskState,
    WorkClass,
} from "@tanagerlink/model";
import { z } from "zod";

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
    };
}

/** Builds a job identifier that names the shard in which the job was accepted: `<domain>.<index>.<unique>`. */
export function jobIdentifier(shard: string, unique: string): string {
    return `${shard.replace("/", ".")}.${unique}`;
}

/** Shard in which a job was accepted; `undefined` when the identifier isn't one of a job. */
export function shardOfJob(job: string): string | undefined {
    const match = /^(.+)\.(\d+)\.[A-Za-z0-9_-]+$/.exec(job);
    return match?.[1] === undefined || match[2] === undefined ? undefined : shardId(match[1], Number(match[2]));
}
