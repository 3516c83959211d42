/** One view of what workers and executors really ran. */
import type { Cell } from "./cell.ts";
import type { Facts } from "./facts.ts";

/** Most tasks of one job. */
const MAXIMUM_TASKS = 10_000;

/** Position of a part, by the end `-p<position>` of its identifier; 0 for jobs without parts. */
function partOf(job: string): number {
    return Number(/-p(\d+)$/.exec(job)?.[1] ?? 0);
}

/** One run of a task or a request as a stand-in recorded it. */
export interface RecordedRun {
    readonly target: string;
    readonly team: string;
    /** Reference of the job, or of the try of a request. */
    readonly reference: string;
    /** Number of the task, different for the tasks of all parts of one job; 0 for requests. */
    readonly task: number;
    readonly kind: "task" | "request";
    readonly epoch: number;
    readonly startedAt: number;
    readonly endedAt: number;
    readonly succeeded: boolean;
    /** Whether the product ended the run before its time. */
    readonly stopped: boolean;
    readonly throttled: boolean;
}

/** All runs on all workers and executors of the cell. */
export function recordedRuns(cell: Cell): RecordedRun[] {
    const tasks = cell.workers.record.attempts.map((attempt): RecordedRun => ({
        target: attempt.worker,
        team: attempt.team,
        reference: (JSON.parse(attempt.payload) as { readonly reference: string; }).reference,
        task: partOf(attempt.job) * MAXIMUM_TASKS + attempt.task,
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

/** A start at which more units of a team ran than permitted. */
export interface LimitExcess {
    readonly team: string;
    readonly at: number;
    readonly running: number;
    readonly permitted: number;
}

/** Highest number of units of the team at any moment, and the starts that exceeded the limit in force. */
export function runningOfTeam(
    runs: readonly RecordedRun[],
    team: string,
    facts: Facts,
    bound: number,
): { readonly highest: number; readonly excesses: LimitExcess[]; } {
    const changes = runs.filter(run => run.team === team).flatMap(run => [
        { at: run.startedAt, step: 1 },
        { at: run.endedAt, step: -1 },
    ]).filter(({ at }) => Number.isFinite(at)).sort((left, right) => left.at - right.at || left.step - right.step);
    const limits = facts.limits.filter(limit => limit.team === team);
    const excesses: LimitExcess[] = [];
    let running = 0;
    let highest = 0;
    for (const { at, step } of changes) {
        running += step;
        highest = Math.max(highest, running);
        const permitted = permittedAt(limits, at, bound);
        if (step > 0 && running > permitted) {
            excesses.push({ team, at, running, permitted });
        }
    }
    return { highest, excesses };
}

/** Highest number of the runs at the same moment between two times. */
export function highestRunning(runs: readonly RecordedRun[], from: number, until: number): number {
    // The number rises only at starts, so these and the beginning are all moments to look at.
    const moments = runs.map(run => run.startedAt).filter(at => at > from && at <= until);
    return [from, ...moments].reduce(
        (highest, at) => Math.max(highest, runs.filter(run => run.startedAt <= at && run.endedAt > at).length),
        0,
    );
}

/** Highest limit that may still be in force: a lowered one has `bound` to reach every node. */
function permittedAt(
    limits: readonly { readonly units: number; readonly at: number; }[],
    at: number,
    bound: number,
): number {
    const inForce = limits.findLast(limit => limit.at <= at - bound);
    const later = limits.filter(limit => limit.at > at - bound);
    return Math.max(inForce?.units ?? 0, ...later.map(limit => limit.units));
}
