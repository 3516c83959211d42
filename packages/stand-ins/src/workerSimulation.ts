/**
 * One simulated worker: epochs, boot identifier, leases and running tasks. It accepts a start that exceeds its
 * capacity and records it, so that tests detect the overcommit, which a refusal would hide.
 */
import type { Resources } from "@tanagerlink/model";
import {
    type HeartbeatHold,
    type HeartbeatRequest,
    type TaskAttempt,
    type TaskStart,
    type WorkerCapabilities,
    type WorkerReport,
    type WorkerTask,
    WorkerTaskState,
} from "@tanagerlink/targets";
import type { Subscription, Timers } from "@tanagerlink/timers";
import { randomUUID } from "node:crypto";
import { HeldAnswers, WorkerChange } from "./heldAnswers.ts";
import { readBehaviour, type TaskBehaviour } from "./workerProtocol.ts";
import type { AttemptRecord, WorkerRecord } from "./workerRecord.ts";

export const allCapabilities: WorkerCapabilities = {
    fencing: true,
    deduplication: true,
    listing: true,
    leaseTimer: true,
};

const MAXIMUM_STORED_REPORT_TIMES = 1_000;

/** Fault switches of one worker. */
export interface WorkerFaults {
    /** Connections are closed before the call has an effect. */
    unreachable: boolean;
    /** Calls are accepted, have no effect and are never answered. */
    silent: boolean;
    /** Number of subsequent calls that take effect, but whose connection is closed without an answer. */
    loseAnswers: number;
    /** Delay between the effect of a call and its answer. */
    slowMilliseconds: number;
    /** Every task fails on start with exit code 1. */
    failEverything: boolean;
}

/** Refusal of a call by the worker, as the answer body contains it. */
export interface WorkerRefusal {
    readonly error: "stale_epoch" | "stale_boot" | "lease_over";
    readonly epoch: number;
    readonly message: string;
}

export interface WorkerOptions {
    readonly id: string;
    readonly capacity: Resources;
    readonly capabilities?: Partial<WorkerCapabilities>;
    /** Whether the worker can hold the answers to heartbeats; `true` by default. */
    readonly holds?: boolean;
}

/** State that all workers of one stand-in share. */
export interface SharedWorkerState {
    readonly timers: Timers;
    readonly record: WorkerRecord;
    /** Run time in milliseconds that checkpoints saved, by `<job>.<task>`. */
    readonly progress: Map<string, number>;
    readonly defaultRunMilliseconds: number | undefined;
}

interface TaskRun {
    readonly key: string;
    readonly start: TaskStart;
    readonly behaviour: TaskBehaviour;
    readonly record: AttemptRecord;
    state: WorkerTaskState;
    exitCode: number | undefined;
    throttled: boolean;
    leaseEnd: number;
    acknowledged: boolean;
    runTimer: Subscription | undefined;
    leaseTimer: Subscription | undefined;
}

function attemptKey(attempt: TaskAttempt): string {
    return `${attempt.job}.${attempt.task}.${attempt.attempt}`;
}

/** State machine of one worker. Methods return a refusal where the worker refuses the call. */
export class SimulatedWorker {
    readonly id: string;
    readonly capabilities: WorkerCapabilities;
    readonly faults: WorkerFaults = {
        unreachable: false,
        silent: false,
        loseAnswers: 0,
        slowMilliseconds: 0,
        failEverything: false,
    };
    readonly holds: boolean;
    bootId: string = randomUUID();
    epoch = 0;
    private sequence = 0;
    /** Creation times of the latest reports, by sequence. Leases start at these times. */
    private readonly reportTimes = new Map<number, number>();
    private readonly sharedState: SharedWorkerState;
    private readonly runs = new Map<string, TaskRun>();
    private readonly heldAnswers = new HeldAnswers();
    private isLeaving = false;
    private currentCapacity: Resources;

    constructor(options: WorkerOptions, sharedState: SharedWorkerState) {
        this.id = options.id;
        this.currentCapacity = options.capacity;
        this.capabilities = { ...allCapabilities, ...options.capabilities };
        this.holds = options.holds ?? true;
        this.sharedState = sharedState;
    }

    get capacity(): Resources {
        return this.currentCapacity;
    }

    set capacity(capacity: Resources) {
        this.currentCapacity = capacity;
        this.heldAnswers.recordChange(WorkerChange.State, this.sequence);
    }

    get leaving(): boolean {
        return this.isLeaving;
    }

    set leaving(leaving: boolean) {
        this.isLeaving = leaving;
        this.heldAnswers.recordChange(WorkerChange.State, this.sequence);
    }

    /** Number of tasks that are running. */
    runningCount(): number {
        return [...this.runs.values()].filter(run => run.state === WorkerTaskState.Running).length;
    }

