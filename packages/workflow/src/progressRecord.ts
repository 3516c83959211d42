/**
 * The durable record of a job's progress. It is stored before the start orders of its attempts are sent, so that a new
 * owner knows every worker on which a task may run, and before ended attempts are acknowledged to their workers. A record
 * that would outgrow a row of the store is divided: a head with the state of the job, and segments with its tasks.
 */
import * as z from "zod";
import { isEndedState, type JobRun, JobState } from "./jobRun.ts";
import { Attempt, AttemptStatus, type TaskRun } from "./taskRun.ts";

const taskSchema = z.tuple([
    z.int().describe("occurrence"),
    z.int().describe("step"),
    z.int().describe("index"),
    z.int().describe("1 if done"),
    z.int().describe("last attempt"),
    z.int().describe("failed attempts"),
    z.string().describe("checkpoint"),
    z.string().describe("worker of the live attempt; empty without one"),
    z.number().describe("boot of the worker"),
]);

const crashesSchema = z.tuple([
    z.int().describe("occurrence"),
    z.int().describe("step"),
    z.int().describe("index"),
    z.int().describe("crashes"),
    z.int().describe("1 if suspected of crashing workers"),
    z.int().describe("crashes right after the start"),
]);

const taskEntriesFields = {
    /** Tasks that were started at least once; of an ended job, only tasks with a live attempt. */
    tasks: z.array(taskSchema),
    /** Tasks whose workers have crashed. Apart from the other fields, since earlier versions reject longer tuples. */
    crashes: z.array(crashesSchema).optional(),
};

export const progressRecordSchema = z.object({
    state: z.enum([JobState.Queued, JobState.Running, JobState.Completed, JobState.Failed, JobState.Cancelled]),
    ...taskEntriesFields,
    /**
     * Occurrences of a recurring job: the number of those that were opened, and the indices of those that are open. The
     * others below that number are done. Missing in records of earlier versions, which hold the tasks of all of them.
     */
    occurrences: z.tuple([z.int().min(0), z.array(z.int().min(0))]).optional(),
});

export type ProgressRecord = z.infer<typeof progressRecordSchema>;

/** Progress of some tasks of a job. */
export const progressSegmentSchema = z.object(taskEntriesFields);

export type ProgressSegment = z.infer<typeof progressSegmentSchema>;

/** Number of tasks in a segment: with the longest identifiers of workers, their entries fill a third of a row. */
const TASKS_PER_SEGMENT = 64;

/** The progress record of a job in its current state. */
export function progressOf(job: JobRun): ProgressRecord {
    return { ...progressHeadOf(job), ...entriesOf(recordedTasks(job)) };
}

/** The progress record of a job whose tasks are in segments. */
export function progressHeadOf(job: JobRun): ProgressRecord {
    const { state, occurrences, openedOccurrenceCount, specification } = job;
    return {
        state,
        tasks: [],
        ...(specification.recurrence === undefined || !job.isOpen
            ? {}
            : { occurrences: [openedOccurrenceCount, occurrences.map(({ index }) => index)] }),
    };
}

/** The segments of a job's progress by name. A task is in the same segment all the time. */
export function progressSegmentsOf(job: JobRun): ReadonlyMap<string, ProgressSegment> {
    const groups = new Map<string, TaskRun[]>();
    const firstOrdinals: number[] = [];
    let ordinal = 0;
    for (const { count } of job.specification.steps) {
        firstOrdinals.push(ordinal);
        ordinal += count;
    }
    for (const task of recordedTasks(job)) {
        const { occurrence, index } = task.step;
        const taskOrdinal = (firstOrdinals[index] ?? 0) + task.index;
        const name = `${occurrence}.${Math.floor(taskOrdinal / TASKS_PER_SEGMENT)}`;
        const group = groups.get(name) ?? [];
        groups.set(name, group);
        group.push(task);
    }
    return new Map([...groups].map(([name, tasks]) => [name, entriesOf(tasks)]));
}

/** Joins the record of a job's head with its segments, whose entries precede those of an older, undivided record. */
export function joinProgress(head: ProgressRecord, segments: readonly ProgressSegment[]): ProgressRecord {
    const parts: readonly ProgressSegment[] = [head, ...segments];
    const tasks = new Map(parts.flatMap(part => part.tasks).map(entry => [positionOf(entry), entry]));
    const crashes = new Map(parts.flatMap(part => part.crashes ?? []).map(entry => [positionOf(entry), entry]));
    return { ...head, tasks: [...tasks.values()], crashes: [...crashes.values()] };
}

