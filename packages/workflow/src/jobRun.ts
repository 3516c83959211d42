/** The state of one job in the process that owns the cell. */
import type { JobSpecification } from "./jobSpecification.ts";
import { StepRun } from "./stepRun.ts";
import type { TaskRun } from "./taskRun.ts";

export const JobState = {
    Queued: "queued",
    Running: "running",
    Completed: "completed",
    Failed: "failed",
    Cancelled: "cancelled",
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

/** Whether the state is final. */
export function isEndedState(state: JobState): boolean {
    return state !== JobState.Queued && state !== JobState.Running;
}

/** One occurrence of a job, with its own run of every step. */
export interface Occurrence {
    readonly index: number;
    /** Earliest start, milliseconds since 1970; 0 for jobs without recurrence. */
    readonly dueAt: number;
    readonly steps: readonly StepRun[];
}

export class JobRun {
    readonly id: string;
    readonly specification: JobSpecification;
    readonly occurrences: readonly Occurrence[];
    /** Order of acceptance. */
    readonly sequence: number;
    /** Version of the job's record in the store; `undefined` until the owner has read the record. */
    recordVersion: number | undefined;
    state: JobState = JobState.Queued;
    /** The stored state. Callers see a final state only after it has been stored. */
    storedState: JobState = JobState.Queued;
    /** Monotonic time at which the owner received the job. */
    readonly receivedAt: number;
    /** Monotonic time at which the job ended. */
    endedAt: number | undefined;
    /** Monotonic time of the first start of a task. */
    firstStartAt: number | undefined;

    constructor(specification: JobSpecification, sequence: number, now: number) {
        this.id = specification.id;
        this.specification = specification;
        this.sequence = sequence;
        this.receivedAt = now;
        const { recurrence } = specification;
        this.occurrences = Array.from({ length: recurrence?.times ?? 1 }, (_, index) => ({
            index,
            dueAt: recurrence === undefined ? 0 : recurrence.firstAt + index * recurrence.intervalMilliseconds,
            steps: specification.steps.map((step, stepIndex) => new StepRun(this, index, stepIndex, step)),
        }));
    }

    get isOpen(): boolean {
        return !isEndedState(this.state);
    }

    /** Steps of due occurrences that are not done and whose dependencies are done. */
    readySteps(wallClock: number): StepRun[] {
        return this.occurrences.filter(({ dueAt }) => dueAt <= wallClock).flatMap(({ steps }) =>
            steps.filter(step =>
                !step.isDone && step.specification.after.every(dependency => steps[dependency]?.isDone === true)
            )
        );
    }

    get isDone(): boolean {
        return this.occurrences.every(({ steps }) => steps.every(step => step.isDone));
    }

    get hasExhaustedAttempts(): boolean {
        return this.occurrences.some(({ steps }) => steps.some(step => step.hasExhaustedAttempts));
    }

    task(occurrence: number, step: number, index: number): TaskRun | undefined {
        return this.occurrences[occurrence]?.steps[step]?.tasks[index];
    }

    *tasks(): Generator<TaskRun> {
        for (const { steps } of this.occurrences) {
            for (const step of steps) {
                yield* step.tasks;
            }
        }
    }
}

/** The parts of a task's name. */
export interface TaskPosition {
    readonly job: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Parses a task's name; `undefined` if it does not have the format of one. */
export function parseTaskName(name: string): TaskPosition | undefined {
    const [job, ...numbers] = name.split(".");
    const [occurrence, step, index] = numbers.map(Number);
    if (job === undefined || occurrence === undefined || step === undefined || index === undefined) {
        return undefined;
    }
    return { job, occurrence, step, index };
}
