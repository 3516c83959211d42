/**
 * Computes when the next heartbeat to a worker is due and for how long the worker may hold its response. The regular
 * period bounds the number of messages. A worker on which a task is about to end, or whose response to a start or stop
 * is pending, is polled earlier, so that its capacity is reused soon.
 */
import { type JobSpecification, taskLeaseMilliseconds, TaskState } from "@tanagerlink/model";
import type { JobEntry, TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";

/** Lower bound of the time between two heartbeats to one worker. */
const MINIMUM_HEARTBEAT_INTERVAL_MILLISECONDS = 250;

/** Time after the expected end of a task at which the worker is polled. */
const DELAY_AFTER_EXPECTED_END_MILLISECONDS = 50;

/** Upper bound of the time for which a worker holds its response to a heartbeat. */
const MAXIMUM_HOLD_MILLISECONDS = 8_000;

/** Upper bound of a hold as a fraction of the shortest task lease on the worker; tolerates two lost renewals. */
const MAXIMUM_HOLD_LEASE_FRACTION = 1 / 3;

/**
 * Remaining time of the owner lease below which workers must confirm the epoch at short intervals. A renewal in time
 * leaves 4,000 ms of 6,000. Less than this threshold means that a renewal has failed; the rest is enough for a majority
 * of the workers to confirm the epoch before the lease expires.
 */
const MINIMUM_REMAINING_LEASE_MILLISECONDS = 3_500;

/** Upper bound of the number of job names whose run times are kept. */
const MAXIMUM_JOB_NAMES = 2_000;

/**
 * Last observed run times by team, queue and job name. They take precedence because declared ones are often far off.
 */
export class RunTimes {
    private readonly observedMilliseconds = new Map<string, number>();

    record(specification: JobSpecification, milliseconds: number): void {
        const key = runTimeKey(specification);
        this.observedMilliseconds.delete(key);
        this.observedMilliseconds.set(key, milliseconds);
        const oldest = this.observedMilliseconds.keys().next().value;
        if (this.observedMilliseconds.size > MAXIMUM_JOB_NAMES && oldest !== undefined) {
            this.observedMilliseconds.delete(oldest);
        }
    }

    /** Expected run time of a task; `undefined` when it was neither observed nor declared, as for services. */
    expectedMilliseconds(specification: JobSpecification): number | undefined {
        const declared = specification.runSeconds === undefined ? undefined : specification.runSeconds * 1_000;
        return this.observedMilliseconds.get(runTimeKey(specification)) ?? declared;
    }
}

/** Time until the next heartbeat to a worker, in milliseconds. */
export function heartbeatDelayMilliseconds(context: ShardContext, worker: string): number {
    const { timers, settings } = context.dependencies;
    let delay = settings.workerHeartbeatMilliseconds;
    for (const { entry, task } of context.jobRegistry.tasksOn(worker)) {
        delay = Math.min(delay, heartbeatDelayForTask(context.runTimes, entry, task, timers.now()));
    }
    return Math.max(Math.min(MINIMUM_HEARTBEAT_INTERVAL_MILLISECONDS, settings.workerHeartbeatMilliseconds), delay);
}

/**
 * Time for which a worker may hold its response to a heartbeat, in milliseconds. It must respond at once while the
 * table does not confirm the owner lease, because the worker's acceptance then serves as the confirmation, and while a
 * start, stop or throttle on it may have to be repeated.
 */
export function holdMilliseconds(context: ShardContext, worker: string): number {
    if (!isLeaseConfirmed(context)) {
        return 0;
    }
    let hold = MAXIMUM_HOLD_MILLISECONDS;
    for (const [task, entry] of context.jobRegistry.occupantsOf(worker)) {
        const isStartUnconfirmed = task.state === TaskState.Starting && !task.startInFlight;
        if (isStartUnconfirmed || task.stopping !== undefined || task.throttledAt > 0) {
            return 0;
        }
        hold = Math.min(hold, taskLeaseMilliseconds[entry.record.workClass] * MAXIMUM_HOLD_LEASE_FRACTION);
    }
    return hold;
}

/** Whether the last renewal of the owner lease succeeded in time. */
function isLeaseConfirmed({ dependencies: { ownership }, shard, epoch }: ShardContext): boolean {
    return ownership.mayStart(shard, epoch) &&
        ownership.remainingLeaseMilliseconds(shard, epoch) > MINIMUM_REMAINING_LEASE_MILLISECONDS;
}

function heartbeatDelayForTask(runTimes: RunTimes, entry: JobEntry, task: TaskEntry, now: number): number {
    if (task.stopping !== undefined || (task.state === TaskState.Starting && !task.startInFlight)) {
        // The delay equals the time since the call was sent. It grows until the call is repeated; repeats have a
        // minimum period of their own.
        return now - (task.stopping === undefined ? task.startSentAt : task.stopSentAt);
    }
    const expectedRun = runTimes.expectedMilliseconds(entry.record.specification);
    if (expectedRun === undefined || task.state !== TaskState.Running) {
        return Number.POSITIVE_INFINITY;
    }
    const expectedEnd = task.startedAt + expectedRun;
    // Once a task is overdue, the delay grows with the overrun, which limits the polls to a few for each task.
    return now < expectedEnd ? expectedEnd - now + DELAY_AFTER_EXPECTED_END_MILLISECONDS : now - expectedEnd;
}

function runTimeKey({ team, queue, name }: JobSpecification): string {
    return `${team}/${queue}/${name}`;
}
