/**
 * Moves waiting jobs without running tasks to other shards. A job is moved when this shard has no free capacity for it
 * and another one has. Jobs are evacuated in larger groups when the failure domain of this shard is out or when no
 * worker accepts tasks.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import type { JobMove } from "@tanagerlink/jobs";
import { FailureDomainState, isFinished, Reason, TaskState } from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import { JobArrivals } from "./jobArrivals.ts";
import type { JobEntry, TaskEntry } from "./jobEntry.ts";
import { recordJobDecision, type ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";

const MOVE_PERIOD_MILLISECONDS = 1_000;

/** Limits the overcommitment of a target when many shards move jobs to its free capacity at the same time. */
const MAXIMUM_MOVES_PER_PERIOD = 5;

/**
 * Upper bound for a shard that cannot run any task. Each move writes 4 rows, so the two shards of a failure domain stay
 * within the several hundred writes per second of the platform's table.
 */
const MAXIMUM_EVACUATIONS_PER_PERIOD = 25;

/** Bound the work of one period; the next period continues the scan where this one ended. */
const MAXIMUM_TARGET_LOOKUPS_PER_PERIOD = 50;
const MAXIMUM_JOBS_SCANNED_PER_PERIOD = 2_000;

/** Time for which a job waits before it is moved to free capacity elsewhere. */
const MINIMUM_WAIT_BEFORE_MOVE_MILLISECONDS = 5_000;

/** Time without available workers before jobs are evacuated; a new owner needs part of it to read its workers. */
const NO_WORKER_GRACE_PERIOD_MILLISECONDS = 3_000;

/** Bounds the chain of pointers that a lookup of a moved job follows. */
const MAXIMUM_MOVES_PER_JOB = 4;

/** Moves the waiting jobs of one shard and processes its arrivals. */
export class JobMover implements Disposable {
    private readonly context: ShardContext;
    private readonly arrivals: JobArrivals;
    private readonly subscription: Subscription;
    private cursor: Iterator<JobEntry>;
    /** Periods do not overlap: a slow table gets fewer writes, and no arrival is read while moves are being written. */
    private isPeriodRunning = false;
    private noAvailableWorkerSince: number | undefined;

    constructor(context: ShardContext, lifecycle: TaskLifecycle) {
        this.context = context;
        this.arrivals = new JobArrivals(context, lifecycle);
        this.cursor = context.jobRegistry.entries();
        this.subscription = context.dependencies.timers.every(MOVE_PERIOD_MILLISECONDS, async () => {
            if (!this.isPeriodRunning) {
                this.isPeriodRunning = true;
                await this.moveWaitingJobs();
                await this.arrivals.processArrivals();
                await this.pruneOldestPointer();
                this.isPeriodRunning = false;
            }
        });
    }

    [Symbol.dispose](): void {
        this.arrivals[Symbol.dispose]();
        this.subscription[Symbol.dispose]();
    }

    private async moveWaitingJobs(): Promise<void> {
        const { moveTarget, ownership, metrics } = this.context.dependencies;
        // Until the takeover is complete, the previous owner may still start the jobs.
        const mayStartTasks = ownership.mayStart(this.context.shard, this.context.epoch);
        const hasNoWaitingTasks = this.context.policy.waitingTaskCount() === 0;
        if (moveTarget === undefined || !mayStartTasks || hasNoWaitingTasks) {
            return;
        }
        const evacuate = this.isFailureDomainOut() || this.hasNoAvailableWorker();
        const moves = this.chooseMoves(evacuate, entry => moveTarget(entry.record, evacuate));
        if (moves.length > 0) {
            metrics.movedJobs.increment({ cause: evacuate ? "leave" : "room" }, await this.writeMoves(moves));
        }
    }

    private chooseMoves(evacuate: boolean, findTarget: (entry: JobEntry) => string | undefined): JobMove[] {
        const { timers } = this.context.dependencies;
        const waitingBefore = timers.now() - MINIMUM_WAIT_BEFORE_MOVE_MILLISECONDS;
        const maximumMoves = evacuate ? MAXIMUM_EVACUATIONS_PER_PERIOD : MAXIMUM_MOVES_PER_PERIOD;
        const moves: JobMove[] = [];
        let lookups = 0;
        for (
            let scanned = 0;
            scanned < MAXIMUM_JOBS_SCANNED_PER_PERIOD && lookups < MAXIMUM_TARGET_LOOKUPS_PER_PERIOD &&
            moves.length < maximumMoves;
            scanned++
        ) {
            const next = this.cursor.next();
            if (next.done === true) {
                this.cursor = this.context.jobRegistry.entries();
                break;
            }
            const entry = next.value;
            if (!isMovable(entry, evacuate) || (!evacuate && entry.waitingSince > waitingBefore)) {
                continue;
            }
            lookups++;
            const target = findTarget(entry);
            if (target !== undefined) {
                moves.push(this.detach(entry, target));
            }
        }
        return moves;
    }

