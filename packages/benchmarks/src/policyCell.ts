/** A simulated cell: workers, running tasks and time, around a policy under measurement. Time exists only in steps. */
import type { Resources, WorkClass } from "@tanagerlink/model";
import type { LimitGate, Placement, RoundResult, WaitingJob } from "@tanagerlink/policy";
import { performance } from "node:perf_hooks";
import type { BenchmarkedPolicy } from "./policyBaselines.ts";
import { makeWorkers, type Random } from "./policyWorkload.ts";

/** A task that runs in the cell. */
export interface CellTask {
    readonly job: WaitingJob;
    readonly task: number;
    readonly worker: string;
    readonly startedAt: number;
    readonly waited: number;
    readonly workClass: WorkClass;
    /** Whether it is the first start of the task; later ones follow a preemption or the loss of a worker. */
    readonly first: boolean;
}

export interface CellOptions {
    readonly workers: number;
    readonly random: Random;
    /** Milliseconds until a preempted task has stopped. */
    readonly stopDelay?: () => number;
    /** Called for each start. */
    readonly onStart?: (task: CellTask) => void;
    /** Called after a task has ended by itself. */
    readonly onEnd?: (task: CellTask) => void;
}

interface Event {
    readonly at: number;
    readonly action: () => void;
}

const noLimits: LimitGate = { acquire: () => true, release: () => {} };

/** Cell with one policy. */
export class SimulatedCell {
    now = 0;
    readonly policy: BenchmarkedPolicy;
    readonly running = new Map<string, CellTask>();
    readonly capacity: Resources;
    /** Wall-clock milliseconds of the last round. */
    lastRoundMilliseconds = 0;
    preemptions = 0;
    private readonly options: CellOptions;
    private readonly jobs = new Map<string, WaitingJob>();
    private readonly waitingSince = new Map<string, number>();
    private readonly runMilliseconds = new Map<string, number>();
    private readonly started = new Set<string>();
    private readonly starts = new Map<WorkClass, number>();
    /** Events by the millisecond at which they fall due. */
    private readonly events = new Map<number, Event[]>();

    constructor(policy: BenchmarkedPolicy, options: CellOptions) {
        this.policy = policy;
        this.options = options;
        const workers = makeWorkers(options.workers);
        workers.forEach(worker => policy.addWorker(worker));
        this.capacity = workers.reduce((sum, { capacity }) => ({
            processorMillis: sum.processorMillis + capacity.processorMillis,
            memoryMebibytes: sum.memoryMebibytes + capacity.memoryMebibytes,
            accelerators: sum.accelerators + capacity.accelerators,
        }), { processorMillis: 0, memoryMebibytes: 0, accelerators: 0 });
    }

    /** Adds a job whose tasks run for `runMilliseconds`, or until they are ended when that is `Infinity`. */
    submit(job: WaitingJob, runMilliseconds: number): void {
        this.jobs.set(job.id, job);
        this.runMilliseconds.set(job.id, runMilliseconds);
        this.waitingSince.set(job.id, this.now);
        this.policy.addJob(job);
    }

    cancel(job: string): void {
        this.policy.removeJob(job);
        this.jobs.delete(job);
    }

    at(delay: number, action: () => void): void {
        const at = Math.ceil(this.now + Math.max(1, delay));
        const events = this.events.get(at) ?? [];
        events.push({ at, action });
        this.events.set(at, events);
    }

    /** Moves time on without a round. */
    advance(milliseconds: number): void {
        for (const end = this.now + milliseconds; this.now < end;) {
            this.now++;
            const due = this.events.get(this.now);
            if (due !== undefined) {
                this.events.delete(this.now);
                due.forEach(event => event.action());
            }
        }
    }

    round(maximumPlacements = 1_000): RoundResult {
        const before = performance.now();
        const result = this.policy.runRound(this.now, noLimits, maximumPlacements);
        this.lastRoundMilliseconds = performance.now() - before;
        result.placements.forEach(placement => this.start(placement));
        for (const { job, task } of result.preemptions) {
            this.preemptions++;
            this.at(this.options.stopDelay?.() ?? 0, () => this.stop(`${job}.${task}`));
        }
        return result;
    }

    /** Whether no task of the job has started yet. */
    waits(job: string): boolean {
        return this.jobs.has(job) && !this.started.has(`${job}.0`);
    }

    /** Starts of tasks of a class, without repeated ones. */
    startedOf(workClass: WorkClass): number {
        return this.starts.get(workClass) ?? 0;
    }

    /** Ends a running task by itself. */
    end(key: string): void {
        const task = this.running.get(key);
        if (task === undefined) {
            return;
        }
        this.running.delete(key);
        this.policy.recordTaskEnd(task.job.id, task.task, (this.now - task.startedAt) / 1_000);
        this.forgetIfDone(task.job);
        this.options.onEnd?.(task);
    }

    /** Stops a running task before its end; it waits again. */
    stop(key: string): void {
        const task = this.running.get(key);
        if (task !== undefined) {
            this.running.delete(key);
            this.waitingSince.set(key, this.now);
            this.policy.recordTaskEnd(task.job.id, task.task, undefined);
            this.policy.requeueTasks(task.job.id, [task.task]);
        }
    }

    /** Takes workers away with their tasks, which wait again. */
    loseWorkers(workers: ReadonlySet<string>): void {
        workers.forEach(worker => this.policy.setWorkerAvailable(worker, false));
        for (const [key, task] of this.running) {
            if (workers.has(task.worker)) {
                this.stop(key);
            }
        }
    }

    returnWorker(worker: string): void {
        this.policy.setWorkerAvailable(worker, true);
    }

    /** Part of each resource in use. */
    utilisation(): Resources {
        let processorMillis = 0;
        let memoryMebibytes = 0;
        let accelerators = 0;
        for (const { job: { size } } of this.running.values()) {
            processorMillis += size.processorMillis;
            memoryMebibytes += size.memoryMebibytes;
            accelerators += size.accelerators;
        }
        return {
            processorMillis: processorMillis / this.capacity.processorMillis,
            memoryMebibytes: memoryMebibytes / this.capacity.memoryMebibytes,
            accelerators: accelerators / Math.max(1, this.capacity.accelerators),
        };
    }

    private start(placement: Placement): void {
        const key = `${placement.job}.${placement.task}`;
        const job = this.jobs.get(placement.job)!;
        const since = this.waitingSince.get(key) ?? this.waitingSince.get(job.id) ?? this.now;
        const task: CellTask = {
            job,
            task: placement.task,
            worker: placement.worker,
            startedAt: this.now,
            waited: this.now - since,
            workClass: job.workClass,
            first: !this.started.has(key),
        };
        if (task.first) {
            this.starts.set(task.workClass, this.startedOf(task.workClass) + 1);
        }
        this.started.add(key);
        this.running.set(key, task);
        const run = this.runMilliseconds.get(job.id)!;
        if (run !== Infinity) {
            this.at(run, () => {
                if (this.running.get(key) === task) {
                    this.end(key);
                }
            });
        }
        this.options.onStart?.(task);
    }

    private forgetIfDone(job: WaitingJob): void {
        if (job.waitingTasks.length === 1) {
            this.policy.removeJob(job.id);
            this.jobs.delete(job.id);
            this.waitingSince.delete(job.id);
            this.waitingSince.delete(`${job.id}.0`);
            this.runMilliseconds.delete(job.id);
            this.started.delete(`${job.id}.0`);
        }
    }
}
