/**
 * When a worker is asked for its next report. The regular period bounds the messages; a worker on which a task is about
 * to end, or whose answer to a start or stop is awaited, is asked earlier, so that its room is used again soon.
 */
import { type JobSpecification, taskLeaseMilliseconds, TaskState } from "@tanagerlink/model";
import type { JobEntry, TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";

/** Least time between two reports of one worker, in milliseconds. */
const SHORTEST_MILLISECONDS = 250;

/** Time after an expected end at which a report is asked for, in milliseconds. */
const AFTER_END_MILLISECONDS = 50;

/** Longest time for which a worker holds the answer to a heartbeat, in milliseconds. */
const LONGEST_HOLD_MILLISECONDS = 8_000;

/** Part of the shortest task lease on a worker that a hold may take, so that two renewals may be lost. */
const HOLD_PART_OF_LEASE = 1 / 3;

/**
 * Remaining time of the owner lease, in milliseconds, from which on workers confirm the epoch in short periods. A renewal in
 * time leaves 4,000 ms of 6,000; with less than this, one has failed, and a majority confirms before the lease ends.
 */
const LATE_RENEWAL_MILLISECONDS = 3_500;

/** Names of jobs whose run times are kept. */
const MAXIMUM_NAMES = 2_000;

/** Last observed run times in milliseconds, by team, queue and job name; declared ones are often far off. */
export class RunTimes {
    private readonly observed = new Map<string, number>();

    record(specification: JobSpecification, milliseconds: number): void {
        const key = keyOf(specification);
        this.observed.delete(key);
        this.observed.set(key, milliseconds);
        const oldest = this.observed.keys().next().value;
        if (this.observed.size > MAXIMUM_NAMES && oldest !== undefined) {
            this.observed.delete(oldest);
        }
    }

    /** Expected run time of a task; `undefined` for one that has no end. */
    expected(specification: JobSpecification): number | undefined {
        const declared = specification.runSeconds === undefined ? undefined : specification.runSeconds * 1_000;
        return this.observed.get(keyOf(specification)) ?? declared;
    }
}

/** Time until the next exchange with a worker, in milliseconds. */
export function exchangeDelay(context: ShardContext, worker: string): number {
    const { timers, settings } = context.dependencies;
    let delay = settings.workerHeartbeatMilliseconds;
    for (const { entry, task } of context.book.tasksOn(worker)) {
        delay = Math.min(delay, taskDelay(context.runTimes, entry, task, timers.now()));
    }
    return Math.max(Math.min(SHORTEST_MILLISECONDS, settings.workerHeartbeatMilliseconds), delay);
}

/**
 * Time for which a worker may hold the answer to a heartbeat, in milliseconds. It must answer at once while the store does
 * not confirm the lease, since its acceptance is needed as a confirmation then, and while something on it is to be repeated.
 */
export function holdMilliseconds(context: ShardContext, worker: string): number {
    if (!isLeaseConfirmed(context)) {
        return 0;
    }
    let hold = LONGEST_HOLD_MILLISECONDS;
    for (const [task, entry] of context.book.occupantsOf(worker)) {
        const isUnsettled = task.state === TaskState.Starting && !task.startInFlight;
        if (isUnsettled || task.stopping !== undefined || task.throttledAt > 0) {
            return 0;
        }
        hold = Math.min(hold, taskLeaseMilliseconds[entry.record.workClass] * HOLD_PART_OF_LEASE);
    }
    return hold;
}

/** Whether the last renewal of the owner lease succeeded in time. */
function isLeaseConfirmed({ dependencies: { ownership }, shard, epoch }: ShardContext): boolean {
    return ownership.mayStart(shard, epoch) && ownership.leaseRemaining(shard, epoch) > LATE_RENEWAL_MILLISECONDS;
}

function taskDelay(runTimes: RunTimes, entry: JobEntry, task: TaskEntry, now: number): number {
    if (task.stopping !== undefined || (task.state === TaskState.Starting && !task.startInFlight)) {
        // The pause grows until the call is repeated, which has a least period of its own.
        return now - (task.stopping === undefined ? task.startSentAt : task.stopSentAt);
    }
    const run = runTimes.expected(entry.record.specification);
    if (run === undefined || task.state !== TaskState.Running) {
        return Number.POSITIVE_INFINITY;
    }
    const end = task.startedAt + run;
    // After an end that did not come, the pause grows with the delay, to a few messages for each task.
    return now < end ? end - now + AFTER_END_MILLISECONDS : now - end;
}

function keyOf({ team, queue, name }: JobSpecification): string {
    return `${team}/${queue}/${name}`;
}
