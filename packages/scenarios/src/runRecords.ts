/** Combines the records of workers and executors of what they ran. */
import type { Cell } from "./cell.ts";
import type { RunEvents } from "./runEvents.ts";

const MAXIMUM_TASKS_PER_JOB = 10_000;

/** Index of a part, from the suffix `-p<index>` of its identifier; 0 for jobs without parts. */
function partIndex(job: string): number {
    return Number(/-p(\d+)$/.exec(job)?.[1] ?? 0);
}

/** One run of a task or a request as a stand-in recorded it. */
export interface RecordedRun {
    readonly target: string;
    readonly team: string;
    /** Reference of the job, or of the attempt of a request. */
    readonly reference: string;
    /** Number of the task, unique over all parts of a job; 0 for requests. */
    readonly task: number;
    readonly kind: "task" | "request";
    readonly epoch: number;
    readonly startedAt: number;
    readonly endedAt: number;
    readonly succeeded: boolean;
    /** Whether the scheduler stopped the run before it ended. */
    readonly stopped: boolean;
    readonly throttled: boolean;
}

/** Returns all runs on workers and executors of the cell. */
export function recordedRuns(cell: Cell): RecordedRun[] {
    const tasks = cell.workers.record.attempts.map((attempt): RecordedRun => ({
        target: attempt.worker,
        team: attempt.team,
        reference: (JSON.parse(attempt.payload) as { readonly reference: string; }).reference,
        task: partIndex(attempt.job) * MAXIMUM_TASKS_PER_JOB + attempt.task,
        kind: "task",
        epoch: attempt.epoch,
        startedAt: attempt.startedAt,
        endedAt: attempt.endedAt ?? Infinity,
        succeeded: attempt.end === "succeeded",
        stopped: attempt.end === "stopped",
        throttled: attempt.throttled,
    }));
    const requests = [...cell.executors].flatMap(([target, executor]) =>
        executor.record.runs.map((run): RecordedRun => ({
            target,
            team: run.team,
            reference: run.reference,
            task: 0,
            kind: "request",
            epoch: run.epoch,
            startedAt: run.startedAt,
            endedAt: run.endedAt ?? Infinity,
            succeeded: run.endedAt !== undefined,
            stopped: false,
            throttled: false,
        }))
    );
    return [...tasks, ...requests];
}

/** A start with which more units of a team ran than permitted. */
export interface LimitExcess {
    readonly team: string;
    readonly at: number;
    readonly running: number;
    readonly permitted: number;
}

/** Maximum number of units that the team ran at the same time, and the starts that exceeded the limit in force. */
export function countTeamUnits(
    runs: readonly RecordedRun[],
    team: string,
    events: RunEvents,
    propagationMilliseconds: number,
): { readonly highest: number; readonly excesses: LimitExcess[]; } {
    const changes = runs.filter(run => run.team === team).flatMap(run => [
        { at: run.startedAt, step: 1 },
        { at: run.endedAt, step: -1 },
    ]).filter(({ at }) => Number.isFinite(at)).sort((left, right) => left.at - right.at || left.step - right.step);
    const limits = events.limitChanges.filter(limit => limit.team === team);
    const excesses: LimitExcess[] = [];
    let running = 0;
    let highest = 0;
    for (const { at, step } of changes) {
        running += step;
        highest = Math.max(highest, running);
        const permitted = permittedUnits(limits, at, propagationMilliseconds);
        if (step > 0 && running > permitted) {
            excesses.push({ team, at, running, permitted });
        }
    }
    return { highest, excesses };
}

/** Maximum number of runs at the same time between two times. */
export function maximumConcurrentRuns(runs: readonly RecordedRun[], from: number, until: number): number {
    // The number increases only at starts, so it suffices to check these and the beginning.
    const moments = runs.map(run => run.startedAt).filter(at => at > from && at <= until);
    return [from, ...moments].reduce(
        (highest, at) => Math.max(highest, runs.filter(run => run.startedAt <= at && run.endedAt > at).length),
        0,
    );
}

/** Highest limit that may still be in force, because a lowered limit may reach a process only after the given time. */
function permittedUnits(
    limits: readonly { readonly units: number; readonly at: number; }[],
    at: number,
    propagationMilliseconds: number,
): number {
    const inForce = limits.findLast(limit => limit.at <= at - propagationMilliseconds);
    const later = limits.filter(limit => limit.at > at - propagationMilliseconds);
    return Math.max(inForce?.units ?? 0, ...later.map(limit => limit.units));
}
