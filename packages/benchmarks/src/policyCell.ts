/** Simulates the workers, running tasks and time of a cell for a policy under measurement, in steps of 1 ms. */
import type { Resources, WorkClass } from "@tanagerlink/model";
import type { LimitGate, Placement, RoundResult, WaitingJob } from "@tanagerlink/policy";
import { performance } from "node:perf_hooks";
import type { BenchmarkedPolicy } from "./policyBaselines.ts";
import { createWorkers, type Random } from "./policyWorkload.ts";

/** A running task. */
export interface RunningTask {
    readonly job: WaitingJob;
    readonly task: number;
    readonly worker: string;
    readonly startedAt: number;
    readonly waitedMilliseconds: number;
    readonly workClass: WorkClass;
    /** False if the task was restarted after a preemption or the loss of its worker. */
    readonly isFirstStart: boolean;
}

export interface SimulatedCellOptions {
    readonly workers: number;
    readonly random: Random;
    /** Time until a preempted task has stopped. */
    readonly stopDelayMilliseconds?: () => number;
    /** Called for each start, restarts included. */
    readonly onTaskStarted?: (task: RunningTask) => void;
    /** Called when a task has completed, not when it was preempted or lost. */
    readonly onTaskEnded?: (task: RunningTask) => void;
}

interface SimulationEvent {
    readonly at: number;
    readonly action: () => void;
}

const unlimitedGate: LimitGate = { acquire: () => true, release: () => {} };

export class SimulatedCell {
    now = 0;
    readonly policy: BenchmarkedPolicy;
    readonly runningTasks = new Map<string, RunningTask>();
    readonly capacity: Resources;
    /** Wall-clock duration of the last scheduling round. */
    lastRoundMilliseconds = 0;
    preemptionCount = 0;
    private readonly options: SimulatedCellOptions;
    private readonly jobs = new Map<string, WaitingJob>();
    private readonly waitingSince = new Map<string, number>();
    private readonly runMillisecondsByJob = new Map<string, number>();
    private readonly startedTasks = new Set<string>();
    private readonly firstStartCounts = new Map<WorkClass, number>();
    /** Pending events by the millisecond at which they are due. */
    private readonly eventsByTime = new Map<number, SimulationEvent[]>();

    constructor(policy: BenchmarkedPolicy, options: SimulatedCellOptions) {
        this.policy = policy;
        this.options = options;
        const workers = createWorkers(options.workers);
        workers.forEach(worker => policy.addWorker(worker));
        this.capacity = workers.reduce((sum, { capacity }) => ({
            processorMillis: sum.processorMillis + capacity.processorMillis,
            memoryMebibytes: sum.memoryMebibytes + capacity.memoryMebibytes,
            accelerators: sum.accelerators + capacity.accelerators,
        }), { processorMillis: 0, memoryMebibytes: 0, accelerators: 0 });
    }

    /** Adds a job whose tasks run for `runMilliseconds`, or until `endTask` is called if that is `Infinity`. */
    submit(job: WaitingJob, runMilliseconds: number): void {
        this.jobs.set(job.id, job);
        this.runMillisecondsByJob.set(job.id, runMilliseconds);
        this.waitingSince.set(job.id, this.now);
        this.policy.addJob(job);
    }

    cancel(job: string): void {
        this.policy.removeJob(job);
        this.jobs.delete(job);
    }

    scheduleEvent(delayMilliseconds: number, action: () => void): void {
        const at = Math.ceil(this.now + Math.max(1, delayMilliseconds));
        const events = this.eventsByTime.get(at) ?? [];
        events.push({ at, action });
        this.eventsByTime.set(at, events);
    }

    /** Advances the time and runs due events, without a scheduling round. */
    advance(milliseconds: number): void {
        for (const end = this.now + milliseconds; this.now < end;) {
            this.now++;
            const due = this.eventsByTime.get(this.now);
            if (due !== undefined) {
                this.eventsByTime.delete(this.now);
                due.forEach(event => event.action());
            }
        }
    }

