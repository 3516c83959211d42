/**
 * Schemas of the JSON bodies of the worker protocol, as the stand-in checks them, and of the payload that tells a
 * simulated worker how a task behaves.
 */
import { resourcesSchema } from "@tanagerlink/model";
import * as z from "zod";

const epoch = z.int().min(0);
const attempt = z.object({ job: z.string(), task: z.int().min(0), attempt: z.int().min(0) });

export const attachSchema = z.object({ shard: z.string(), epoch });

export const heartbeatSchema = z.object({
    epoch,
    bootId: z.string(),
    lastReport: z.int().min(0),
    /** `listed` stands for all attempts that the report `lastReport` lists as running. */
    renew: z.union([z.array(attempt), z.literal("listed")]),
    acknowledge: z.array(attempt),
    /** The report may be a difference to the report `lastReport`. */
    differences: z.boolean().default(false),
    hold: z.object({ milliseconds: z.number().positive(), periodMilliseconds: z.number().positive() }).optional(),
});

export const releaseSchema = z.object({ epoch, bootId: z.string() });

export const startSchema = attempt.extend({
    epoch,
    bootId: z.string(),
    lastReport: z.int().min(0),
    team: z.string(),
    size: resourcesSchema,
    leaseMilliseconds: z.number().positive(),
    payload: z.string(),
});

export const attemptSchema = z.object({ epoch, attempt });

/** How a simulated task behaves. Without a run time it runs until it is stopped. */
export const payloadSchema = z.object({
    runMilliseconds: z.number().min(0).optional(),
    exitCode: z.int().default(0),
    usage: resourcesSchema.optional(),
});

export type TaskBehaviour = z.infer<typeof payloadSchema>;

/** Reads the payload of a task; text that is no such object makes a task with default behaviour. */
export function readBehaviour(payload: string, runMilliseconds: number | undefined): TaskBehaviour {
    const parsed = payloadSchema.safeParse(payload === "" ? {} : parseJson(payload));
    const behaviour = parsed.success ? parsed.data : { exitCode: 0 };
    return behaviour.runMilliseconds === undefined && runMilliseconds !== undefined
        ? { ...behaviour, runMilliseconds }
        : behaviour;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
