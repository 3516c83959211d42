/**
 * Baseline policies for the policy benchmarks: jobs are served first come, first served, and each task is placed on the
 * first worker or on a random worker with free capacity. Shares, work classes, reservations and preemption are ignored.
 */
import { fitsInto, Reason, type Resources, subtractResources } from "@tanagerlink/model";
import type {
    LimitGate,
    Placement,
    PolicyWorker,
    RoundResult,
    SchedulingPolicy,
    WaitingJob,
} from "@tanagerlink/policy";
import type { Random } from "./policyWorkload.ts";

/** The part of a policy that benchmarks use. */
export type BenchmarkedPolicy = Pick<
    SchedulingPolicy,
    | "addWorker"
    | "removeWorker"
    | "setWorkerAvailable"
    | "setTeamShares"
    | "addJob"
    | "removeJob"
    | "requeueTasks"
    | "recordTaskEnd"
    | "runRound"
>;

interface BaselineWorker {
    readonly id: string;
    readonly capacity: Resources;
    freeCapacity: Resources;
    available: boolean;
}

interface QueuedJob {
    readonly job: WaitingJob;
    tasks: number[];
}

/** Selects a worker with free capacity for a task of the given size. */
export type WorkerSelector = (workers: readonly BaselineWorker[], size: Resources) => BaselineWorker | undefined;

/** Selects the first suitable worker in the order in which workers were added. */
export const firstFit: WorkerSelector = (workers, size) => workers.find(worker => hasCapacity(worker, size));

/** Random workers that are checked before the task is left waiting. */
const MAXIMUM_RANDOM_ATTEMPTS = 32;

/** Selects a random suitable worker with a bounded number of attempts. */
export function randomWorker(random: Random): WorkerSelector {
    return (workers, size) => {
        for (let attempt = 0; attempt < MAXIMUM_RANDOM_ATTEMPTS && workers.length > 0; attempt++) {
            const worker = random.pick(workers);
            if (hasCapacity(worker, size)) {
                return worker;
            }
        }
        return undefined;
    };
}

function hasCapacity(worker: BaselineWorker, size: Resources): boolean {
    return worker.available && fitsInto(size, worker.freeCapacity);
}

/** First come, first served, with the given selection of workers. */
export class BaselinePolicy implements BenchmarkedPolicy {
    private readonly selectWorker: WorkerSelector;
    private readonly workers: BaselineWorker[] = [];
    private readonly workersById = new Map<string, BaselineWorker>();
    private readonly jobs = new Map<string, WaitingJob>();
    private readonly runningTasks = new Map<string, { readonly worker: BaselineWorker; readonly size: Resources; }>();
    private readonly queuedJobIds = new Set<string>();
    private queue: QueuedJob[] = [];

    constructor(selectWorker: WorkerSelector) {
        this.selectWorker = selectWorker;
    }

    setTeamShares(): void {
        // The baselines ignore shares.
    }

    addWorker({ id, capacity }: PolicyWorker): void {
        const worker = { id, capacity, freeCapacity: capacity, available: true };
        this.workers.push(worker);
        this.workersById.set(id, worker);
    }

    removeWorker(id: string): void {
        this.setWorkerAvailable(id, false);
    }

    setWorkerAvailable(id: string, available: boolean): void {
        const worker = this.workersById.get(id);
        if (worker !== undefined) {
            worker.available = available;
        }
    }

    addJob(job: WaitingJob): void {
        this.jobs.set(job.id, job);
        this.queuedJobIds.add(job.id);
        this.queue.push({ job, tasks: [...job.waitingTasks] });
    }

    removeJob(id: string): void {
        this.jobs.delete(id);
        if (this.queuedJobIds.delete(id)) {
            this.queue = this.queue.filter(queued => queued.job.id !== id);
        }
    }

    requeueTasks(id: string, tasks: readonly number[]): void {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            this.queuedJobIds.add(id);
            this.queue.push({ job, tasks: [...tasks] });
        }
    }

    recordTaskEnd(job: string, task: number): void {
        const key = `${job}.${task}`;
        const entry = this.runningTasks.get(key);
        if (entry !== undefined) {
            this.runningTasks.delete(key);
            entry.worker.freeCapacity = subtractResources(entry.worker.freeCapacity, negate(entry.size));
        }
    }

    runRound(_now: number, limits: LimitGate, maximumPlacements: number): RoundResult {
        const placements: Placement[] = [];
        const unplaceableSizes = new Set<string>();
        let fullyPlaced = 0;
        for (const queued of this.queue) {
            if (placements.length >= maximumPlacements) {
                break;
            }
            const { size } = queued.job;
            const key = `${size.processorMillis}/${size.memoryMebibytes}/${size.accelerators}`;
            // A size that could not be placed is skipped for the rest of the round; otherwise a round of the baselines
            // would search all workers for each waiting job and the benchmarks would not finish.
            if (!unplaceableSizes.has(key) && !this.placeJob(queued, limits, placements, maximumPlacements)) {
                unplaceableSizes.add(key);
            }
            if (queued.tasks.length === 0) {
                this.queuedJobIds.delete(queued.job.id);
                fullyPlaced++;
            }
        }
        if (fullyPlaced > 0) {
            this.queue = this.queue.filter(queued => queued.tasks.length > 0);
        }
        return { placements, preemptions: [], waitReasons: [] };
    }

    private placeJob(queued: QueuedJob, limits: LimitGate, placements: Placement[], maximum: number): boolean {
        const { job } = queued;
        const started: Placement[] = [];
        const units = job.allAtOnce ? queued.tasks.length : Math.min(queued.tasks.length, maximum - placements.length);
        for (const task of queued.tasks.slice(0, units)) {
            const worker = this.selectWorker(this.workers, job.size);
            if (worker === undefined || !limits.acquire(job.team, 1)) {
                break;
            }
            worker.freeCapacity = subtractResources(worker.freeCapacity, job.size);
            this.runningTasks.set(`${job.id}.${task}`, { worker, size: job.size });
            started.push({ job: job.id, task, worker: worker.id, reason: Reason.Placed });
        }
        if (job.allAtOnce && started.length < units) {
            started.forEach(({ task }) => this.recordTaskEnd(job.id, task));
            limits.release(job.team, started.length);
            return false;
        }
        queued.tasks = queued.tasks.slice(started.length);
        placements.push(...started);
        return started.length === units;
    }
}

function negate(size: Resources): Resources {
    return {
        processorMillis: -size.processorMillis,
        memoryMebibytes: -size.memoryMebibytes,
        accelerators: -size.accelerators,
    };
}