    /** Restarts the worker with a new boot identifier; the epoch, the tasks and the known attempts are lost. */
    restart(): void {
        for (const run of this.runs.values()) {
            this.finishRun(run, WorkerTaskState.Stopped, undefined, "lost");
        }
        this.runs.clear();
        this.epoch = 0;
        this.reportTimes.clear();
        this.bootId = randomUUID();
        this.heldAnswers.recordChange(WorkerChange.Restart, 0);
    }

    attach(epoch: number): WorkerReport | WorkerRefusal {
        const refusal = this.checkEpoch(epoch);
        this.heldAnswers.recordChange(WorkerChange.Call, this.sequence);
        return refusal ?? this.createReport();
    }

    heartbeat(request: HeartbeatRequest): WorkerReport | WorkerRefusal {
        return this.renew(request) ?? this.createReport();
    }

    /** Handles a heartbeat as a long poll; calls `onAccepted` when the heartbeat is accepted and its answer is held. */
    async heldHeartbeat(
        request: HeartbeatRequest,
        hold: HeartbeatHold,
        onAccepted: () => void,
    ): Promise<WorkerReport | WorkerRefusal> {
        const refusal = this.renew(request);
        if (refusal !== undefined) {
            return refusal;
        }
        onAccepted();
        await this.heldAnswers.waitUntilDue(this.sharedState.timers, hold, request.lastReport);
        return this.checkEpoch(request.epoch) ?? this.checkBoot(request.bootId) ?? this.createReport();
    }

    /** Ends the hold of heartbeats. */
    release(epoch: number, bootId: string): WorkerRefusal | undefined {
        const refusal = this.checkEpoch(epoch) ?? this.checkBoot(bootId);
        this.heldAnswers.recordChange(WorkerChange.Call, this.sequence);
        return refusal;
    }

    private renew(request: HeartbeatRequest): WorkerRefusal | undefined {
        const refusal = this.checkEpoch(request.epoch) ?? this.checkBoot(request.bootId);
        this.heldAnswers.recordChange(WorkerChange.Call, this.sequence);
        if (refusal !== undefined) {
            return refusal;
        }
        for (const attempt of request.renew) {
            const run = this.runs.get(attemptKey(attempt));
            // An expired lease is never renewed, even if its timer has not fired yet.
            if (run !== undefined && run.leaseEnd > this.now()) {
                run.leaseEnd = Math.max(run.leaseEnd, this.leaseEndOf(request.lastReport, run.start.leaseMilliseconds));
            }
        }
        for (const attempt of request.acknowledge) {
            const run = this.runs.get(attemptKey(attempt));
            if (run !== undefined && run.state !== WorkerTaskState.Running) {
                run.acknowledged = true;
            }
        }
        return undefined;
    }

    start(start: TaskStart): WorkerTask | WorkerRefusal {
        const refusal = this.checkEpoch(start.epoch) ?? this.checkBoot(start.bootId) ?? this.checkLease(start);
        if (refusal !== undefined) {
            return refusal;
        }
        const key = attemptKey(start);
        const existing = this.runs.get(key);
        if (existing !== undefined) {
            this.sharedState.record.repeatedStarts++;
            if (this.capabilities.deduplication) {
                return describeRun(existing);
            }
        }
        return describeRun(this.startRun(existing === undefined ? key : `${key}#${randomUUID()}`, start));
    }

    stop(epoch: number, attempt: TaskAttempt): WorkerRefusal | undefined {
        return this.checkEpoch(epoch) ?? this.stopRun(attempt, false);
    }

    checkpoint(epoch: number, attempt: TaskAttempt): WorkerRefusal | undefined {
        return this.checkEpoch(epoch) ?? this.stopRun(attempt, true);
    }

    throttle(epoch: number, attempt: TaskAttempt): WorkerRefusal | undefined {
        const refusal = this.checkEpoch(epoch);
        const run = this.runs.get(attemptKey(attempt));
        if (refusal === undefined && run !== undefined) {
            run.throttled = true;
            run.record.throttled = true;
            this.heldAnswers.recordChange(WorkerChange.Usage, this.sequence);
        }
        return refusal;
    }

    private now(): number {
        return this.sharedState.timers.now();
    }

    /** Refuses a call with a stale epoch, if the worker supports fencing; otherwise adopts a higher epoch. */
    private checkEpoch(epoch: number): WorkerRefusal | undefined {
        if (!this.capabilities.fencing || epoch >= this.epoch) {
            this.epoch = Math.max(epoch, this.epoch);
            return undefined;
        }
        this.sharedState.record.staleEpochRefusals++;
        return { error: "stale_epoch", epoch: this.epoch, message: `epoch ${epoch} is lower than ${this.epoch}` };
    }

