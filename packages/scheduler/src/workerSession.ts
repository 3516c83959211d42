/**
 * The conversation with one worker: attach under the shard's epoch, then heartbeats that renew task leases and bring
 * back reports. A worker that can do so holds the answer until something changes, so that an unchanged one costs few
 * messages. One asynchronous task per worker, from `run` until the session is disposed.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import type { HeldCall, TaskAttempt, WorkerClient, WorkerReport, WorkerTask } from "@tanagerlink/targets";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";

/** What the session asks of the shard and tells it. All calls are synchronous. */
export interface WorkerSessionHost {
    /** Attempts on this worker whose leases are to be renewed. */
    attemptsToRenew(worker: string): readonly TaskAttempt[];
    /** The first report under this epoch and boot identifier. Everything that runs on the worker is in it. */
    workerAttached(session: WorkerSession, report: WorkerReport): void;
    workerReported(session: WorkerSession, report: WorkerReport): void;
    /** The worker was restarted: nothing that ran under `bootId` runs any more. */
    workerRestarted(session: WorkerSession, bootId: string): void;
    workerUnreachable(session: WorkerSession, error: ServiceError): void;
    /** Time until the next exchange with a worker that answers, in milliseconds; at most the heartbeat period. */
    exchangeDelay(worker: string): number;
    /** Time for which the worker may hold the answer to a heartbeat, in milliseconds; 0 when it must answer at once. */
    holdMilliseconds(worker: string): number;
    /** The worker accepted the epoch in a request sent at `sentAt`. */
    epochAccepted(worker: string, sentAt: number): void;
    epochRefused(worker: string, error: ServiceError): void;
}

/** State of one worker as the dump shows it. */
export interface WorkerSessionState {
    readonly worker: string;
    readonly attached: boolean;
    readonly bootId: string | undefined;
    readonly leaving: boolean;
    readonly lastContactAt: number | undefined;
}

/** Upper bound of acknowledgements in one heartbeat, which bounds the size of the message. */
const ACKNOWLEDGEMENTS_PER_HEARTBEAT = 500;

/** Pause after a held heartbeat: bounds the reports of a worker whose state changes all the time. */
const HELD_PAUSE_MILLISECONDS = 250;

/** Waiting time between attempts to reach a worker that does not answer, in heartbeat periods, at most. */
const MAXIMUM_BACKOFF_PERIODS = 5;

/** One worker of an owned shard. */
export class WorkerSession implements AsyncDisposable {
    readonly client: WorkerClient;
    vm: VmRecord;
    bootId: string | undefined;
    attached = false;
    leaving = false;
    lastReport: WorkerReport | undefined;
    /** Monotonic time at which the last report was received. */
    lastContactAt: number | undefined;
    /** Monotonic time of the last sign of life, which is later than the last report while a heartbeat is held. */
    lastHeardAt: number | undefined;
    /** Monotonic time at which the exchange that brought the last report was sent. */
    lastExchangeSentAt = 0;
    /** Sequence of the last report received, which tells the worker from when its leases count. */
    reportSequence = 0;

    /** Running tasks of the last report that belong to no active task of the shard; they are being stopped. */
    foreignTasks: readonly WorkerTask[] = [];

    private readonly epoch: number;
    private readonly shard: string;
    private readonly host: WorkerSessionHost;
    private readonly timers: Timers;
    private readonly periodMilliseconds: number;
    private readonly acknowledgements: TaskAttempt[] = [];
    private readonly closing = new AbortController();
    private wake = new AbortController();
    private held: AbortController | undefined;
    private isReleasing = false;
    private failures = 0;
    private foreignStopSentAt = Number.NEGATIVE_INFINITY;
    private finished: Promise<void> = Promise.resolve();

    constructor(options: {
        readonly client: WorkerClient;
        readonly vm: VmRecord;
        readonly shard: string;
        readonly epoch: number;
        readonly host: WorkerSessionHost;
        readonly timers: Timers;
        readonly periodMilliseconds: number;
    }) {
        this.client = options.client;
        this.vm = options.vm;
        this.shard = options.shard;
        this.epoch = options.epoch;
        this.host = options.host;
        this.timers = options.timers;
        this.periodMilliseconds = options.periodMilliseconds;
    }

    /** Begins the conversation. */
    start(): void {
        this.finished = this.run();
    }

    /** Queues an ended attempt for acknowledgement with the next heartbeat. */
    acknowledge(attempt: TaskAttempt): void {
        this.acknowledgements.push(attempt);
    }

    /** Stops the foreign tasks, at most once in a heartbeat period since a stop takes time. */
    stopForeignTasks(): void {
        if (this.foreignTasks.length === 0 || this.timers.now() < this.foreignStopSentAt + this.periodMilliseconds) {
            return;
        }
        this.foreignStopSentAt = this.timers.now();
        const stops = this.foreignTasks.map(task => this.client.stop(this.epoch, task));
        void Promise.all(stops).then(() => this.hurry());
    }

    /** Sends the next heartbeat at once instead of at the end of the period. */
    hurry(): void {
        this.wake.abort();
        void this.release();
    }

