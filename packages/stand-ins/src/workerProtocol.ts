/**
 * Schemas with which the stand-in validates the JSON bodies of the worker protocol, and the schema of the task payload
 * that controls how a simulated task behaves.
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
    /** `listed` means all attempts that the report `lastReport` lists as running. */
    renew: z.union([z.array(attempt), z.literal("listed")]),
    acknowledge: z.array(attempt),
    /** Whether the answer may be a difference from the report `lastReport`. */
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

/** Behaviour of a simulated task. Without `runMilliseconds` it runs until it is stopped. */
export const payloadSchema = z.object({
    runMilliseconds: z.number().min(0).optional(),
    exitCode: z.int().default(0),
    usage: resourcesSchema.optional(),
});

export type TaskBehaviour = z.infer<typeof payloadSchema>;

/** Parses the payload of a task; an invalid payload gives the default behaviour. */
export function readBehaviour(payload: string, defaultRunMilliseconds: number | undefined): TaskBehaviour {
    const parsed = payloadSchema.safeParse(payload === "" ? {} : parseJson(payload));
    const behaviour = parsed.success ? parsed.data : { exitCode: 0 };
    return behaviour.runMilliseconds === undefined && defaultRunMilliseconds !== undefined
        ? { ...behaviour, runMilliseconds: defaultRunMilliseconds }
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
