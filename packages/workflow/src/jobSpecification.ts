/** The specification of a submitted job: its steps, each with a number of equal tasks. */
import { resourcesSchema } from "@tanagerlink/model";
import * as z from "zod";

const MAXIMUM_STEPS = 200;
/** Tasks of one occurrence, all of which the owner keeps in memory while the occurrence is open. */
const MAXIMUM_TASKS = 5_000;

const DEFAULT_HINT_VALIDITY_MILLISECONDS = 2_000;

const stepSchema = z.object({
    /** Number of tasks. */
    count: z.int().min(1).max(MAXIMUM_TASKS),
    /** Resources of each task. */
    size: resourcesSchema,
    /** Estimated duration of a task. */
    estimateMilliseconds: z.number().min(0),
    /** Indices of the steps that must be done before this one starts. */
    after: z.array(z.int().min(0)),
    /** Whether a stopped task can resume from a checkpoint. */
    checkpoints: z.boolean(),
    /** Whether the tasks form a gang: they start with one attempt number and end together. */
    gang: z.boolean(),
    /** Whether the tasks take longer when they are spread over several racks. */
    sameRack: z.boolean(),
    /** Label that a worker must have. */
    requiredLabel: z.string().optional(),
    /** Rack that holds the data of the tasks. */
    preferredRack: z.string().optional(),
    /** Maximum number of tasks of one occurrence of the step on one worker. */
    maximumPerWorker: z.int().min(1).optional(),
    /** Whether a task may run speculatively on several workers at once. */
    speculative: z.boolean(),
    /** Whether the tasks run until the job is cancelled and are restarted however they end. */
    lasting: z.boolean(),
    /** Image that the tasks run; tasks of one image behave alike. */
    image: z.string().optional(),
    /** Target for the tail latency of tasks that serve user requests; such tasks are latency-sensitive. */
    targetMilliseconds: z.number().optional(),
    /** Whether the tasks are best-effort: they use leftover processor time, which does not count against capacity. */
    fills: z.boolean(),
    /** Maximum number of tasks of a lasting step that the scheduler may make unavailable at once. */
    maximumUnavailable: z.int().min(0).optional(),
});

export const jobSpecificationSchema = z.object({
    /** Identifier chosen by the caller. */
    id: z.string().min(1).max(64),
    queue: z.string(),
    /** Workers of this service run the tasks. */
    service: z.string(),
    /** Team whose API key submitted the job; `undefined` on queues without authentication. */
    team: z.string().optional(),
    /** Lower values are more urgent; 0 is the most urgent. */
    priority: z.number(),
    /** Number of failed attempts of a task after which the job fails. */
    maximumAttempts: z.int().min(1),
    /** Whether workers accept tasks of the queue only with a ticket of the hint service. */
    hinted: z.boolean(),
    /** Expected duration of a hint call for a typical number of workers; slow calls leave machines to fast ones. */
    hintMilliseconds: z.number(),
    /** Time for which workers accept a ticket of the hint service. */
    hintValidityMilliseconds: z.number().default(DEFAULT_HINT_VALIDITY_MILLISECONDS),
    /** Opaque text that is passed to the workers. */
    payload: z.string(),
    steps: z.array(stepSchema).min(1).max(MAXIMUM_STEPS),
    /** Schedule of a job with several occurrences. */
    recurrence: z.object({
        times: z.int().min(1),
        /** Milliseconds since 1970. */
        firstAt: z.number(),
        intervalMilliseconds: z.number().min(0),
    }).optional(),
});

export type StepSpecification = z.infer<typeof stepSchema>;
export type JobSpecification = z.infer<typeof jobSpecificationSchema>;

/** Why a specification cannot be accepted; `undefined` if it can. The owner skips records that the schema rejects. */
export function findSpecificationError(specification: JobSpecification): string | undefined {
    const parsed = jobSpecificationSchema.safeParse(specification);
    if (!parsed.success) {
        return z.prettifyError(parsed.error);
    }
    const { steps } = specification;
    const tasks = steps.reduce((sum, step) => sum + step.count, 0);
    if (tasks > MAXIMUM_TASKS) {
        return `the job has ${tasks} tasks; at most ${MAXIMUM_TASKS} are allowed`;
    }
    const invalid = steps.findIndex((step, index) => step.after.some(dependency => dependency >= index));
    return invalid === -1 ? undefined : `step ${invalid} depends on a step that does not precede it`;
}
