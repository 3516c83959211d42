/** The state of one task of a step, and of the attempts to run it on workers. */
import type { Resources } from "@tanagerlink/model";
import type { StepRun } from "./stepRun.ts";

export const AttemptStatus = {
    /** The attempt is being stored, or its start order has no response yet. */
    Starting: "starting",
    Running: "running",
    /** The start order got no response; the attempt may run or may still start. */
    Unsettled: "unsettled",
    /** A stop order was sent or will be sent to the worker. */
    Stopping: "stopping",
    /** Restored from a record after a change of owner; the worker has not responded yet. */
    Unknown: "unknown",
    Ended: "ended",
} as const;
export type AttemptStatus = (typeof AttemptStatus)[keyof typeof AttemptStatus];

export const EndKind = {
    Done: "done",
    Failed: "failed",
    Stopped: "stopped",
    /** The lease expired. */
    LeaseExpired: "lapsed",
    /** Another member of the gang ended. */
    GangMemberEnded: "broken",
    /** Other members of the gang did not start. */
    GangIncomplete: "alone",
    /** The start had no effect, or the worker is gone or has restarted. */
    Lost: "lost",
} as const;
export type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** One attempt to run a task on one incarnation of a worker. It occupies capacity until it has ended. */
export class Attempt {
    readonly task: TaskRun;
    readonly number: number;
    readonly workerId: string;
    /** Start of the worker's incarnation, milliseconds since 1970. */
    workerBoot: number;
    status: AttemptStatus = AttemptStatus.Starting;
    /** Monotonic time of the last change of status. */
    statusChangedAt: number;
    /** Monotonic time at which the worker confirmed a stop. */
    stopConfirmedAt: number | undefined;
    /** Last reported progress in percent. */
    percent = 0;
    /** Monotonic time of the last reported progress. */
    progressedAt: number;
    /** Pace of a best-effort task in percent of full speed. */
    pace = 100;
    /** Tail latency in milliseconds for latency-sensitive tasks, thousandths of a core for others. */
    load = 0;
    /** Monotonic time at which the start order was sent. */
    startedAt: number;
    /** Same; `undefined` if no start order was sent to the incarnation of the worker. */
    startSentAt: number | undefined;
    /** Whether the worker has confirmed the start to this owner. */
    isConfirmed = false;
    /** Whether the attempt was started by a previous owner, at an unknown time. */
    isRestored = false;
    /** Whether the attempt was placed because its task is suspected of crashing workers. */
    isTrial = false;

    constructor(task: TaskRun, number: number, workerId: string, workerBoot: number, now: number) {
        this.task = task;
        this.number = number;
        this.workerId = workerId;
        this.workerBoot = workerBoot;
        this.statusChangedAt = now;
        this.progressedAt = now;
        this.startedAt = now;
    }

    get isLive(): boolean {
        return this.status !== AttemptStatus.Ended;
    }

    setStatus(status: AttemptStatus, now: number): void {
        this.status = status;
        this.statusChangedAt = now;
    }
}

export class TaskRun {
    readonly step: StepRun;
    readonly index: number;
    /** Name of the task in calls to workers. */
    readonly name: string;
    /** Number of the last attempt; 0 before the first. */
    lastAttempt = 0;
    /** Number of failed attempts. */
    failures = 0;
    /** Number of attempts that were stopped since they made no progress. */
    stalls = 0;
    /** Number of workers that crashed while they ran the task. */
    crashes = 0;
    /** Number of those that were lost right after the start of the task. */
    promptCrashes = 0;
    /** Whether the task may crash the next worker that starts it. */
    isSuspect = false;
    isDone = false;
    /** Latest checkpoint; empty if there is none. */
    checkpoint = "";
    /** The live attempt, if there is one. */
    current: Attempt | undefined;
    /** Workers on which an attempt failed. */
    readonly failedOn = new Set<string>();
    /** Racks whose workers crashed while they ran the task. */
    readonly crashedOnRacks = new Set<string>();

    constructor(step: StepRun, index: number) {
        this.step = step;
        this.index = index;
        this.name = `${step.name}.${index}`;
    }

    get size(): Resources {
        return this.step.specification.size;
    }

    get isWaiting(): boolean {
        return !this.isDone && this.current === undefined;
    }
}