    private checkBoot(bootId: string): WorkerRefusal | undefined {
        if (bootId === this.bootId) {
            return undefined;
        }
        this.sharedState.record.staleBootRefusals++;
        return { error: "stale_boot", epoch: this.epoch, message: `the worker runs under boot id ${this.bootId}` };
    }

    /** Refuses a start whose lease expired before it arrived, because its owner already regards the task as ended. */
    private checkLease(start: TaskStart): WorkerRefusal | undefined {
        if (this.leaseEndOf(start.lastReport, start.leaseMilliseconds) > this.now()) {
            return undefined;
        }
        return { error: "lease_over", epoch: this.epoch, message: "the lease of the start expired before it arrived" };
    }

    private leaseEndOf(lastReport: number, leaseMilliseconds: number): number {
        return (this.reportTimes.get(lastReport) ?? Number.NEGATIVE_INFINITY) + leaseMilliseconds;
    }

    private startRun(key: string, start: TaskStart): TaskRun {
        const { timers, record, progress, defaultRunMilliseconds } = this.sharedState;
        const now = this.now();
        const run: TaskRun = {
            key,
            start,
            behaviour: readBehaviour(start.payload, defaultRunMilliseconds),
            record: record.recordStart(this.id, this.bootId, this.capacity, start, now),
            state: WorkerTaskState.Running,
            exitCode: undefined,
            throttled: false,
            leaseEnd: this.leaseEndOf(start.lastReport, start.leaseMilliseconds),
            acknowledged: false,
            runTimer: undefined,
            leaseTimer: undefined,
        };
        this.runs.set(key, run);
        if (this.faults.failEverything) {
            this.finishRun(run, WorkerTaskState.Failed, 1);
            return run;
        }
        const { runMilliseconds, exitCode } = run.behaviour;
        if (runMilliseconds !== undefined) {
            const remaining = runMilliseconds - (progress.get(`${start.job}.${start.task}`) ?? 0);
            const endState = exitCode === 0 ? WorkerTaskState.Succeeded : WorkerTaskState.Failed;
            run.runTimer = timers.after(Math.max(0, remaining), () => this.finishRun(run, endState, exitCode));
        }
        if (this.capabilities.leaseTimer) {
            this.startLeaseTimer(run);
        }
        return run;
    }

    private startLeaseTimer(run: TaskRun): void {
        const remaining = run.leaseEnd - this.now();
        if (remaining <= 0) {
            this.finishRun(run, WorkerTaskState.LeaseExpired, undefined);
            return;
        }
        run.leaseTimer = this.sharedState.timers.after(remaining, () => {
            if (run.state === WorkerTaskState.Running) {
                this.startLeaseTimer(run);
            }
        });
    }

    private stopRun(attempt: TaskAttempt, savesProgress: boolean): undefined {
        const run = this.runs.get(attemptKey(attempt));
        if (run === undefined || run.state !== WorkerTaskState.Running) {
            return undefined;
        }
        if (savesProgress) {
            const key = `${attempt.job}.${attempt.task}`;
            const { progress } = this.sharedState;
            progress.set(key, (progress.get(key) ?? 0) + this.now() - run.record.startedAt);
        }
        this.finishRun(run, WorkerTaskState.Stopped, undefined);
        return undefined;
    }

    private finishRun(run: TaskRun, state: WorkerTaskState, exitCode: number | undefined, end?: "lost"): void {
        if (run.state !== WorkerTaskState.Running) {
            return;
        }
        run.state = state;
        run.exitCode = exitCode;
        run.runTimer?.[Symbol.dispose]();
        run.leaseTimer?.[Symbol.dispose]();
        this.sharedState.record.recordEnd(run.record, end ?? state, this.now());
        this.heldAnswers.recordChange(WorkerChange.State, this.sequence);
    }

    private createReport(): WorkerReport {
        this.sequence++;
        this.reportTimes.set(this.sequence, this.now());
        this.reportTimes.delete(this.sequence - MAXIMUM_STORED_REPORT_TIMES);
        const listed = this.capabilities.listing ? [...this.runs.values()].filter(run => !run.acknowledged) : [];
        return {
            worker: this.id,
            bootId: this.bootId,
            epoch: this.epoch,
            sequence: this.sequence,
            capacity: this.capacity,
            capabilities: this.capabilities,
            leaving: this.leaving,
            ...(this.holds ? { holds: true } : {}),
            tasks: listed.map(describeRun),
        };
    }
}

function describeRun(run: TaskRun): WorkerTask {
    const { job, task, attempt, team, size } = run.start;
    const usage = run.throttled ? size : run.behaviour.usage;
    return { job, task, attempt, team, size, state: run.state, usage, exitCode: run.exitCode };
}
