/** One task of a step, and one attempt to run it on a worker. */
import type { Resources } from "@tanagerlink/model";
import type { StepRun } from "./stepRun.ts";

/** Where an attempt stands. */
export const AttemptStatus = {
    /** Recorded or being recorded; the start has not been answered. */
    Starting: "starting",
    Running: "running",
    /** The start was sent without an answer, so that it may run, or begin later. */
    Unsettled: "unsettled",
    /** The worker was or will be told to stop it. */
    Stopping: "stopping",
    /** Found in the records after a change of owner; its worker has not answered yet. */
    Unknown: "unknown",
    Ended: "ended",
} as const;
export type AttemptStatus = (typeof AttemptStatus)[keyof typeof AttemptStatus];

/** How an attempt ended. */
export const EndKind = {
    Done: "done",
    Failed: "failed",
    Stopped: "stopped",
    /** Its lease ran out. */
    Lapsed: "lapsed",
    /** Another member of its gang ended. */
    Broken: "broken",
    /** The other members of its gang did not come. */
    Alone: "alone",
    /** The start had no effect, or the worker is gone. */
    Lost: "lost",
} as const;
export type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** One start of a task on one life of a worker. Takes up room until it has ended. */
export class Attempt {
    readonly task: TaskRun;
    readonly number: number;
    readonly workerId: string;
    /** Start of the worker's life, milliseconds since 1970. */
    readonly workerBoot: number;
    status: AttemptStatus = AttemptStatus.Starting;
    /** Monotonic time of the last change of status. */
    changedAt: number;
    /** Monotonic time at which the worker confirmed a stop. */
    stopConfirmedAt: number | undefined;
    /** Progress in percent as last reported, and when it last moved. */
    percent = 0;
    movedAt: number;
    /** Share of its speed at which the task may work. */
    pace = 100;
    /** Tail of response times in milliseconds for tasks that serve users, thousandths of a core for others. */
    load = 0;
    /** Monotonic time at which the start was sent. */
    startedAt: number;

    constructor(task: TaskRun, number: number, workerId: string, workerBoot: number, now: number) {
        this.task = task;
        this.number = number;
        this.workerId = workerId;
        this.workerBoot = workerBoot;
        this.changedAt = now;
        this.movedAt = now;
        this.startedAt = now;
    }

    get live(): boolean {
        return this.status !== AttemptStatus.Ended;
    }

    become(status: AttemptStatus, now: number): void {
        this.status = status;
        this.changedAt = now;
    }
}

/** One task. */
export class TaskRun {
    readonly step: StepRun;
    readonly index: number;
    /** Name of the task towards workers. */
    readonly name: string;
    /** Number of the last attempt; 0 before the first. */
    lastAttempt = 0;
    /** Ended attempts that failed. */
    failures = 0;
    done = false;
    /** Latest checkpoint; empty without one. */
    checkpoint = "";
    current: Attempt | undefined;
    /** Workers on which an attempt failed. */
    readonly failedOn = new Set<string>();

    constructor(step: StepRun, index: number) {
        this.step = step;
        this.index = index;
        this.name = `${step.name}.${index}`;
    }

    get size(): Resources {
        return this.step.specification.size;
    }

    get waiting(): boolean {
        return !this.done && this.current === undefined;
    }
}
