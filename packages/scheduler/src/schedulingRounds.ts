/** Runs the scheduling policy of a shard and applies its decisions, one round at a time. */
import { ErrorKind } from "@tanagerlink/errors";
import { Reason, TaskState } from "@tanagerlink/model";
import type { LimitGate, RoundResult } from "@tanagerlink/policy";
import type { Subscription } from "@tanagerlink/timers";
import { isActive, type JobEntry } from "./jobEntry.ts";
import { stopOverLimit } from "./limitEnforcement.ts";
import { decide, type ShardContext } from "./shardContext.ts";
import { startRefusal } from "./startGate.ts";
import type { TaskStarter, TaskStopRequests } from "./taskStarter.ts";
import type { UnitWait } from "./unitWait.ts";
import type { WorkerRegistry } from "./workerRegistry.ts";

const SECOND = 1_000;

/** Scheduling rounds of one shard. */
export class SchedulingRounds {
    private readonly context: ShardContext;
    private readonly workers: WorkerRegistry;
    private readonly starter: TaskStarter;
    private readonly requests: TaskStopRequests;
    private readonly unitWait: UnitWait;
    private pending: Subscription | undefined;
    private stopped = false;
    private wantingTeams = new Set<string>();

    constructor(
        context: ShardContext,
        workers: WorkerRegistry,
        starter: TaskStarter,
        requests: TaskStopRequests,
        unitWait: UnitWait,
    ) {
        this.context = context;
        this.workers = workers;
        this.starter = starter;
        this.requests = requests;
        this.unitWait = unitWait;
    }

    /** Requests a round. Further requests before it runs are coalesced into it. */
    request(): void {
        if (this.pending !== undefined || this.stopped) {
            return;
        }
        this.pending = this.context.dependencies.timers.after(0, () => {
            this.pending = undefined;
            this.run();
        });
    }

    stop(): void {
        this.stopped = true;
        this.pending?.[Symbol.dispose]();
    }

    private run(): void {
        if (this.stopped) {
            return;
        }
        const { timers, settings, metrics } = this.context.dependencies;
        const refusal = startRefusal(this.context);
        if (refusal === undefined || refusal.kind === ErrorKind.FailureDomainOut) {
            stopOverLimit(this.context, this.requests);
        }
        if (refusal !== undefined) {
            this.recordRefusal(refusal.kind === "failure_domain_out");
            return;
        }
        const began = timers.now();
        const result = this.context.policy.round(began, this.limits(), settings.maximumStartsPerRound);
        this.carryOut(result);
        metrics.roundTime.observe((timers.now() - began) / SECOND);
        this.wantUnits();
        if (result.placements.length >= settings.maximumStartsPerRound) {
            this.request();
        }
    }

    private carryOut(result: RoundResult): void {
        for (const preemption of result.preemptions) {
            const entry = this.context.book.get(preemption.job);
            const task = entry?.tasks[preemption.task];
            if (entry !== undefined && task !== undefined && isActive(task) && task.stopping === undefined) {
                this.context.dependencies.metrics.preemptions.increment();
                decide(this.context, entry, Reason.Preempted, {
                    task: task.index,
                    worker: preemption.worker,
                    detail: `for ${preemption.beneficiary}`,
                });
                this.requests.checkpoint(entry, task);
            }
        }
        for (const placement of result.placements) {
            this.place(placement.job, placement.task, placement.worker, placement.reason);
        }
        for (const hold of result.holds) {
            const entry = this.context.book.get(hold.job);
            if (entry !== undefined && entry.lastHold !== hold.reason) {
                decide(this.context, entry, hold.reason);
            }
        }
    }

    private place(job: string, index: number, worker: string, reason: Reason): void {
        const entry = this.context.book.get(job);
        const task = entry?.tasks[index];
        const session = this.workers.session(worker);
        if (entry === undefined || task === undefined || session === undefined || task.state !== TaskState.Waiting) {
            this.takeBack(entry, job, index, task?.state === TaskState.Waiting);
            return;
        }
        decide(this.context, entry, reason, { task: index, worker });
        void this.starter.start(entry, task, session);
    }

    /** Releases the capacity and the unit reserved for a placement that can't be applied. */
    private takeBack(entry: JobEntry | undefined, job: string, index: number, waits: boolean): void {
        this.context.policy.taskEnded(job, index, undefined);
        if (entry !== undefined) {
            this.context.dependencies.ledger.release(this.context.shard, entry.record.specification.team);
        }
        if (waits) {
            this.context.policy.requeueTasks(job, [index]);
        }
    }

    private limits(): LimitGate {
        const { ledger } = this.context.dependencies;
        const giveBack = (team: string, units: number): void => {
            for (let unit = 0; unit < units; unit++) {
                ledger.release(this.context.shard, team);
            }
        };
        return {
            take: (team, units) => {
                for (let taken = 0; taken < units; taken++) {
                    if (ledger.reserve(this.context.shard, team).isErr()) {
                        giveBack(team, taken);
                        return false;
                    }
                }
                return true;
            },
            giveBack,
        };
    }

    /** Reports to the ledger how many units the waiting tasks and requests of each team need. */
    wantUnits(): void {
        if (this.stopped) {
            return;
        }
        const wanted = new Map<string, number>();
        for (const [team, count] of this.context.book.countByTeam()) {
            if (count.waiting > 0) {
                wanted.set(team, count.waiting);
            }
        }
        for (const team of this.unitWait.teams()) {
            wanted.set(team, (wanted.get(team) ?? 0) + this.unitWait.count(team));
        }
        for (const team of new Set([...this.wantingTeams, ...wanted.keys()])) {
            this.context.dependencies.ledger.want(this.context.shard, team, wanted.get(team) ?? 0);
        }
        this.wantingTeams = new Set(wanted.keys());
    }

    private recordRefusal(failureDomainOut: boolean): void {
        if (!failureDomainOut) {
            return;
        }
        for (const entry of this.context.book.entries()) {
            const waits = entry.tasks.some(task => task.state === TaskState.Waiting);
            if (waits && entry.lastHold !== Reason.FailureDomainOut) {
                decide(this.context, entry, Reason.FailureDomainOut);
            }
        }
    }
}
