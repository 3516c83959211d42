/** What a caller has handed in: a job of steps, each with a number of equal tasks. */
import { resourcesSchema } from "@tanagerlink/model";
import * as z from "zod";

/** Most steps, tasks and occurrences of one job; larger ones would not fit into one record. */
const MOST_STEPS = 200;
const MOST_TASKS = 5_000;
const MOST_OCCURRENCES = 10_000;

const DEFAULT_HINT_VALIDITY_MILLISECONDS = 2_000;

const stepSchema = z.object({
    /** Number of tasks. */
    count: z.int().min(1).max(MOST_TASKS),
    /** What each task needs. */
    size: resourcesSchema,
    /** Rough duration of a task. */
    estimateMilliseconds: z.number().min(0),
    /** Indices of the steps whose tasks must all be done before this one starts. */
    after: z.array(z.int().min(0)),
    /** Whether a stopped task can continue from a checkpoint. */
    checkpoints: z.boolean(),
    /** All tasks work together: they start under one attempt and end together. */
    gang: z.boolean(),
    /** Whether the tasks take longer when they are spread over several racks. */
    sameRack: z.boolean(),
    /** Label that a worker must have. */
    requiredLabel: z.string().optional(),
    /** Rack that holds the data of the tasks. */
    preferredRack: z.string().optional(),
    /** Most tasks of one occurrence of the step on one worker. */
    maximumPerWorker: z.int().min(1).optional(),
    /** Whether copies of a task may run in parallel. */
    speculative: z.boolean(),
    /** The tasks run until the job is cancelled and are started again however they end. */
    lasting: z.boolean(),
    /** What the tasks run; tasks of one image behave alike. */
    image: z.string().optional(),
    /** Bound of the response times of tasks that serve users of their own. */
    targetMilliseconds: z.number().optional(),
    /** The tasks use only processor time that others leave, so that it does not count against a worker's room. */
    fills: z.boolean(),
    /** Most tasks of a lasting step that may be away because of the scheduler. */
    maximumUnavailable: z.int().min(0).optional(),
});

export const jobSpecificationSchema = z.object({
    /** Identifier chosen by the caller. */
    id: z.string().min(1).max(64),
    queue: z.string(),
    /** Workers of this service run the tasks. */
    service: z.string(),
    /** Team whose key came with the job; `undefined` on queues open to all. */
    team: z.string().optional(),
    /** 0 is the most urgent. */
    priority: z.number(),
    /** Failed ends of a task after which the job fails. */
    maximumAttempts: z.int().min(1),
    /** Whether workers accept tasks of the queue only with a ticket of the hint service. */
    hinted: z.boolean(),
    /** Expected duration of a hint call for one worker; orders calls by their cost. */
    hintMilliseconds: z.number(),
    /** Time for which a ticket of the hint service is accepted. */
    hintValidityMilliseconds: z.number().default(DEFAULT_HINT_VALIDITY_MILLISECONDS),
    /** Opaque text for the workers. */
    payload: z.string(),
    steps: z.array(stepSchema).min(1).max(MOST_STEPS),
    /** Occurrences of a job that runs at set times. */
    recurrence: z.object({
        times: z.int().min(1).max(MOST_OCCURRENCES),
        /** Milliseconds since 1970. */
        firstAt: z.number(),
        intervalMilliseconds: z.number().min(0),
    }).optional(),
});

export type StepSpecification = z.infer<typeof stepSchema>;
export type JobSpecification = z.infer<typeof jobSpecificationSchema>;

/** Why a specification cannot be accepted; `undefined` if it can. */
export function specificationFault(specification: JobSpecification): string | undefined {
    const { steps } = specification;
    const tasks = steps.reduce((sum, step) => sum + step.count, 0);
    if (tasks > MOST_TASKS) {
        return `the job has ${tasks} tasks; at most ${MOST_TASKS} are allowed`;
    }
    const wrong = steps.findIndex((step, index) => step.after.some(earlier => earlier >= index));
    return wrong === -1 ? undefined : `step ${wrong} waits for a step that does not come before it`;
}
