/**
 * In-memory state of the jobs of one shard: the durable record of each job and the state of its tasks.
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

/** State of one task. Waiting tasks have no worker; a recovering one may run on a worker that has not reported yet. */
export interface TaskEntry {
    readonly index: number;
    state: TaskState;
    /** The task was accepted under an earlier epoch and has not been found on a worker yet. */
    recovering: boolean;
    attempt: number;
    /** Whether the task was ever placed, or may have been under a previous owner. */
    everPlaced: boolean;
    worker: string | undefined;
    bootId: string | undefined;
    /** Monotonic time of the last request that may have started the task or renewed its lease. */
    renewedAt: number;
    /** Monotonic time at which the last start was sent. */
    startSentAt: number;
    /** Whether the response to a start request is pending. */
    startInFlight: boolean;
    /** Monotonic time at which the task was first reported as running. */
    startedAt: number;
    /** Monotonic time at which the task was first throttled; 0 if it was not. */
    throttledAt: number;
    /** Set once a stop or checkpoint was sent; the next state follows from the worker's report. */
    stopping: StopKind | undefined;
    /** Reason recorded when the stopped task is queued again; `preempted` if undefined. */
    stopReason: Reason | undefined;
    /** Monotonic time at which the stop or checkpoint was last sent. */
    stopSentAt: number;
}

/** How the owner of a shard ends a task. */
export type StopKind = "stop" | "checkpoint";

/** One job of the shard. */
export interface JobEntry {
    record: JobRecord;
    readonly tasks: readonly TaskEntry[];
    /** Monotonic time since which the job has been waiting. */
    readonly waitingSince: number;
    /** Reason of the last recorded decision, so that only changes of the reason are recorded. */
    lastHold: string | undefined;
    /** Whether the job is registered with the scheduling policy. */
    queued: boolean;
    /** Number of writes of the record that are not durable yet. */
    pendingWrites: number;
}

/** Creates the entry of a job. `recovering` is set for jobs that were accepted under an earlier epoch. */
export function createJobEntry(record: JobRecord, now: number, wallClock: number, recovering: boolean): JobEntry {
    const succeeded = new Set(record.succeededTasks);
    const tasks = Array.from({ length: ownTaskCount(record) }, (_, index): TaskEntry => ({
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

/** Number of tasks that the job runs itself: a split job has none, its parts run them. */
function ownTaskCount(record: JobRecord): number {
    return record.parts === undefined ? record.specification.tasks : 0;
}

/**
 * Whether tasks of a loaded job may be running; those of a finished job run until the worker has received their stop.
 */
export function mayHaveActiveTasks(record: JobRecord): boolean {
    if (!isFinished(record.state)) {
        return true;
    }
    const placed = record.decisions.some(({ reason }) => reason.startsWith("placed"));
    return record.state !== JobState.Succeeded && (placed || record.decisions.length >= MAXIMUM_DECISIONS_PER_JOB);
}

/** Tasks that occupy capacity: running ones and those whose start may have been sent. */
export function activeTasks(entry: JobEntry): TaskEntry[] {
    return entry.tasks.filter(isActive);
}

/** Whether the task occupies capacity on a worker. */
export function isActive(task: TaskEntry): boolean {
    return task.state === TaskState.Running || task.state === TaskState.Starting;
}

/** Identifies the current attempt of a task in calls to a worker. */
export function attemptOf(entry: JobEntry, task: TaskEntry): TaskAttempt {
    return { job: entry.record.id, task: task.index, attempt: task.attempt };
}

/** Monotonic time after which the task cannot be running any more, unless its lease is renewed. */
export function leaseEnd(entry: JobEntry, task: TaskEntry, marginMilliseconds: number): number {
    return task.renewedAt + taskLeaseMilliseconds[entry.record.workClass] + marginMilliseconds;
}

/** Resets a task to waiting and clears its worker and timestamps. */
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

/** Upper bound of the decisions kept in a job's record. */
const MAXIMUM_DECISIONS_PER_JOB = 40;

/** Appends a decision to the record. Beyond the maximum, the oldest decision except the first is dropped. */
export function recordDecision(entry: JobEntry, decision: Decision): void {
    const previous = entry.record.decisions;
    const retained = previous.length < MAXIMUM_DECISIONS_PER_JOB
        ? previous
        : [...previous.slice(0, 1), ...previous.slice(2)];
    entry.record = { ...entry.record, decisions: [...retained, decision] };
}

/** State of a job, derived from its tasks unless the job has already finished. */
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

/** Formats the resources of one task for messages. */
export function describeSize(size: Resources): string {
    return `${size.processorMillis} mCPU, ${size.memoryMebibytes} MiB, ${size.accelerators} accelerators`;
}
