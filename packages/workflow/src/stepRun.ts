/** The state of one step in one occurrence of a job. */
import type { JobRun } from "./jobRun.ts";
import type { StepSpecification } from "./jobSpecification.ts";
import { TaskRun } from "./taskRun.ts";

export class StepRun {
    readonly job: JobRun;
    readonly occurrence: number;
    readonly index: number;
    /** Name of the step in calls to the hint service; prefix of its tasks' names. */
    readonly name: string;
    readonly specification: StepSpecification;
    readonly tasks: readonly TaskRun[];
    /** Monotonic time at which the step became ready; `undefined` before. */
    readyAt: number | undefined;
    /** Last attempt of a gang that was counted as failed. */
    lastFailedAttempt = 0;
    /** Last attempt of a gang in which a worker has crashed. */
    lastCrashedAttempt = 0;

    constructor(job: JobRun, occurrence: number, index: number, specification: StepSpecification) {
        this.job = job;
        this.occurrence = occurrence;
        this.index = index;
        this.name = `${job.id}.${occurrence}.${index}`;
        this.specification = specification;
        this.tasks = Array.from({ length: specification.count }, (_, task) => new TaskRun(this, task));
    }

    get isDone(): boolean {
        return this.tasks.every(task => task.isDone);
    }

    /** Tasks without a live attempt that are not done. The tasks of a gang are returned only if all of them wait. */
    waitingTasks(): readonly TaskRun[] {
        const waiting = this.tasks.filter(task => task.isWaiting);
        return this.specification.gang && waiting.length < this.tasks.length ? [] : waiting;
    }

    /** Whether a task that is to be tried apart from other work waits. */
    get hasWaitingSuspect(): boolean {
        return this.waitingTasks().some(({ isSuspect }) => isSuspect);
    }

    /** Attempt number that all members of a gang share in its next attempt. */
    nextGangAttempt(): number {
        return Math.max(...this.tasks.map(task => task.lastAttempt)) + 1;
    }

    /** Whether a task has failed as often as the job permits. */
    get hasExhaustedAttempts(): boolean {
        const { maximumAttempts } = this.job.specification;
        return !this.specification.lasting && this.tasks.some(task => !task.isDone && task.failures >= maximumAttempts);
    }
}
