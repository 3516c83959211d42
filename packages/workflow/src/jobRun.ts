/** One job in the hands of its owner. */
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

/** Whether a job in this state never changes it again. */
export function isEndedState(state: JobState): boolean {
    return state !== JobState.Queued && state !== JobState.Running;
}

/** Steps of one occurrence. */
export interface Occurrence {
    readonly index: number;
    /** Time from which it may start, milliseconds since 1970; 0 for a job without set times. */
    readonly dueAt: number;
    readonly steps: readonly StepRun[];
}

/** A job, its occurrences and its state. */
export class JobRun {
    readonly id: string;
    readonly specification: JobSpecification;
    readonly occurrences: readonly Occurrence[];
    /** Order of acceptance. */
    readonly sequence: number;
    state: JobState = JobState.Queued;
    /** State that the store has; a final state is shown only once it is stored. */
    storedState: JobState = JobState.Queued;
    /** Monotonic time at which the owner learned of the job, and at which it ended. */
    readonly knownAt: number;
    endedAt: number | undefined;
    /** Monotonic time of the first start of a task. */
    firstStartAt: number | undefined;

    constructor(specification: JobSpecification, sequence: number, now: number) {
        this.id = specification.id;
        this.specification = specification;
        this.sequence = sequence;
        this.knownAt = now;
        const { recurrence } = specification;
        this.occurrences = Array.from({ length: recurrence?.times ?? 1 }, (_, index) => ({
            index,
            dueAt: recurrence === undefined ? 0 : recurrence.firstAt + index * recurrence.intervalMilliseconds,
            steps: specification.steps.map((step, stepIndex) => new StepRun(this, index, stepIndex, step)),
        }));
    }

    get open(): boolean {
        return !isEndedState(this.state);
    }

    /** Steps that are not done, whose earlier steps are done and whose time has come. */
    readySteps(wallClock: number): StepRun[] {
        return this.occurrences.filter(({ dueAt }) => dueAt <= wallClock).flatMap(({ steps }) =>
            steps.filter(step => !step.done && step.specification.after.every(earlier => steps[earlier]?.done === true))
        );
    }

    get allDone(): boolean {
        return this.occurrences.every(({ steps }) => steps.every(step => step.done));
    }

    get exhausted(): boolean {
        return this.occurrences.some(({ steps }) => steps.some(step => step.exhausted));
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

/** Job, occurrence, step and task index of a task's name. */
export interface TaskPosition {
    readonly job: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Reads a task's name; `undefined` if it is none of ours. */
export function parseTaskName(name: string): TaskPosition | undefined {
    const [job, ...numbers] = name.split(".");
    const [occurrence, step, index] = numbers.map(Number);
    if (job === undefined || occurrence === undefined || step === undefined || index === undefined) {
        return undefined;
    }
    return { job, occurrence, step, index };
}
