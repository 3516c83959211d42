/**
 * Recovery of a shard by a new owner. Tasks accepted under an earlier epoch may still run on workers that have not sent
 * a report yet. They count as used units of their teams and are not started, until every worker has reported or their
 * leases have expired.
 */
import { isFinished, Reason, taskLeaseMilliseconds, TaskState } from "@tanagerlink/model";
import type { ExecutorPool } from "@tanagerlink/routing";
import { activeTasks, type JobEntry, type TaskEntry } from "./jobEntry.ts";
import { recordJobDecision, type ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import type { WorkerRegistry } from "./workerRegistry.ts";

/** Recovers the tasks that one shard accepted under earlier epochs. */
export class Recovery {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly workers: WorkerRegistry;
    private readonly executors: ExecutorPool;
    private unconfirmedUnits = new Map<string, number>();

    constructor(context: ShardContext, lifecycle: TaskLifecycle, workers: WorkerRegistry, executors: ExecutorPool) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.workers = workers;
        this.executors = executors;
    }

    /** Resolves the tasks whose state is certain by now. Called after the jobs were loaded and then periodically. */
    resolveTasks(): void {
        const recovering = this.context.jobRegistry.recoveringTasks();
        if (recovering.length > 0) {
            const resolvedJobs = new Set<JobEntry>();
            for (const { entry, task } of recovering) {
                if (this.canResolve(entry)) {
                    this.resolveTask(entry, task);
                    resolvedJobs.add(entry);
                }
            }
            for (const entry of resolvedJobs) {
                this.enqueueOrStopGang(entry);
            }
        }
        this.updateUnconfirmedUnits();
    }

    /** A gang runs as a whole: when only some of its tasks were found on workers, these are stopped. */
    private enqueueOrStopGang(entry: JobEntry): void {
        if (!entry.record.specification.allAtOnce || activeTasks(entry).length === 0) {
            this.lifecycle.enqueueJob(entry);
        }
        else if (entry.tasks.some(task => task.state === TaskState.Waiting)) {
            this.lifecycle.stopGang(entry, Reason.WorkerLost);
        }
    }

    /** Units by team that may be in use without a known task; the ledger grants none of them to new work. */
    private updateUnconfirmedUnits(): void {
        const unitsByTeam = new Map(this.executors.inheritedUnits());
        // Requests that run on executors which are not attached yet may belong to any team.
        const unknownUnits = this.executors.unknownUnits();
        for (const team of unknownUnits > 0 ? this.configuredTeams() : []) {
            unitsByTeam.set(team, (unitsByTeam.get(team) ?? 0) + unknownUnits);
        }
        for (const [team, units] of this.workers.orphanedUnits()) {
            unitsByTeam.set(team, (unitsByTeam.get(team) ?? 0) + units);
        }
        for (const { entry } of this.context.jobRegistry.recoveringTasks()) {
            const team = entry.record.specification.team;
            unitsByTeam.set(team, (unitsByTeam.get(team) ?? 0) + 1);
        }
        for (const team of new Set([...this.unconfirmedUnits.keys(), ...unitsByTeam.keys()])) {
            this.context.dependencies.ledger.setUnconfirmedUnits(this.context.shard, team, unitsByTeam.get(team) ?? 0);
        }
        this.unconfirmedUnits = unitsByTeam;
    }

    private configuredTeams(): string[] {
        return Object.keys(this.context.dependencies.configuration()?.teams ?? {});
    }

    private canResolve(entry: JobEntry): boolean {
        if (this.workers.hasAttachedAllWorkers()) {
            return true;
        }
        const { timers, settings } = this.context.dependencies;
        const readySince = this.workers.readySince;
        const lease = taskLeaseMilliseconds[entry.record.workClass] + settings.leaseMarginMilliseconds;
        // The previous owner renews leases until it loses the majority, which is certain once this owner is ready.
        return readySince !== undefined && timers.now() - readySince > lease;
    }

    /** Resolves a task that no attached worker runs and no other worker can still run. */
    private resolveTask(entry: JobEntry, task: TaskEntry): void {
        task.recovering = false;
        this.context.jobRegistry.markChanged(entry);
        if (isFinished(entry.record.state)) {
            task.state = TaskState.Cancelled;
            return;
        }
        task.state = TaskState.Waiting;
        const intent = entry.record.intents.find(candidate => candidate.task === task.index);
        if (entry.record.specification.idempotent || intent === undefined) {
            task.everPlaced = false;
            recordJobDecision(this.context, entry, Reason.WaitingForCapacity, {
                task: task.index,
                detail: "found on no worker",
            });
            return;
        }
        const session = this.workers.session(intent.worker);
        const isSameBoot = session?.attached === true && session.bootId === intent.bootId
            && session.lastReport?.capabilities.listing === true && session.lastReport.capabilities.fencing;
        if (!isSameBoot) {
            void this.lifecycle.markOutcomeUnknown(
                entry,
                task,
                `worker ${intent.worker}, which may have run it, is gone`,
            );
        }
    }
}
