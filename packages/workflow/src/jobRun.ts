/**
 * The state of one job in the process that owns the cell. A recurring job holds the tasks of its open occurrences only:
 * an occurrence is opened when it is due and closed when it is done, so that the memory and the progress record of the
 * job do not grow with the number of its occurrences.
 */
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

/** Maximums of open occurrences and of their tasks; further ones are opened as earlier ones are done. */
const MAXIMUM_OPEN_OCCURRENCES = 1_000;
const MAXIMUM_OPEN_TASKS = 10_000;

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
    private readonly openOccurrences = new Map<number, Occurrence>();
    private readonly tasksPerOccurrence: number;
    /** Occurrences below this index have been opened; those of them that are not open any more are done. */
    private openedBefore = 0;

    constructor(specification: JobSpecification, sequence: number, now: number) {
        this.id = specification.id;
        this.specification = specification;
        this.sequence = sequence;
        this.receivedAt = now;
        this.tasksPerOccurrence = specification.steps.reduce((sum, { count }) => sum + count, 0);
        if (specification.recurrence === undefined) {
            this.openNext();
        }
    }

    /** Open occurrences: those that are due and not done, and the only one of a job without recurrence. */
    get occurrences(): readonly Occurrence[] {
        return [...this.openOccurrences.values()];
    }

    /** Number of occurrences that have been opened, including those that are done. */
    get openedOccurrenceCount(): number {
        return this.openedBefore;
    }

    get isOpen(): boolean {
        return !isEndedState(this.state);
    }

    /** Restores which occurrences have been opened, and which of them are done. */
    restoreOccurrences(openedBefore: number, isDone: (index: number) => boolean): void {
        while (this.openedBefore < Math.min(openedBefore, this.times)) {
            if (isDone(this.openedBefore)) {
                this.openedBefore++;
            }
            else {
                this.openNext();
            }
        }
    }

    /** Closes the occurrences of a recurring job that are done and of which no attempt is live. */
    closeDoneOccurrences(): void {
        if (this.specification.recurrence === undefined) {
            return;
        }
        for (const { index, steps } of this.openOccurrences.values()) {
            if (steps.every(step => step.isDone && step.tasks.every(({ current }) => current === undefined))) {
                this.openOccurrences.delete(index);
            }
        }
    }

    /** Steps of due occurrences that are not done and whose dependencies are done. */
    readySteps(wallClock: number): StepRun[] {
        this.openDueOccurrences(wallClock);
        return this.occurrences.filter(({ dueAt }) => dueAt <= wallClock).flatMap(({ steps }) =>
            steps.filter(step =>
                !step.isDone && step.specification.after.every(dependency => steps[dependency]?.isDone === true)
            )
        );
    }

    get isDone(): boolean {
        return this.openedBefore === this.times
            && this.occurrences.every(({ steps }) => steps.every(step => step.isDone));
    }

    get hasExhaustedAttempts(): boolean {
        return this.occurrences.some(({ steps }) => steps.some(step => step.hasExhaustedAttempts));
    }

    task(occurrence: number, step: number, index: number): TaskRun | undefined {
        return this.openOccurrences.get(occurrence)?.steps[step]?.tasks[index];
    }

    /** Tasks of the open occurrences. */
    *tasks(): Generator<TaskRun> {
        for (const { steps } of this.openOccurrences.values()) {
            for (const step of steps) {
                yield* step.tasks;
            }
        }
    }

    private get times(): number {
        return this.specification.recurrence?.times ?? 1;
    }

    private dueAt(index: number): number {
        const { recurrence } = this.specification;
        return recurrence === undefined ? 0 : recurrence.firstAt + index * recurrence.intervalMilliseconds;
    }

    private openDueOccurrences(wallClock: number): void {
        while (this.openedBefore < this.times && this.dueAt(this.openedBefore) <= wallClock && this.canOpenNext) {
            this.openNext();
        }
    }

    private get canOpenNext(): boolean {
        const { size } = this.openOccurrences;
        return size === 0 || size < MAXIMUM_OPEN_OCCURRENCES
                && (size + 1) * this.tasksPerOccurrence <= MAXIMUM_OPEN_TASKS;
    }

    private openNext(): void {
        const index = this.openedBefore++;
        const steps = this.specification.steps.map((step, stepIndex) => new StepRun(this, index, stepIndex, step));
        this.openOccurrences.set(index, { index, dueAt: this.dueAt(index), steps });
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
