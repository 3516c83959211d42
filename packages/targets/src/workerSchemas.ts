/** Schemas of the answers of workers. */
import { resourcesSchema } from "@tanagerlink/model";
import * as z from "zod";
import { type TaskAttempt, type WorkerReport, type WorkerTask, WorkerTaskState } from "./workerClient.ts";

export const workerTaskSchema: z.ZodType<WorkerTask> = z.object({
    job: z.string(),
    task: z.int().min(0),
    attempt: z.int().min(0),
    team: z.string(),
    size: resourcesSchema,
    state: z.enum(WorkerTaskState),
    usage: resourcesSchema.optional(),
    exitCode: z.int().optional(),
}).transform(task => ({ ...task, usage: task.usage, exitCode: task.exitCode }));

const attemptSchema = z.object({ job: z.string(), task: z.int().min(0), attempt: z.int().min(0) });

/** Fields that a difference may omit because they rarely change; they are then as in the earlier report. */
type OmittableField = "capacity" | "capabilities" | "holds";

/** Report as it is received, either complete or as the difference to an earlier one. */
export interface WireReport extends Omit<WorkerReport, OmittableField> {
    readonly capacity?: WorkerReport["capacity"] | undefined;
    readonly capabilities?: WorkerReport["capabilities"] | undefined;
    readonly holds?: boolean | undefined;
    /** Whether the worker can send differences and expand shortened heartbeats. */
    readonly differences?: boolean | undefined;
    /** Sequence number of the report to which `tasks` and `removed` are the difference. */
    readonly since?: number | undefined;
    readonly removed?: readonly TaskAttempt[] | undefined;
}

export const workerReportSchema: z.ZodType<WireReport> = z.object({
    worker: z.string(),
    bootId: z.string().min(1),
    epoch: z.int().min(0),
    sequence: z.int().min(0),
    capacity: resourcesSchema.optional(),
    capabilities: z.object({
        fencing: z.boolean(),
        deduplication: z.boolean(),
        listing: z.boolean(),
        leaseTimer: z.boolean(),
    }).optional(),
    leaving: z.boolean(),
    holds: z.boolean().optional(),
    tasks: z.array(workerTaskSchema),
    differences: z.boolean().optional(),
    since: z.int().min(0).optional(),
    removed: z.array(attemptSchema).optional(),
});

/** Body of an answer that refuses a call. */
export const refusalSchema = z.object({
    error: z.string(),
    epoch: z.int().min(0).optional(),
    message: z.string().default(""),
});

/** Parses JSON text; `undefined` if it is malformed. */
export function parseJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(body));
    }
    catch {
        return undefined;
    }
}
