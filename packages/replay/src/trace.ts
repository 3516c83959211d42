/**
 * The format of recorded traces: one JSON object per line. The first line describes the cell and the stated outcomes;
 * each following line is a submission, a cancellation or a change of a failure domain, in chronological order.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { FailureDomainState, resourcesSchema, WorkClass } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import * as z from "zod";

const workersSchema = z.strictObject({
    failureDomain: z.string(),
    count: z.int().min(1).max(20_000),
    racks: z.int().min(1).default(1),
    capacity: resourcesSchema,
});

/** Outcomes that a replay must reach. Seconds are in the virtual time of the trace. */
const outcomesSchema = z.strictObject({
    /** Maximum wait of an urgent task from submission to start. */
    urgentWaitSeconds: z.number().positive(),
    /** Maximum wait of a gang. */
    gangWaitSeconds: z.number().positive().optional(),
    /** Maximum wait of any other task. */
    batchWaitSeconds: z.number().positive().optional(),
    /** Minimum fraction of the processors in use, averaged over the time in which many tasks wait. */
    packing: z.number().min(0).max(1).optional(),
});

export type StatedOutcomes = z.infer<typeof outcomesSchema>;

const cellLineSchema = z.strictObject({
    kind: z.literal("cell"),
    name: z.string(),
    workers: z.array(workersSchema).min(1),
    teams: z.record(z.string(), z.strictObject({ share: z.number().positive(), upperLimit: z.int().min(1) })),
    outcomes: outcomesSchema,
});

/** First line of a trace. */
export type TraceCell = z.infer<typeof cellLineSchema>;

const submissionLineSchema = z.strictObject({
    kind: z.literal("job"),
    /** Milliseconds since the start of the trace. */
    at: z.number().min(0),
    id: z.string(),
    name: z.string(),
    team: z.string(),
    queue: z.string(),
    workClass: z.enum(WorkClass),
    /** Failure domain of the entry process that received the submission. */
    failureDomain: z.string(),
    tasks: z.int().min(1).default(1),
    size: resourcesSchema,
    /** Actual usage of each task; the declared size by default. */
    trueSize: resourcesSchema.optional(),
    declaredSeconds: z.number().positive().optional(),
    /** Actual run time of each task; absent for services, which run until the end of the trace. */
    trueSeconds: z.number().positive().optional(),
    allAtOnce: z.boolean().default(false),
    idempotent: z.boolean().default(true),
});

/** One submission. */
export type TraceJob = z.infer<typeof submissionLineSchema>;

const cancellationLineSchema = z.strictObject({ kind: z.literal("cancel"), at: z.number().min(0), id: z.string() });

const failureDomainLineSchema = z.strictObject({
    kind: z.literal("domain"),
    at: z.number().min(0),
    failureDomain: z.string(),
    state: z.enum(FailureDomainState),
});

const eventLineSchema = z.discriminatedUnion("kind", [
    submissionLineSchema,
    cancellationLineSchema,
    failureDomainLineSchema,
]);

/** A line after the first. */
export type TraceEvent = z.infer<typeof eventLineSchema>;

/** A parsed trace. */
export interface Trace {
    readonly cell: TraceCell;
    readonly events: readonly TraceEvent[];
}

/** Reads a trace file. The error contains the number of the first invalid line. */
export async function readTrace(path: string): Promise<Result<Trace, ServiceError>> {
    try {
        return parseTrace(await readFile(path, "utf8"));
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidRequest, describeUnknown(failure)));
    }
}

/** Parses the text of a trace. The error contains the number of the first invalid line. */
export function parseTrace(text: string): Result<Trace, ServiceError> {
    const lines = text.split("\n").filter(line => line.trim() !== "");
    const cell = parseLine(cellLineSchema, lines[0] ?? "", 1);
    if (cell.isErr()) {
        return err(cell.error);
    }
    const events: TraceEvent[] = [];
    for (const [index, line] of lines.slice(1).entries()) {
        const event = parseLine(eventLineSchema, line, index + 2);
        if (event.isErr()) {
            return err(event.error);
        }
        if (event.value.at < (events.at(-1)?.at ?? 0)) {
            return err(serviceError(ErrorKind.InvalidRequest, `line ${index + 2}: earlier than the previous line`));
        }
        events.push(event.value);
    }
    return ok({ cell: cell.value, events });
}

function parseLine<Value>(schema: z.ZodType<Value>, line: string, number: number): Result<Value, ServiceError> {
    try {
        const parsed = schema.safeParse(JSON.parse(line));
        if (parsed.success) {
            return ok(parsed.data);
        }
        const issue = parsed.error.issues[0];
        const path = issue?.path.join(".") ?? "";
        return err(serviceError(ErrorKind.InvalidRequest, `line ${number}: ${path}: ${issue?.message}`));
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidRequest, `line ${number}: ${describeUnknown(failure)}`));
    }
}
