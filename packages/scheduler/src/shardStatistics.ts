/** Status of jobs, summaries for peers and gauges of one shard. */
import {
    addResources,
    noResources,
    type Resources,
    type ShardSummary,
    type TaskState,
    type TeamSummary,
} from "@tanagerlink/model";
import type { ExecutorPool } from "@tanagerlink/routing";
import type { JobEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import { type JobStatus, statusOfRecord } from "./submission.ts";

/** Reads the state of one shard; changes nothing. */
export class ShardStatistics {
    private readonly context: ShardContext;
    private readonly executors: ExecutorPool;

    constructor(context: ShardContext, executors: ExecutorPool) {
        this.context = context;
        this.executors = executors;
    }

    status(entry: JobEntry): JobStatus {
        if (entry.record.parts !== undefined) {
            return statusOfRecord(entry.record);
        }
        const tasks: Partial<Record<TaskState, number>> = {};
        for (const task of entry.tasks) {
            tasks[task.state] = (tasks[task.state] ?? 0) + 1;
        }
        return { ...statusOfRecord(entry.record), tasks };
    }

    updateGauges(): void {
        const { metrics, timers } = this.context.dependencies;
        const labels = { shard: this.context.shard };
        let running = 0;
        for (const count of this.context.jobRegistry.countByTeam().values()) {
            running += count.active;
        }
        metrics.waitingTasks.set(this.context.policy.waitingTaskCount(), labels);
        metrics.runningTasks.set(running, labels);
        metrics.quarantinedWorkers.set(this.context.policy.quarantinedWorkers(timers.now()).length, labels);
    }

    summary(owner: string, ready: boolean): ShardSummary {
        const free = this.context.policy.freeResources();
        const largest = this.context.policy.largestWorkerCapacity();
        const { adopter } = this.context.dependencies;
        return {
            shard: this.context.shard,
            owner,
            ...(adopter === undefined ? {} : { adoptedBy: adopter.failureDomain }),
            epoch: this.context.epoch,
            ready,
            freeProcessorMillis: free.processorMillis,
            freeMemoryMebibytes: free.memoryMebibytes,
            freeAccelerators: free.accelerators,
            largestProcessorMillis: largest.processorMillis,
            largestMemoryMebibytes: largest.memoryMebibytes,
            largestAccelerators: largest.accelerators,
            capacity: this.context.policy.totalCapacity(),
            queuedTasks: this.context.policy.waitingTaskCount(),
            waiting: this.context.policy.waitingResources(),
            services: this.executors.summaries(),
            teams: this.teamSummaries(),
        };
    }

    private teamSummaries(): TeamSummary[] {
        const sizes = this.activeSizeByTeam();
        const counts = this.context.jobRegistry.countByTeam();
        const grants = this.context.dependencies.ledger.grantStates().filter(state =>
            state.shard === this.context.shard
        );
        return grants.map(grant => {
            const size = sizes.get(grant.team) ?? noResources;
            return {
                team: grant.team,
                runningUnits: grant.used,
                grantUnits: grant.granted,
                waitingTasks: counts.get(grant.team)?.waiting ?? 0,
                ...size,
            };
        });
    }

    private activeSizeByTeam(): Map<string, Resources> {
        const sizes = new Map<string, Resources>();
        for (const entry of this.context.jobRegistry.occupyingJobs()) {
            const { team, size } = entry.record.specification;
            sizes.set(team, addResources(sizes.get(team) ?? noResources, size));
        }
        return sizes;
    }
}
