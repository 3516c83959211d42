/** Runs the scheduling policy of a shard and applies its decisions, one round at a time. */
import { ErrorKind } from "@tanagerlink/errors";
import { Reason, TaskState } from "@tanagerlink/model";
import type { LimitGate, RoundResult } from "@tanagerlink/policy";
import type { Subscription } from "@tanagerlink/timers";
import { isActive, type JobEntry } from "./jobEntry.ts";
import { stopTasksOverLimit } from "./limitEnforcement.ts";
import { recordJobDecision, type ShardContext } from "./shardContext.ts";
import { startRefusal } from "./startGate.ts";
import type { TaskStarter, TaskStopRequests } from "./taskStarter.ts";
import type { UnitWaiters } from "./unitWaiters.ts";
import type { WorkerRegistry } from "./workerRegistry.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Scheduling rounds of one shard. */
export class SchedulingRounds {
    private readonly context: ShardContext;
    private readonly workers: WorkerRegistry;
    private readonly starter: TaskStarter;
    private readonly stopRequests: TaskStopRequests;
    private readonly unitWaiters: UnitWaiters;
    private pendingRound: Subscription | undefined;
    private stopped = false;
    private teamsWithDemand = new Set<string>();

    constructor(
        context: ShardContext,
        workers: WorkerRegistry,
        starter: TaskStarter,
        stopRequests: TaskStopRequests,
        unitWaiters: UnitWaiters,
    ) {
        this.context = context;
        this.workers = workers;
        this.starter = starter;
        this.stopRequests = stopRequests;
        this.unitWaiters = unitWaiters;
    }

    /** Requests a round. Further requests before it runs are coalesced into it. */
    requestRound(): void {
        if (this.pendingRound !== undefined || this.stopped) {
            return;
        }
        this.pendingRound = this.context.dependencies.timers.after(0, () => {
            this.pendingRound = undefined;
            this.runRound();
        });
    }

    stop(): void {
        this.stopped = true;
        this.pendingRound?.[Symbol.dispose]();
    }

    private runRound(): void {
        if (this.stopped) {
            return;
        }
        const { timers, settings, metrics } = this.context.dependencies;
        const refusal = startRefusal(this.context);
        if (refusal === undefined || refusal.kind === ErrorKind.FailureDomainOut) {
            stopTasksOverLimit(this.context, this.stopRequests);
        }
        if (refusal !== undefined) {
            this.recordFailureDomainOut(refusal.kind === "failure_domain_out");
            return;
        }
        const startedAt = timers.now();
        const result = this.context.policy.runRound(startedAt, this.limitGate(), settings.maximumStartsPerRound);
        this.applyResult(result);
        metrics.roundDuration.observe((timers.now() - startedAt) / MILLISECONDS_PER_SECOND);
        this.updateDemand();
        if (result.placements.length >= settings.maximumStartsPerRound) {
            this.requestRound();
        }
    }

    private applyResult(result: RoundResult): void {
        for (const preemption of result.preemptions) {
            const entry = this.context.jobRegistry.get(preemption.job);
            const task = entry?.tasks[preemption.task];
            if (entry !== undefined && task !== undefined && isActive(task) && task.stopping === undefined) {
                this.context.dependencies.metrics.preemptions.increment();
                recordJobDecision(this.context, entry, Reason.Preempted, {
                    task: task.index,
                    worker: preemption.worker,
                    detail: `for ${preemption.beneficiary}`,
                });
                this.stopRequests.checkpoint(entry, task);
            }
        }
        for (const placement of result.placements) {
            this.startPlacement(placement.job, placement.task, placement.worker, placement.reason);
        }
        for (const hold of result.waitReasons) {
            const entry = this.context.jobRegistry.get(hold.job);
            if (entry !== undefined && entry.lastHold !== hold.reason) {
                recordJobDecision(this.context, entry, hold.reason);
            }
        }
    }

    private startPlacement(job: string, index: number, worker: string, reason: Reason): void {
        const entry = this.context.jobRegistry.get(job);
        const task = entry?.tasks[index];
        const session = this.workers.session(worker);
        if (entry === undefined || task === undefined || session === undefined || task.state !== TaskState.Waiting) {
            this.releasePlacement(entry, job, index, task?.state === TaskState.Waiting);
            return;
        }
        recordJobDecision(this.context, entry, reason, { task: index, worker });
        void this.starter.start(entry, task, session);
    }

    /** Releases the capacity and the unit reserved for a placement that can't be applied. */
    private releasePlacement(entry: JobEntry | undefined, job: string, index: number, isWaiting: boolean): void {
        this.context.policy.recordTaskEnd(job, index, undefined);
        if (entry !== undefined) {
            this.context.dependencies.ledger.release(this.context.shard, entry.record.specification.team);
        }
        if (isWaiting) {
            this.context.policy.requeueTasks(job, [index]);
        }
    }

    private limitGate(): LimitGate {
        const { ledger } = this.context.dependencies;
        const releaseUnits = (team: string, units: number): void => {
            for (let unit = 0; unit < units; unit++) {
                ledger.release(this.context.shard, team);
            }
        };
        return {
            acquire: (team, units) => {
                for (let reserved = 0; reserved < units; reserved++) {
                    if (ledger.reserve(this.context.shard, team).isErr()) {
                        releaseUnits(team, reserved);
                        return false;
                    }
                }
                return true;
            },
            release: releaseUnits,
        };
    }

    /** Reports to the ledger how many units the waiting tasks and requests of each team need. */
    updateDemand(): void {
        if (this.stopped) {
            return;
        }
        const demand = new Map<string, number>();
        for (const [team, count] of this.context.jobRegistry.countByTeam()) {
            if (count.waiting > 0) {
                demand.set(team, count.waiting);
            }
        }
        for (const team of this.unitWaiters.teams()) {
            demand.set(team, (demand.get(team) ?? 0) + this.unitWaiters.count(team));
        }
        for (const team of new Set([...this.teamsWithDemand, ...demand.keys()])) {
            this.context.dependencies.ledger.setDemand(this.context.shard, team, demand.get(team) ?? 0);
        }
        this.teamsWithDemand = new Set(demand.keys());
    }

    private recordFailureDomainOut(isFailureDomainOut: boolean): void {
        if (!isFailureDomainOut) {
            return;
        }
        for (const entry of this.context.jobRegistry.entries()) {
            const hasWaitingTask = entry.tasks.some(task => task.state === TaskState.Waiting);
            if (hasWaitingTask && entry.lastHold !== Reason.FailureDomainOut) {
                recordJobDecision(this.context, entry, Reason.FailureDomainOut);
            }
        }
    }
}