    /** Whether the worker holds a heartbeat. */
    get isHeld(): boolean {
        return this.held !== undefined;
    }

    /**
     * Makes the worker answer the heartbeat that it holds. If it can't be told, the call is given up, so that the next
     * heartbeat is sent in any case.
     */
    async release(): Promise<void> {
        const { held, bootId } = this;
        if (held === undefined || bootId === undefined || this.isReleasing) {
            return;
        }
        this.isReleasing = true;
        const sentAt = this.timers.now();
        const result = await this.client.release(this.epoch, bootId);
        this.isReleasing = false;
        if (result.isErr()) {
            held.abort();
        }
        else if (!this.closing.signal.aborted) {
            this.host.epochAccepted(this.client.id, sentAt);
        }
    }

    state(): WorkerSessionState {
        return {
            worker: this.client.id,
            attached: this.attached,
            bootId: this.bootId,
            leaving: this.leaving,
            lastContactAt: this.lastContactAt,
        };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closing.abort();
        this.wake.abort();
        this.held?.abort();
        await this.finished;
    }

    private async run(): Promise<void> {
        while (!this.closing.signal.aborted) {
            this.wake = new AbortController();
            await this.exchange();
            await this.pause();
        }
    }

    private async exchange(): Promise<void> {
        const sentAt = this.timers.now();
        const acknowledged = this.acknowledgements.splice(0, ACKNOWLEDGEMENTS_PER_HEARTBEAT);
        const result = this.attached && this.bootId !== undefined
            ? await this.heartbeat(this.bootId, acknowledged, sentAt)
            : await this.client.attach(this.shard, this.epoch);
        if (this.closing.signal.aborted) {
            return;
        }
        if (result.isErr()) {
            this.acknowledgements.push(...acknowledged);
            this.failed(result.error);
        }
        else {
            this.succeeded(result.value, sentAt);
        }
    }

    private async heartbeat(
        bootId: string,
        acknowledge: readonly TaskAttempt[],
        sentAt: number,
    ): Promise<Result<WorkerReport, ServiceError>> {
        const request = {
            epoch: this.epoch,
            bootId,
            lastReport: this.reportSequence,
            renew: this.host.attemptsToRenew(this.client.id),
            acknowledge,
        };
        const milliseconds = this.lastReport?.holds === true ? this.host.holdMilliseconds(this.client.id) : 0;
        if (milliseconds <= 0) {
            return await this.client.heartbeat(request);
        }
        const held = new AbortController();
        this.held = held;
        const hold = { milliseconds, periodMilliseconds: this.periodMilliseconds };
        const result = await this.client.heartbeat({ ...request, hold }, this.heldCall(held.signal, sentAt));
        this.held = undefined;
        return result;
    }

    /** The first sign of life says that the worker has accepted the epoch; it refuses before that. */
    private heldCall(signal: AbortSignal, sentAt: number): HeldCall {
        let isAccepted = false;
        return {
            signal,
            alive: () => {
                this.lastHeardAt = this.timers.now();
                if (!isAccepted && !this.closing.signal.aborted) {
                    isAccepted = true;
                    this.host.epochAccepted(this.client.id, sentAt);
                }
            },
        };
    }

    private succeeded(report: WorkerReport, sentAt: number): void {
        this.failures = 0;
        this.lastContactAt = this.timers.now();
        this.lastHeardAt = this.lastContactAt;
        if (this.bootId !== undefined && this.bootId !== report.bootId) {
            this.host.workerRestarted(this, this.bootId);
            this.attached = false;
        }
        const first = !this.attached;
        this.bootId = report.bootId;
        this.reportSequence = report.sequence;
        this.lastExchangeSentAt = sentAt;
        this.leaving = this.leaving || report.leaving;
        this.lastReport = report;
        this.attached = true;
        this.host.epochAccepted(this.client.id, sentAt);
        if (first) {
            this.host.workerAttached(this, report);
        }
        else {
            this.host.workerReported(this, report);
        }
    }

    private failed(error: ServiceError): void {
        if (error.kind === ErrorKind.StaleEpoch) {
            this.host.epochRefused(this.client.id, error);
            return;
        }
        if (error.kind === ErrorKind.StaleBoot) {
            // The next exchange attaches again and reports the restart with the new boot identifier.
            this.attached = false;
            this.hurry();
            return;
        }
        this.failures++;
        this.host.workerUnreachable(this, error);
    }

    private async pause(): Promise<void> {
        if (this.closing.signal.aborted) {
            return;
        }
        const periods = Math.min(MAXIMUM_BACKOFF_PERIODS, Math.max(1, this.failures));
        const delay = periods > 1 || !this.attached
            ? this.periodMilliseconds * periods
            : this.host.exchangeDelay(this.client.id);
        const holds = this.failures === 0 && this.lastReport?.holds === true
            && this.host.holdMilliseconds(this.client.id) > 0;
        await sleep(this.timers, holds ? Math.min(delay, HELD_PAUSE_MILLISECONDS) : delay, this.wake.signal);
    }
}
