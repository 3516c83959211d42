/**
 * In-memory state of the jobs of one shard: for each job its durable record and the state of its tasks.
 */
import {
    type Decision,
    isFinished,
    type JobRecord,
    JobState,
    type Reason,
    type Resources,
    taskLeaseMilliseconds,
    TaskState,
} from "@tanagerlink/model";
import type { TaskAttempt } from "@tanagerlink/targets";

/** State of one task. Waiting tasks have no worker; a recovering one may run on a worker that was not read yet. */
export interface TaskEntry {
    readonly index: number;
    state: TaskState;
    /** The task was accepted under an earlier epoch and has not been found on a worker yet. */
    recovering: boolean;
    attempt: number;
    /** Whether the task was placed, or may have been under an earlier owner. */
    everPlaced: boolean;
    worker: string | undefined;
    bootId: string | undefined;
    /** Monotonic time of the last message that may have started the task or renewed its lease. */
    renewedAt: number;
    /** Monotonic time at which the last start was sent. */
    startSentAt: number;
    /** The answer to a start is awaited. */
    startInFlight: boolean;
    /** Monotonic time at which the task was seen running. */
    startedAt: number;
    /** Monotonic time at which the task was first throttled; 0 when it was not. */
    throttledAt: number;
    /** Set once a stop or checkpoint was sent; the worker's report decides what follows. */
    stopping: StopKind | undefined;
    /** Reason under which the task waits again once it has stopped; `preempted` without one. */
    stopReason: Reason | undefined;
    /** Monotonic time at which the stop or checkpoint was last sent. */
    stopSentAt: number;
}

/** How a task is ended by its owner. */
export type StopKind = "stop" | "checkpoint";

/** One job of the shard. */
export interface JobEntry {
    record: JobRecord;
    readonly tasks: readonly TaskEntry[];
    /** Monotonic time since when the job waits. */
    readonly waitingSince: number;
    /** Reason last recorded for waiting, to record changes only. */
    lastHold: string | undefined;
    /** Whether the policy knows the job. */
    queued: boolean;
    /** Writes of the record that are not durable yet. */
    pendingWrites: number;
}

/** Creates the entry of a job; `recovering` for jobs that were accepted under an earlier epoch. */
export function createJobEntry(record: JobRecord, now: number, wallClock: number, recovering: boolean): JobEntry {
    const succeeded = new Set(record.succeededTasks);
    const tasks = Array.from({ length: ownTasks(record) }, (_, index): TaskEntry => ({
        index,
        state: succeeded.has(index) ? TaskState.Succeeded : TaskState.Waiting,
        recovering: recovering && !succeeded.has(index),
        attempt: 0,
        everPlaced: recovering,
        worker: undefined,
        bootId: undefined,
        renewedAt: 0,
        startSentAt: 0,
        startInFlight: false,
        startedAt: 0,
        throttledAt: 0,
        stopping: undefined,
        stopReason: undefined,
        stopSentAt: 0,
    }));
    const waitingSince = now - Math.max(0, wallClock - record.submittedAt);
    return { record, tasks, waitingSince, lastHold: undefined, queued: false, pendingWrites: 0 };
}

/** A job with parts has no tasks of its own. */
function ownTasks(record: JobRecord): number {
    return record.parts === undefined ? record.specification.tasks : 0;
}

/** Whether tasks of a loaded job may run: those of an ended job run until their stop has reached the worker. */
export function mayHaveActiveTasks(record: JobRecord): boolean {
    if (!isFinished(record.state)) {
        return true;
    }
    const placed = record.decisions.some(({ reason }) => reason.startsWith("placed"));
    return record.state !== JobState.Succeeded && (placed || record.decisions.length >= DECISIONS_PER_JOB);
}

/** Tasks that occupy room: running ones and those whose start may have been sent. */
export function activeTasks(entry: JobEntry): TaskEntry[] {
    return entry.tasks.filter(isActive);
}

/** Whether the task occupies room on a worker. */
export function isActive(task: TaskEntry): boolean {
    return task.state === TaskState.Running || task.state === TaskState.Starting;
}

/** Identification of a task's current attempt towards a worker. */
export function attemptOf(entry: JobEntry, task: TaskEntry): TaskAttempt {
    return { job: entry.record.id, task: task.index, attempt: task.attempt };
}

/** Monotonic time after which the task certainly does not run any more, unless its lease is renewed. */
export function leaseEnd(entry: JobEntry, task: TaskEntry, marginMilliseconds: number): number {
    return task.renewedAt + taskLeaseMilliseconds[entry.record.workClass] + marginMilliseconds;
}

/** Makes a task wait again, without a worker. */
export function resetTask(task: TaskEntry): void {
    task.state = TaskState.Waiting;
    task.recovering = false;
    task.worker = undefined;
    task.bootId = undefined;
    task.renewedAt = 0;
    task.startSentAt = 0;
    task.throttledAt = 0;
    task.stopping = undefined;
    task.stopReason = undefined;
    task.stopSentAt = 0;
}

/** Number of latest decisions kept in a job's record. */
const DECISIONS_PER_JOB = 40;

/** Appends a decision to the record; the oldest one after the first is dropped when there are too many. */
export function recordDecision(entry: JobEntry, decision: Decision): void {
    const kept = entry.record.decisions;
    const shortened = kept.length < DECISIONS_PER_JOB ? kept : [...kept.slice(0, 1), ...kept.slice(2)];
    entry.record = { ...entry.record, decisions: [...shortened, decision] };
}

/** State that the tasks give the job while it has not been cancelled or failed. */
export function derivedState(entry: JobEntry): JobState {
    if (isFinished(entry.record.state)) {
        return entry.record.state;
    }
    if (entry.tasks.some(task => task.state === TaskState.OutcomeUnknown)) {
        return entry.tasks.some(isActive) ? JobState.Running : JobState.OutcomeUnknown;
    }
    if (entry.tasks.every(task => task.state === TaskState.Succeeded)) {
        return JobState.Succeeded;
    }
    return entry.tasks.some(isActive) ? JobState.Running : JobState.Queued;
}

/** Whole size of a job's tasks of one size, for messages. */
export function describeSize(size: Resources): string {
    return `${size.processorMillis} mCPU, ${size.memoryMebibytes} MiB, ${size.accelerators} accelerators`;
}
