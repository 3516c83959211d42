/**
 * One failure domain of a replay. It runs the production scheduling policy, simulates workers that run each task for its
 * true run time, and records starts and ends independently of the policy, so that it can detect violations.
 */
import {
    addResources,
    fitsInto,
    noResources,
    type PolicySettings,
    type Resources,
    type ShardSummary,
    subtractResources,
    WorkClass,
} from "@tanagerlink/model";
import { type LimitGate, type Placement, ShardPolicy } from "@tanagerlink/policy";
import type { Subscription, Timers } from "@tanagerlink/timers";
import type { TraceCell, TraceJob } from "./trace.ts";

/** Time that a preempted task needs to save its progress. */
const CHECKPOINT_DURATION_MILLISECONDS = 200;

/** Delay until a worker reports the true usage of a task. */
const USAGE_REPORT_DELAY_MILLISECONDS = 5_000;

const MAXIMUM_PLACEMENTS_PER_ROUND = 256;

const POLICY_SETTINGS: PolicySettings = {
    urgentReserve: 0.03,
    agingSeconds: 600,
    workerFailureLimit: 5,
    jobFailureLimit: 3,
};

/** A start of a task on a worker. */
export interface StartRecord {
    readonly job: TraceJob;
    readonly task: number;
    readonly waitedMilliseconds: number;
    /** Whether the task was started before and then preempted. */
    readonly isRestart: boolean;
}

interface RunningTask {
    readonly job: TraceJob;
    readonly task: number;
    readonly worker: string;
    readonly startedAt: number;
    readonly endTimer: Subscription | undefined;
}

/** Counts the running units of each team over the whole cell against the team's upper limit. */
export class CellLimits {
    private readonly limits: ReadonlyMap<string, number>;
    private readonly usedUnits = new Map<string, number>();

    constructor(cell: TraceCell) {
        this.limits = new Map(Object.entries(cell.teams).map(([team, { upperLimit }]) => [team, upperLimit]));
    }

    createGate(): LimitGate {
        return {
            acquire: (team, units) => {
                const next = (this.usedUnits.get(team) ?? 0) + units;
                if (next > (this.limits.get(team) ?? 0)) {
                    return false;
                }
                this.usedUnits.set(team, next);
                return true;
            },
            release: (team, units) => this.release(team, units),
        };
    }

    release(team: string, units: number): void {
        this.usedUnits.set(team, (this.usedUnits.get(team) ?? 0) - units);
    }
}

/** One failure domain with one shard. */
export class ReplayShard {
    readonly shard: string;
    readonly starts: StartRecord[] = [];
    readonly violations: string[] = [];
    available = true;
    /** Number of tasks that completed without being cancelled or preempted, by job. */
    readonly endedTasks = new Map<string, number>();
    private readonly policy = new ShardPolicy(POLICY_SETTINGS);
    private readonly timers: Timers;
    private readonly limits: CellLimits;
    private readonly capacityByWorker = new Map<string, Resources>();
    private readonly usageByWorker = new Map<string, Resources>();
    private readonly runningTasks = new Map<string, RunningTask>();
    /** Run time that preempted tasks saved, by `<job>.<task>`. */
    private readonly savedMilliseconds = new Map<string, number>();
    private readonly jobs = new Map<string, TraceJob>();
    private isRoundPending = false;

    constructor(failureDomain: string, cell: TraceCell, timers: Timers, limits: CellLimits) {
        this.shard = `${failureDomain}/0`;
        this.timers = timers;
        this.limits = limits;
        this.policy.setTeamShares(new Map(Object.entries(cell.teams).map(([team, { share }]) => [team, share])));
        for (const [group, workers] of cell.workers.filter(line => line.failureDomain === failureDomain).entries()) {
            for (let index = 0; index < workers.count; index++) {
                const id = `${failureDomain}-${group}-${index}`;
                this.capacityByWorker.set(id, workers.capacity);
                this.policy.addWorker({ id, rack: `rack-${index % workers.racks}`, capacity: workers.capacity });
            }
        }
    }

    get capacity(): Resources {
        return this.policy.totalCapacity();
    }

    usage(): Resources {
        return [...this.usageByWorker.values()].reduce(addResources, noResources);
    }

    waitingTaskCount(): number {
        return this.policy.waitingTaskCount();
    }

    submit(job: TraceJob): void {
        this.jobs.set(job.id, job);
        this.policy.addJob({
            id: job.id,
            name: job.name,
            team: job.team,
            queue: job.queue,
            workClass: job.workClass,
            size: job.size,
            runSeconds: job.declaredSeconds,
            allAtOnce: job.allAtOnce,
            preemptible: job.idempotent,
            waitingTasks: Array.from({ length: job.tasks }, (_, index) => index),
            waitingSince: this.timers.now(),
        });
        this.requestRound();
    }

    cancel(id: string): void {
        this.policy.removeJob(id);
        for (const runningTask of [...this.runningTasks.values()].filter(({ job }) => job.id === id)) {
            this.endTask(runningTask, undefined);
        }
        this.jobs.delete(id);
        this.requestRound();
    }

