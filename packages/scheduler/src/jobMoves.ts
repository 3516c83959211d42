/**
 * Moves jobs that wait here, and of which nothing runs, to shards that can run them now: when this shard has no room
 * while another one has, or in larger groups when this shard's failure domain was taken out or no worker can take tasks.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import type { JobMove } from "@tanagerlink/jobs";
import { FailureDomainState, isFinished, Reason, TaskState } from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import { JobArrivals } from "./jobArrivals.ts";
import type { JobEntry, TaskEntry } from "./jobEntry.ts";
import { decide, type ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";

/** Period of moves, in milliseconds. */
const PERIOD_MILLISECONDS = 1_000;

/** Most jobs moved in a period to room elsewhere, which bounds the error when many shards move to one. */
const MOVES_AT_ONCE = 5;

/**
 * Most jobs moved in a period from a shard that can run nothing. Each makes 4 writes of rows, so that the two shards of
 * a failure domain stay within the several hundred writes a second of the platform's table.
 */
const LEAVING_AT_ONCE = 25;

/** Most jobs for which a target is looked for in a period, and most jobs looked at; the next period goes on from there. */
const ASKED_AT_ONCE = 50;
const LOOKED_AT_ONCE = 2_000;

/** Least time that a job waits before it is moved, in milliseconds. */
const LEAST_WAIT_MILLISECONDS = 5_000;

/** Time without any worker after which a shard gives its waiting jobs away; a new owner needs some to read them. */
const WITHOUT_WORKER_MILLISECONDS = 3_000;

/** Most moves of one job, which bounds the pointers that a lookup follows. */
const MAXIMUM_MOVES = 4;

/** Moves of one shard. */
export class JobMoves implements Disposable {
    private readonly context: ShardContext;
    private readonly arrivals: JobArrivals;
    private readonly subscription: Subscription;
    private cursor: Iterator<JobEntry>;
    /** One period's work at a time: a slow table gets fewer groups, and no arrival is read while moves are written. */
    private busy = false;
    private withoutWorkerSince: number | undefined;

    constructor(context: ShardContext, lifecycle: TaskLifecycle) {
        this.context = context;
        this.arrivals = new JobArrivals(context, lifecycle);
        this.cursor = context.book.entries();
        this.subscription = context.dependencies.timers.every(PERIOD_MILLISECONDS, async () => {
            if (!this.busy) {
                this.busy = true;
                await this.moveWaiting();
                await this.arrivals.takeIn();
                await this.forgetOnePointer();
                this.busy = false;
            }
        });
    }

    [Symbol.dispose](): void {
        this.arrivals[Symbol.dispose]();
        this.subscription[Symbol.dispose]();
    }

    private async moveWaiting(): Promise<void> {
        const { moveTarget, ownership, metrics } = this.context.dependencies;
        // Until the takeover is settled a former owner may still start the jobs.
        const settled = ownership.mayStart(this.context.shard, this.context.epoch);
        const nothingWaits = this.context.policy.waitingTaskCount() === 0;
        if (moveTarget === undefined || !settled || nothingWaits) {
            return;
        }
        const leave = this.failureDomainOut() || this.hasNoWorker();
        const moves = this.chooseMoves(leave, entry => moveTarget(entry.record, leave));
        if (moves.length > 0) {
            metrics.movedJobs.increment({ cause: leave ? "leave" : "room" }, await this.move(moves));
        }
    }