    /** Removes a job from this shard, which then never starts it, whatever the outcome of the write is. */
    private detach(entry: JobEntry, target: string): JobMove {
        const { id } = entry.record;
        recordJobDecision(this.context, entry, Reason.Moved, {
            detail: `from shard ${this.context.shard} to shard ${target}`,
        });
        this.context.policy.removeJob(id);
        this.context.jobRegistry.delete(id);
        this.context.jobRegistry.movedJobs.set(id, target);
        return { record: entry.record, target };
    }

    private async writeMoves(moves: readonly JobMove[]): Promise<number> {
        const { jobs, logger } = this.context.dependencies;
        const result: Result<readonly string[], ServiceError> = await this.context.pendingWrites.track(
            jobs.move(this.context.shard, moves),
        );
        if (result.isErr()) {
            if (result.error.kind !== ErrorKind.StaleEpoch) {
                logger.warn(
                    { jobs: moves.length, error: result.error },
                    "writing moves of jobs failed; the next owner of the shard loads the jobs",
                );
            }
            return 0;
        }
        if (result.value.length < moves.length) {
            const unmovedJobs = moves.filter(({ record }) => !result.value.includes(record.id)).map(({ record }) =>
                record.id
            );
            logger.warn(
                { jobs: unmovedJobs },
                "jobs were not moved because their rows were changed outside the shard; the next owner loads the jobs",
            );
        }
        return result.value.length;
    }

    /**
     * Removes the row that points to a moved job once the record in the target shard is gone. Checks one row in each
     * period, in rotation.
     */
    private async pruneOldestPointer(): Promise<void> {
        const { movedJobs } = this.context.jobRegistry;
        const [oldest] = movedJobs;
        if (oldest === undefined) {
            return;
        }
        const [job, target] = oldest;
        const record = await this.context.dependencies.jobs.read(target, job);
        movedJobs.delete(job);
        if (record.isOk() && record.value === undefined && !this.context.pendingWrites.hasPendingWrites) {
            this.context.dependencies.jobs.remove(this.context.shard, job);
        }
        else {
            movedJobs.set(job, target);
        }
    }

    /** Whether no worker has accepted tasks for the grace period, for example because the last one is leaving. */
    private hasNoAvailableWorker(): boolean {
        const now = this.context.dependencies.timers.now();
        if (this.context.policy.availableCapacity().processorMillis > 0) {
            this.noAvailableWorkerSince = undefined;
            return false;
        }
        this.noAvailableWorkerSince ??= now;
        return now - this.noAvailableWorkerSince >= NO_WORKER_GRACE_PERIOD_MILLISECONDS;
    }

    private isFailureDomainOut(): boolean {
        const configuration = this.context.dependencies.configuration();
        return configuration?.failureDomains[this.context.failureDomain]?.state === FailureDomainState.Out;
    }
}

/**
 * Whether a job may be moved: none of its tasks runs or may be running. No task of a non-idempotent job or of a gang
 * may ever have been placed. A job is moved to free capacity only once. It is moved again out of a shard that cannot
 * run any task, where it would otherwise wait until the failure domain is available again.
 */
function isMovable(entry: JobEntry, evacuate: boolean): boolean {
    const { record } = entry;
    const isPermitted = entry.pendingWrites === 0 && !isFinished(record.state) && record.intents.length === 0
        && record.parts === undefined && (record.movedFrom?.length ?? 0) < (evacuate ? MAXIMUM_MOVES_PER_JOB : 1);
    if (!isPermitted) {
        return false;
    }
    const isWaiting = (task: TaskEntry): boolean => task.state === TaskState.Waiting && !task.recovering;
    return record.specification.idempotent && !record.specification.allAtOnce
        ? entry.tasks.every(task => isWaiting(task) || task.state === TaskState.Succeeded) &&
            entry.tasks.some(isWaiting)
        : entry.tasks.every(task => isWaiting(task) && !task.everPlaced);
}