    setAvailable(available: boolean): void {
        this.available = available;
        this.capacityByWorker.forEach((_capacity, worker) => this.policy.setWorkerAvailable(worker, available));
        this.requestRound();
    }

    summary(): ShardSummary {
        const free = this.policy.freeResources();
        const largest = this.policy.largestWorkerCapacity();
        return {
            shard: this.shard,
            owner: this.shard,
            epoch: 1,
            ready: true,
            freeProcessorMillis: free.processorMillis,
            freeMemoryMebibytes: free.memoryMebibytes,
            freeAccelerators: free.accelerators,
            largestProcessorMillis: largest.processorMillis,
            largestMemoryMebibytes: largest.memoryMebibytes,
            largestAccelerators: largest.accelerators,
            capacity: this.capacity,
            queuedTasks: this.policy.waitingTaskCount(),
            waiting: this.policy.waitingResources(),
            services: [],
            teams: [],
        };
    }

    /** Schedules a round of the policy; further requests until then are combined with it. */
    requestRound(): void {
        if (this.isRoundPending) {
            return;
        }
        this.isRoundPending = true;
        this.timers.after(1, () => {
            this.isRoundPending = false;
            this.runRound();
        });
    }

    private runRound(): void {
        const result = this.policy.runRound(this.timers.now(), this.limits.createGate(), MAXIMUM_PLACEMENTS_PER_ROUND);
        for (const { job, task } of result.preemptions) {
            const runningTask = this.runningTasks.get(`${job}.${task}`);
            if (runningTask !== undefined) {
                this.timers.after(CHECKPOINT_DURATION_MILLISECONDS, () => this.completePreemption(runningTask));
            }
        }
        result.placements.forEach(placement => this.startTask(placement));
        if (result.placements.length >= MAXIMUM_PLACEMENTS_PER_ROUND || result.preemptions.length > 0) {
            this.requestRound();
        }
    }

    private startTask({ job: id, task, worker }: Placement): void {
        const job = this.jobs.get(id);
        const capacity = this.capacityByWorker.get(worker);
        const key = `${id}.${task}`;
        if (job === undefined || capacity === undefined) {
            this.violations.push(`start of task ${key} on worker ${worker}, one of which is unknown`);
            return;
        }
        if (this.runningTasks.has(key)) {
            this.violations.push(`task ${key} started while it was running`);
        }
        if (!this.available) {
            this.violations.push(`task ${key} started in ${this.shard}, which is out of service`);
        }
        const used = addResources(this.usageByWorker.get(worker) ?? noResources, job.size);
        if (!fitsInto(used, capacity)) {
            this.violations.push(`worker ${worker} overcommitted by task ${key}`);
        }
        this.usageByWorker.set(worker, used);
        const savedMilliseconds = this.savedMilliseconds.get(key);
        const remaining = job.trueSeconds === undefined
            ? undefined
            : job.trueSeconds * 1_000 - (savedMilliseconds ?? 0);
        const runningTask: RunningTask = {
            job,
            task,
            worker,
            startedAt: this.timers.now(),
            endTimer: remaining === undefined
                ? undefined
                : this.timers.after(Math.max(1, remaining), () => this.endTask(runningTask, job.trueSeconds)),
        };
        this.runningTasks.set(key, runningTask);
        const waitedMilliseconds = this.timers.now() - job.at;
        this.starts.push({ job, task, waitedMilliseconds, isRestart: savedMilliseconds !== undefined });
        if (job.trueSize !== undefined) {
            const usage = job.trueSize;
            this.timers.after(USAGE_REPORT_DELAY_MILLISECONDS, () => this.policy.recordTaskUsage(id, task, usage));
        }
    }

    private completePreemption(runningTask: RunningTask): void {
        const key = `${runningTask.job.id}.${runningTask.task}`;
        if (this.runningTasks.get(key) !== runningTask) {
            return;
        }
        if (runningTask.job.workClass !== WorkClass.Batch || !runningTask.job.idempotent) {
            this.violations.push(`task ${key} was preempted, but is not preemptible`);
        }
        this.savedMilliseconds.set(
            key,
            (this.savedMilliseconds.get(key) ?? 0) + this.timers.now() - runningTask.startedAt,
        );
        this.endTask(runningTask, undefined);
        this.policy.requeueTasks(runningTask.job.id, [runningTask.task]);
        this.requestRound();
    }

    private endTask(runningTask: RunningTask, runSeconds: number | undefined): void {
        const key = `${runningTask.job.id}.${runningTask.task}`;
        if (this.runningTasks.get(key) !== runningTask) {
            return;
        }
        runningTask.endTimer?.[Symbol.dispose]();
        this.runningTasks.delete(key);
        this.usageByWorker.set(
            runningTask.worker,
            subtractResources(this.usageByWorker.get(runningTask.worker) ?? noResources, runningTask.job.size),
        );
        this.limits.release(runningTask.job.team, 1);
        this.policy.recordTaskEnd(runningTask.job.id, runningTask.task, runSeconds);
        if (runSeconds !== undefined) {
            this.endedTasks.set(runningTask.job.id, (this.endedTasks.get(runningTask.job.id) ?? 0) + 1);
        }
        this.requestRound();
    }
}
