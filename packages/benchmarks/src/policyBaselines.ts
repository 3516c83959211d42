/**
 * Baselines of the policy benchmarks: jobs in the order of their arrival, each task on the first worker or on a random
 * worker with room. They know no shares, classes, reservations or preemption.
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
    free: Resources;
    available: boolean;
}

interface QueuedJob {
    readonly job: WaitingJob;
    tasks: number[];
}

/** Chooses a worker with room for a size. */
export type WorkerChoice = (workers: readonly BaselineWorker[], size: Resources) => BaselineWorker | undefined;

/** First worker in the order of their arrival. */
export const firstFit: WorkerChoice = (workers, size) => workers.find(worker => hasRoom(worker, size));

/** Random workers that are tried before a task is left waiting. */
const RANDOM_TRIES = 32;

/** A random worker, tried a bounded number of times. */
export function randomWorker(random: Random): WorkerChoice {
    return (workers, size) => {
        for (let attempt = 0; attempt < RANDOM_TRIES && workers.length > 0; attempt++) {
            const worker = random.pick(workers);
            if (hasRoom(worker, size)) {
                return worker;
            }
        }
        return undefined;
    };
}

function hasRoom(worker: BaselineWorker, size: Resources): boolean {
    return worker.available && fitsInto(size, worker.free);
}

/** First come, first served, with a choice of workers. */
export class BaselinePolicy implements BenchmarkedPolicy {
    private readonly choose: WorkerChoice;
    private readonly workers: BaselineWorker[] = [];
    private readonly byId = new Map<string, BaselineWorker>();
    private readonly jobs = new Map<string, WaitingJob>();
    private readonly running = new Map<string, { readonly worker: BaselineWorker; readonly size: Resources; }>();
    /** Jobs in the queue. */
    private readonly waiting = new Set<string>();
    private queue: QueuedJob[] = [];

    constructor(choose: WorkerChoice) {
        this.choose = choose;
    }

    setTeamShares(): void {
        // The baselines know no shares.
    }

    addWorker({ id, capacity }: PolicyWorker): void {
        const worker = { id, capacity, free: capacity, available: true };
        this.workers.push(worker);
        this.byId.set(id, worker);
    }

    removeWorker(id: string): void {
        this.setWorkerAvailable(id, false);
    }

    setWorkerAvailable(id: string, available: boolean): void {
        const worker = this.byId.get(id);
        if (worker !== undefined) {
            worker.available = available;
        }
    }

    addJob(job: WaitingJob): void {
        this.jobs.set(job.id, job);
        this.waiting.add(job.id);
        this.queue.push({ job, tasks: [...job.waitingTasks] });
    }

    removeJob(id: string): void {
        this.jobs.delete(id);
        if (this.waiting.delete(id)) {
            this.queue = this.queue.filter(queued => queued.job.id !== id);
        }
    }

    requeueTasks(id: string, tasks: readonly number[]): void {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            this.waiting.add(id);
            this.queue.push({ job, tasks: [...tasks] });
        }
    }

    recordTaskEnd(job: string, task: number): void {
        const key = `${job}.${task}`;
        const entry = this.running.get(key);
        if (entry !== undefined) {
            this.running.delete(key);
            entry.worker.free = subtractResources(entry.worker.free, negative(entry.size));
        }
    }

    runRound(_now: number, limits: LimitGate, maximumPlacements: number): RoundResult {
        const placements: Placement[] = [];
        const failed = new Set<string>();
        let exhausted = 0;
        for (const queued of this.queue) {
            if (placements.length >= maximumPlacements) {
                break;
            }
            const { size } = queued.job;
            const key = `${size.processorMillis}/${size.memoryMebibytes}/${size.accelerators}`;
            // A size that failed is not searched again in the round; without this the baselines would not finish.
            if (!failed.has(key) && !this.placeJob(queued, limits, placements, maximumPlacements)) {
                failed.add(key);
            }
            if (queued.tasks.length === 0) {
                this.waiting.delete(queued.job.id);
                exhausted++;
            }
        }
        if (exhausted > 0) {
            this.queue = this.queue.filter(queued => queued.tasks.length > 0);
        }
        return { placements, preemptions: [], holds: [] };
    }

    private placeJob(queued: QueuedJob, limits: LimitGate, placements: Placement[], maximum: number): boolean {
        const { job } = queued;
        const started: Placement[] = [];
        const units = job.allAtOnce ? queued.tasks.length : Math.min(queued.tasks.length, maximum - placements.length);
        for (const task of queued.tasks.slice(0, units)) {
            const worker = this.choose(this.workers, job.size);
            if (worker === undefined || !limits.acquire(job.team, 1)) {
                break;
            }
            worker.free = subtractResources(worker.free, job.size);
            this.running.set(`${job.id}.${task}`, { worker, size: job.size });
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

function negative(size: Resources): Resources {
    return {
        processorMillis: -size.processorMillis,
        memoryMebibytes: -size.memoryMebibytes,
        accelerators: -size.accelerators,
    };
}