    runRound(maximumPlacements = 1_000): RoundResult {
        const before = performance.now();
        const result = this.policy.runRound(this.now, unlimitedGate, maximumPlacements);
        this.lastRoundMilliseconds = performance.now() - before;
        result.placements.forEach(placement => this.startTask(placement));
        for (const { job, task } of result.preemptions) {
            this.preemptionCount++;
            this.scheduleEvent(this.options.stopDelayMilliseconds?.() ?? 0, () => this.stopTask(`${job}.${task}`));
        }
        return result;
    }

    /** Whether the job was not cancelled and its first task has not started yet. */
    isWaiting(job: string): boolean {
        return this.jobs.has(job) && !this.startedTasks.has(`${job}.0`);
    }

    /** Number of tasks of a work class that have started; restarts are not counted. */
    startedTaskCount(workClass: WorkClass): number {
        return this.firstStartCounts.get(workClass) ?? 0;
    }

    /** Completes a running task. */
    endTask(key: string): void {
        const task = this.runningTasks.get(key);
        if (task === undefined) {
            return;
        }
        this.runningTasks.delete(key);
        this.policy.recordTaskEnd(task.job.id, task.task, (this.now - task.startedAt) / 1_000);
        this.removeIfFinished(task.job);
        this.options.onTaskEnded?.(task);
    }

    /** Stops a running task before its completion and requeues it. */
    stopTask(key: string): void {
        const task = this.runningTasks.get(key);
        if (task !== undefined) {
            this.runningTasks.delete(key);
            this.waitingSince.set(key, this.now);
            this.policy.recordTaskEnd(task.job.id, task.task, undefined);
            this.policy.requeueTasks(task.job.id, [task.task]);
        }
    }

    /** Makes workers unavailable and requeues their tasks. */
    disableWorkers(workers: ReadonlySet<string>): void {
        workers.forEach(worker => this.policy.setWorkerAvailable(worker, false));
        for (const [key, task] of this.runningTasks) {
            if (workers.has(task.worker)) {
                this.stopTask(key);
            }
        }
    }

    enableWorker(worker: string): void {
        this.policy.setWorkerAvailable(worker, true);
    }

    /** Returns the fraction of each resource that is in use. */
    utilization(): Resources {
        let processorMillis = 0;
        let memoryMebibytes = 0;
        let accelerators = 0;
        for (const { job: { size } } of this.runningTasks.values()) {
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

    private startTask(placement: Placement): void {
        const key = `${placement.job}.${placement.task}`;
        const job = this.jobs.get(placement.job)!;
        const waitingSince = this.waitingSince.get(key) ?? this.waitingSince.get(job.id) ?? this.now;
        const task: RunningTask = {
            job,
            task: placement.task,
            worker: placement.worker,
            startedAt: this.now,
            waitedMilliseconds: this.now - waitingSince,
            workClass: job.workClass,
            isFirstStart: !this.startedTasks.has(key),
        };
        if (task.isFirstStart) {
            this.firstStartCounts.set(task.workClass, this.startedTaskCount(task.workClass) + 1);
        }
        this.startedTasks.add(key);
        this.runningTasks.set(key, task);
        const runMilliseconds = this.runMillisecondsByJob.get(job.id)!;
        if (runMilliseconds !== Infinity) {
            this.scheduleEvent(runMilliseconds, () => {
                if (this.runningTasks.get(key) === task) {
                    this.endTask(key);
                }
            });
        }
        this.options.onTaskStarted?.(task);
    }

    private removeIfFinished(job: WaitingJob): void {
        if (job.waitingTasks.length === 1) {
            this.policy.removeJob(job.id);
            this.jobs.delete(job.id);
            this.waitingSince.delete(job.id);
            this.waitingSince.delete(`${job.id}.0`);
            this.runMillisecondsByJob.delete(job.id);
            this.startedTasks.delete(`${job.id}.0`);
        }
    }
}