    private chooseMoves(leave: boolean, findTarget: (entry: JobEntry) => string | undefined): JobMove[] {
        const { timers } = this.context.dependencies;
        const waitingBefore = timers.now() - LEAST_WAIT_MILLISECONDS;
        const bound = leave ? LEAVING_AT_ONCE : MOVES_AT_ONCE;
        const moves: JobMove[] = [];
        let asked = 0;
        for (let looked = 0; looked < LOOKED_AT_ONCE && asked < ASKED_AT_ONCE && moves.length < bound; looked++) {
            const next = this.cursor.next();
            if (next.done === true) {
                this.cursor = this.context.book.entries();
                break;
            }
            const entry = next.value;
            if (!isMovable(entry, leave) || (!leave && entry.waitingSince > waitingBefore)) {
                continue;
            }
            asked++;
            const target = findTarget(entry);
            if (target !== undefined) {
                moves.push(this.release(entry, target));
            }
        }
        return moves;
    }

    /** From here on this shard never starts the job, whatever becomes of the write. */
    private release(entry: JobEntry, target: string): JobMove {
        const { id } = entry.record;
        decide(this.context, entry, Reason.Moved, { detail: `from shard ${this.context.shard} to shard ${target}` });
        this.context.policy.removeJob(id);
        this.context.book.delete(id);
        this.context.book.moved.set(id, target);
        return { record: entry.record, target };
    }

    private async move(moves: readonly JobMove[]): Promise<number> {
        const { jobs, logger } = this.context.dependencies;
        const result: Result<readonly string[], ServiceError> = await this.context.writes.track(
            jobs.move(this.context.shard, moves),
        );
        if (result.isErr()) {
            if (result.error.kind !== ErrorKind.StaleEpoch) {
                logger.warn(
                    { jobs: moves.length, error: result.error },
                    "jobs were not moved; the next owner reads them",
                );
            }
            return 0;
        }
        if (result.value.length < moves.length) {
            const left = moves.filter(({ record }) => !result.value.includes(record.id)).map(({ record }) => record.id);
            logger.warn({ jobs: left }, "rows of jobs were changed outside their shard; the next owner reads them");
        }
        return result.value.length;
    }

    /** A pointer is kept as long as the record to which it points; one is looked up in each period. */
    private async forgetOnePointer(): Promise<void> {
        const { moved } = this.context.book;
        const [oldest] = moved;
        if (oldest === undefined) {
            return;
        }
        const [job, target] = oldest;
        const record = await this.context.dependencies.jobs.read(target, job);
        moved.delete(job);
        if (record.isOk() && record.value === undefined && !this.context.writes.pending) {
            this.context.dependencies.jobs.remove(this.context.shard, job);
        }
        else {
            moved.set(job, target);
        }
    }

    /** No worker has taken new work for a while, for example because the last one leaves. */
    private hasNoWorker(): boolean {
        const now = this.context.dependencies.timers.now();
        if (this.context.policy.availableCapacity().processorMillis > 0) {
            this.withoutWorkerSince = undefined;
            return false;
        }
        this.withoutWorkerSince ??= now;
        return now - this.withoutWorkerSince >= WITHOUT_WORKER_MILLISECONDS;
    }

    private failureDomainOut(): boolean {
        const configuration = this.context.dependencies.configuration();
        return configuration?.failureDomains[this.context.failureDomain]?.state === FailureDomainState.Out;
    }
}

/**
 * Jobs of which nothing runs or may run. Of a non-idempotent job nothing may ever have been started. A job moves once to
 * room elsewhere; from shards that can run nothing it moves again, since it would wait there for the failure domain.
 */
function isMovable(entry: JobEntry, leave: boolean): boolean {
    const { record } = entry;
    const movable = entry.pendingWrites === 0 && !isFinished(record.state) && record.intents.length === 0
        && record.parts === undefined && (record.movedFrom?.length ?? 0) < (leave ? MAXIMUM_MOVES : 1);
    if (!movable) {
        return false;
    }
    const waits = (task: TaskEntry): boolean => task.state === TaskState.Waiting && !task.recovering;
    return record.specification.idempotent && !record.specification.allAtOnce
        ? entry.tasks.every(task => waits(task) || task.state === TaskState.Succeeded) && entry.tasks.some(waits)
        : entry.tasks.every(task => waits(task) && !task.everPlaced);
}
