/**
 * One failure domain of a replay: the real policy, workers that run tasks for their true run time, and a record of each
 * start and end that does not pass through the policy.
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

/** Time that a preempted task needs to save its progress, in milliseconds. */
const CHECKPOINT_MILLISECONDS = 200;

/** Delay after which a worker's report shows the true use of a task, in milliseconds. */
const USAGE_LAG_MILLISECONDS = 5_000;

const PLACEMENTS_PER_ROUND = 256;

const SETTINGS: PolicySettings = { urgentReserve: 0.03, agingSeconds: 600, workerFailureLimit: 5, jobFailureLimit: 3 };

/** A start as the workers saw it. */
export interface StartRecord {
    readonly job: TraceJob;
    readonly task: number;
    readonly waitedMilliseconds: number;
    /** A repetition after a preemption. */
    readonly again: boolean;
}

interface RunningRecord {
    readonly job: TraceJob;
    readonly task: number;
    readonly worker: string;
    readonly startedAt: number;
    readonly end: Subscription | undefined;
}

/** Units of the teams' limits over the whole cell. */
export class CellLimits {
    private readonly limits: ReadonlyMap<string, number>;
    private readonly used = new Map<string, number>();

    constructor(cell: TraceCell) {
        this.limits = new Map(Object.entries(cell.teams).map(([team, { upperLimit }]) => [team, upperLimit]));
    }

    gate(): LimitGate {
        return {
            acquire: (team, units) => {
                const next = (this.used.get(team) ?? 0) + units;
                if (next > (this.limits.get(team) ?? 0)) {
                    return false;
                }
                this.used.set(team, next);
                return true;
            },
            release: (team, units) => this.giveBack(team, units),
        };
    }

    giveBack(team: string, units: number): void {
        this.used.set(team, (this.used.get(team) ?? 0) - units);
    }
}

/** One failure domain with one shard. */
export class ReplayShard {
    readonly shard: string;
    readonly starts: StartRecord[] = [];
    readonly violations: string[] = [];
    available = true;
    /** Tasks that ended by themselves, by job. */
    readonly ended = new Map<string, number>();
    private readonly policy = new ShardPolicy(SETTINGS);
    private readonly timers: Timers;
    private readonly limits: CellLimits;
    private readonly capacities = new Map<string, Resources>();
    private readonly used = new Map<string, Resources>();
    private readonly running = new Map<string, RunningRecord>();
    private readonly progress = new Map<string, number>();
    private readonly jobs = new Map<string, TraceJob>();
    private roundPending = false;

    constructor(failureDomain: string, cell: TraceCell, timers: Timers, limits: CellLimits) {
        this.shard = `${failureDomain}/0`;
        this.timers = timers;
        this.limits = limits;
        this.policy.setTeamShares(new Map(Object.entries(cell.teams).map(([team, { share }]) => [team, share])));
        for (const [group, workers] of cell.workers.filter(line => line.failureDomain === failureDomain).entries()) {
            for (let index = 0; index < workers.count; index++) {
                const id = `${failureDomain}-${group}-${index}`;
                this.capacities.set(id, workers.capacity);
                this.policy.addWorker({ id, rack: `rack-${index % workers.racks}`, capacity: workers.capacity });
            }
        }
    }

    get capacity(): Resources {
        return this.policy.totalCapacity();
    }

    usage(): Resources {
        return [...this.used.values()].reduce(addResources, noResources);
    }

    waitingTasks(): number {
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
        for (const record of [...this.running.values()].filter(({ job }) => job.id === id)) {
            this.end(record, undefined);
        }
        this.jobs.delete(id);
        this.requestRound();
    }

    setAvailable(available: boolean): void {
        this.available = available;
        this.capacities.forEach((_capacity, worker) => this.policy.setWorkerAvailable(worker, available));
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

    /** Runs the policy soon; calls until then are served by the same round. */
    requestRound(): void {
        if (this.roundPending) {
            return;
        }
        this.roundPending = true;
        this.timers.after(1, () => {
            this.roundPending = false;
            this.round();
        });
    }

    private round(): void {
        const result = this.policy.runRound(this.timers.now(), this.limits.gate(), PLACEMENTS_PER_ROUND);
        for (const { job, task } of result.preemptions) {
            const record = this.running.get(`${job}.${task}`);
            if (record !== undefined) {
                this.timers.after(CHECKPOINT_MILLISECONDS, () => this.preempted(record));
            }
        }
        result.placements.forEach(placement => this.start(placement));
        if (result.placements.length >= PLACEMENTS_PER_ROUND || result.preemptions.length > 0) {
            this.requestRound();
        }
    }

    private start({ job: id, task, worker }: Placement): void {
        const job = this.jobs.get(id);
        const capacity = this.capacities.get(worker);
        const key = `${id}.${task}`;
        if (job === undefined || capacity === undefined) {
            this.violations.push(`start of unknown ${key} on ${worker}`);
            return;
        }
        if (this.running.has(key)) {
            this.violations.push(`${key} started while it runs`);
        }
        if (!this.available) {
            this.violations.push(`${key} started in ${this.shard}, which is taken out`);
        }
        const used = addResources(this.used.get(worker) ?? noResources, job.size);
        if (!fitsInto(used, capacity)) {
            this.violations.push(`${worker} overcommitted by ${key}`);
        }
        this.used.set(worker, used);
        const done = this.progress.get(key);
        const remaining = job.trueSeconds === undefined ? undefined : job.trueSeconds * 1_000 - (done ?? 0);
        const record: RunningRecord = {
            job,
            task,
            worker,
            startedAt: this.timers.now(),
            end: remaining === undefined
                ? undefined
                : this.timers.after(Math.max(1, remaining), () => this.end(record, job.trueSeconds)),
        };
        this.running.set(key, record);
        const waitedMilliseconds = this.timers.now() - job.at;
        this.starts.push({ job, task, waitedMilliseconds, again: done !== undefined });
        if (job.trueSize !== undefined) {
            const usage = job.trueSize;
            this.timers.after(USAGE_LAG_MILLISECONDS, () => this.policy.recordTaskUsage(id, task, usage));
        }
    }

    private preempted(record: RunningRecord): void {
        const key = `${record.job.id}.${record.task}`;
        if (this.running.get(key) !== record) {
            return;
        }
        if (record.job.workClass !== WorkClass.Batch || !record.job.idempotent) {
            this.violations.push(`${key} was preempted although it may not be`);
        }
        this.progress.set(key, (this.progress.get(key) ?? 0) + this.timers.now() - record.startedAt);
        this.end(record, undefined);
        this.policy.requeueTasks(record.job.id, [record.task]);
        this.requestRound();
    }

    private end(record: RunningRecord, ranSeconds: number | undefined): void {
        const key = `${record.job.id}.${record.task}`;
        if (this.running.get(key) !== record) {
            return;
        }
        record.end?.[Symbol.dispose]();
        this.running.delete(key);
        this.used.set(
            record.worker,
            subtractResources(this.used.get(record.worker) ?? noResources, record.job.size),
        );
        this.limits.giveBack(record.job.team, 1);
        this.policy.recordTaskEnd(record.job.id, record.task, ranSeconds);
        if (ranSeconds !== undefined) {
            this.ended.set(record.job.id, (this.ended.get(record.job.id) ?? 0) + 1);
        }
        this.requestRound();
    }
}
