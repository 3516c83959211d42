/** One step of one occurrence of a job. */
import type { JobRun } from "./jobRun.ts";
import type { StepSpecification } from "./jobSpecification.ts";
import { TaskRun } from "./taskRun.ts";

/** A step and its tasks. */
export class StepRun {
    readonly job: JobRun;
    readonly occurrence: number;
    readonly index: number;
    /** Name of the step towards workers and the hint service. */
    readonly name: string;
    readonly specification: StepSpecification;
    readonly tasks: readonly TaskRun[];
    /** Monotonic time at which the step became ready; `undefined` before. */
    readyAt: number | undefined;
    /** Last attempt of a gang that has been counted as failed. */
    lastFailedAttempt = 0;

    constructor(job: JobRun, occurrence: number, index: number, specification: StepSpecification) {
        this.job = job;
        this.occurrence = occurrence;
        this.index = index;
        this.name = `${job.id}.${occurrence}.${index}`;
        this.specification = specification;
        this.tasks = Array.from({ length: specification.count }, (_, task) => new TaskRun(this, task));
    }

    get done(): boolean {
        return this.tasks.every(task => task.done);
    }

    /** Tasks that can be started; those of a gang only when all of them wait. */
    waitingTasks(): readonly TaskRun[] {
        const waiting = this.tasks.filter(task => task.waiting);
        return this.specification.gang && waiting.length < this.tasks.length ? [] : waiting;
    }

    /** Number of the next attempt of a gang, which its members share. */
    nextGangAttempt(): number {
        return Math.max(...this.tasks.map(task => task.lastAttempt)) + 1;
    }

    /** Whether failures have used up the attempts of a task. */
    get exhausted(): boolean {
        const { maximumAttempts } = this.job.specification;
        return !this.specification.lasting && this.tasks.some(task => !task.done && task.failures >= maximumAttempts);
    }
}