/** The segment without its checkpoints: after a change of the owner, its tasks begin anew if they are restarted. */
export function withoutCheckpoints({ tasks, ...segment }: ProgressSegment): ProgressSegment {
    return {
        ...segment,
        tasks: tasks.map((
            [occurrence, step, index, done, attempt, failures, , worker, boot],
        ) => [occurrence, step, index, done, attempt, failures, "", worker, boot]),
    };
}

function positionOf([occurrence, step, index]: readonly [number, number, number, ...unknown[]]): string {
    return `${occurrence}.${step}.${index}`;
}

function recordedTasks(job: JobRun): TaskRun[] {
    return [...job.tasks()].filter(task => job.isOpen ? task.lastAttempt > 0 : task.current !== undefined);
}

function entriesOf(tasks: readonly TaskRun[]): ProgressSegment {
    const crashed = tasks.filter(task => task.crashes > 0);
    return {
        tasks: tasks.map(taskEntry),
        ...(crashed.length > 0 ? { crashes: crashed.map(crashesEntry) } : {}),
    };
}

function taskEntry(task: TaskRun): ProgressRecord["tasks"][number] {
    const { step, current } = task;
    return [
        step.occurrence,
        step.index,
        task.index,
        task.isDone ? 1 : 0,
        task.lastAttempt,
        task.failures,
        task.isDone ? "" : task.checkpoint,
        current?.workerId ?? "",
        current?.workerBoot ?? 0,
    ];
}

function crashesEntry(task: TaskRun): z.infer<typeof crashesSchema> {
    const { step, index, crashes, isSuspect, promptCrashes } = task;
    return [step.occurrence, step.index, index, crashes, isSuspect ? 1 : 0, promptCrashes];
}

/**
 * Restores the state of a job from its progress record, with the entries of its segments. Returns the attempts that may
 * be live.
 */
export function restoreProgress(job: JobRun, record: ProgressRecord, now: number): Attempt[] {
    job.state = record.state;
    job.storedState = record.state;
    if (!job.isOpen) {
        job.endedAt = now;
    }
    if (record.state === JobState.Running) {
        job.firstStartAt = now;
    }
    restoreOccurrences(job, record);
    for (const [occurrence, step, index, crashes, suspect, promptCrashes] of record.crashes ?? []) {
        const task = job.task(occurrence, step, index);
        if (task !== undefined) {
            task.crashes = crashes;
            task.isSuspect = suspect === 1;
            task.promptCrashes = promptCrashes;
        }
    }
    const live: Attempt[] = [];
    for (const [occurrence, step, index, done, lastAttempt, failures, checkpoint, worker, boot] of record.tasks) {
        const task = job.task(occurrence, step, index);
        if (task === undefined) {
            continue;
        }
        task.isDone = done === 1;
        task.lastAttempt = lastAttempt;
        task.failures = failures;
        task.checkpoint = checkpoint;
        job.firstStartAt = now;
        if (worker !== "") {
            const attempt = new Attempt(task, lastAttempt, worker, boot, now);
            attempt.status = AttemptStatus.Unknown;
            attempt.startSentAt = now;
            attempt.isRestored = true;
            attempt.isTrial = task.isSuspect;
            task.current = attempt;
            live.push(attempt);
        }
    }
    return live;
}

function restoreOccurrences(job: JobRun, { state, tasks, occurrences }: ProgressRecord): void {
    const [openedBefore, open] = occurrences ?? [0, []];
    const lastRecorded = tasks.reduce((last, [occurrence]) => Math.max(last, occurrence), -1);
    const openIndices = new Set(open);
    // Of an ended job, only occurrences with live attempts matter.
    const withLiveAttempts = new Set(isEndedState(state) ? tasks.map(([occurrence]) => occurrence) : []);
    job.restoreOccurrences(
        Math.max(openedBefore, lastRecorded + 1),
        index =>
            isEndedState(state)
                ? !withLiveAttempts.has(index)
                : index < openedBefore && !openIndices.has(index),
    );
}
