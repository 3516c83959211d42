/**
 * When a worker is asked for its next report. The regular period bounds the messages; a worker on which a task is about
 * to end, or whose answer to a start or stop is awaited, is asked earlier, so that its room is used again soon.
 */
import { type JobSpecification, TaskState } from "@tanagerlink/model";
import type { JobEntry, TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";

/** Least time between two reports of one worker, in milliseconds. */
const SHORTEST_MILLISECONDS = 250;

/** Time after an expected end at which a report is asked for, in milliseconds. */
const AFTER_END_MILLISECONDS = 50;

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
