/**
 * The session with one worker: attaches under the shard's epoch, then sends heartbeats, which renew task leases and
 * return reports. If the worker supports long polls, it holds its response until something changes, which saves
 * messages. One asynchronous loop per worker runs until the session is disposed.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import type { VmRecord } from "@tanagerlink/model";
import type { HeldCall, TaskAttempt, WorkerClient, WorkerReport, WorkerTask } from "@tanagerlink/targets";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";

/** Callbacks of a session to its shard: queries and notifications of events. All of them are synchronous. */
export interface WorkerSessionHost {
    /** Attempts on this worker whose leases are to be renewed. */
    attemptsToRenew(worker: string): readonly TaskAttempt[];
    /** The first report under this epoch and boot identifier, which contains everything that runs on the worker. */
    onWorkerAttached(session: WorkerSession, report: WorkerReport): void;
    onWorkerReport(session: WorkerSession, report: WorkerReport): void;
    /** The worker has restarted: nothing that ran under `previousBootId` is running any more. */
    onWorkerRestarted(session: WorkerSession, previousBootId: string): void;
    onWorkerUnreachable(session: WorkerSession, error: ServiceError): void;
    /** Time until the next heartbeat to a responsive worker, in milliseconds; at most the heartbeat period. */
    heartbeatDelayMilliseconds(worker: string): number;
    /** Time for which the worker may hold its response to a heartbeat, in milliseconds; 0 for an immediate response. */
    holdMilliseconds(worker: string): number;
    /** The worker accepted the epoch in a request sent at `sentAt`. */
    onEpochAccepted(worker: string, sentAt: number): void;
    onEpochRejected(worker: string, error: ServiceError): void;
}

/** State of one worker in the diagnostic dump. */
export interface WorkerSessionState {
    readonly worker: string;
    readonly attached: boolean;
    readonly bootId: string | undefined;
    readonly leaving: boolean;
    readonly lastContactAt: number | undefined;
}

/** Bounds the size of a heartbeat. */
const MAXIMUM_ACKNOWLEDGEMENTS_PER_HEARTBEAT = 500;

/** Pause after a held heartbeat; bounds the rate of reports of a worker whose state changes constantly. */
const HELD_HEARTBEAT_PAUSE_MILLISECONDS = 250;

/** Maximum backoff between attempts to reach an unresponsive worker, in heartbeat periods. */
const MAXIMUM_BACKOFF_PERIODS = 5;

/** Session with one worker of an owned shard. */
export class WorkerSession implements AsyncDisposable {
    readonly client: WorkerClient;
    vm: VmRecord;
    bootId: string | undefined;
    attached = false;
    leaving = false;
    lastReport: WorkerReport | undefined;
    /** Monotonic time at which the last report was received. */
    lastContactAt: number | undefined;
    /** Monotonic time of the last response or keep-alive; later than the last report while a heartbeat is held. */
    lastResponseAt: number | undefined;
    /** Monotonic time at which the request that returned the last report was sent. */
    lastReportRequestedAt = 0;
    /** Sequence number of the last report received; the worker measures renewed leases from the time of that report. */
    reportSequence = 0;

    /** Running tasks of the last report that the shard does not track, and therefore stops. */
    orphanedTasks: readonly WorkerTask[] = [];

    private readonly epoch: number;
    private readonly shard: string;
    private readonly host: WorkerSessionHost;
    private readonly timers: Timers;
    private readonly periodMilliseconds: number;
    private readonly acknowledgements: TaskAttempt[] = [];
    private readonly closingController = new AbortController();
    private pauseController = new AbortController();
    private heldCallController: AbortController | undefined;
    private isReleasing = false;
    private consecutiveFailures = 0;
    private orphanStopSentAt = Number.NEGATIVE_INFINITY;
    private loop: Promise<void> = Promise.resolve();

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

    start(): void {
        this.loop = this.run();
    }

    /** Queues an ended attempt for acknowledgement with the next heartbeat. */
    acknowledge(attempt: TaskAttempt): void {
        this.acknowledgements.push(attempt);
    }

    /** Stops the orphaned tasks, at most once per heartbeat period since a stop takes time. */
    stopOrphanedTasks(): void {
        if (this.orphanedTasks.length === 0 || this.timers.now() < this.orphanStopSentAt + this.periodMilliseconds) {
            return;
        }
        this.orphanStopSentAt = this.timers.now();
        const stops = this.orphanedTasks.map(task => this.client.stop(this.epoch, task));
        void Promise.all(stops).then(() => this.sendHeartbeatNow());
    }

    /** Sends the next heartbeat immediately instead of at the end of the period. */
    sendHeartbeatNow(): void {
        this.pauseController.abort();
        void this.releaseHeldHeartbeat();
    }

    /** Whether the worker holds a heartbeat. */
    get hasHeldHeartbeat(): boolean {
        return this.heldCallController !== undefined;
    }

    /**
     * Requests the response to the heartbeat that the worker holds. If this fails, the held call is aborted, so that
     * the next heartbeat is sent in any case.
     */
    async releaseHeldHeartbeat(): Promise<void> {
        const { heldCallController, bootId } = this;
        if (heldCallController === undefined || bootId === undefined || this.isReleasing) {
            return;
        }
        this.isReleasing = true;
        const sentAt = this.timers.now();
        const result = await this.client.releaseHeartbeat(this.epoch, bootId);
        this.isReleasing = false;
        if (result.isErr()) {
            heldCallController.abort();
        }
        else if (!this.closingController.signal.aborted) {
            this.host.onEpochAccepted(this.client.id, sentAt);
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
        this.closingController.abort();
        this.pauseController.abort();
        this.heldCallController?.abort();
        await this.loop;
    }

    private async run(): Promise<void> {
        while (!this.closingController.signal.aborted) {
            this.pauseController = new AbortController();
            await this.requestReport();
            await this.waitForNextRequest();
        }
    }

    private async requestReport(): Promise<void> {
        const sentAt = this.timers.now();
        const acknowledged = this.acknowledgements.splice(0, MAXIMUM_ACKNOWLEDGEMENTS_PER_HEARTBEAT);
        const result = this.attached && this.bootId !== undefined
            ? await this.heartbeat(this.bootId, acknowledged, sentAt)
            : await this.client.attach(this.shard, this.epoch);
        if (this.closingController.signal.aborted) {
            return;
        }
        if (result.isErr()) {
            this.acknowledgements.push(...acknowledged);
            this.handleFailure(result.error);
        }
        else {
            this.handleReport(result.value, sentAt);
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
        const holdMilliseconds = this.lastReport?.holds === true ? this.host.holdMilliseconds(this.client.id) : 0;
        if (holdMilliseconds <= 0) {
            return await this.client.heartbeat(request);
        }
        const heldCallController = new AbortController();
        this.heldCallController = heldCallController;
        const hold = { milliseconds: holdMilliseconds, periodMilliseconds: this.periodMilliseconds };
        const result = await this.client.heartbeat(
            { ...request, hold },
            this.createHeldCall(heldCallController.signal, sentAt),
        );
        this.heldCallController = undefined;
        return result;
    }

    /** The first keep-alive confirms the epoch: a worker that rejects the epoch responds with an error instead. */
    private createHeldCall(signal: AbortSignal, sentAt: number): HeldCall {
        let isAccepted = false;
        return {
            signal,
            onProgress: () => {
                this.lastResponseAt = this.timers.now();
                if (!isAccepted && !this.closingController.signal.aborted) {
                    isAccepted = true;
                    this.host.onEpochAccepted(this.client.id, sentAt);
                }
            },
        };
    }

    private handleReport(report: WorkerReport, sentAt: number): void {
        this.consecutiveFailures = 0;
        this.lastContactAt = this.timers.now();
        this.lastResponseAt = this.lastContactAt;
        if (this.bootId !== undefined && this.bootId !== report.bootId) {
            this.host.onWorkerRestarted(this, this.bootId);
            this.attached = false;
        }
        const isFirstReport = !this.attached;
        this.bootId = report.bootId;
        this.reportSequence = report.sequence;
        this.lastReportRequestedAt = sentAt;
        this.leaving = this.leaving || report.leaving;
        this.lastReport = report;
        this.attached = true;
        this.host.onEpochAccepted(this.client.id, sentAt);
        if (isFirstReport) {
            this.host.onWorkerAttached(this, report);
        }
        else {
            this.host.onWorkerReport(this, report);
        }
    }

    private handleFailure(error: ServiceError): void {
        if (error.kind === ErrorKind.StaleEpoch) {
            this.host.onEpochRejected(this.client.id, error);
            return;
        }
        if (error.kind === ErrorKind.StaleBoot) {
            // The next request attaches again and detects the restart by the new boot identifier.
            this.attached = false;
            this.sendHeartbeatNow();
            return;
        }
        this.consecutiveFailures++;
        this.host.onWorkerUnreachable(this, error);
    }

    private async waitForNextRequest(): Promise<void> {
        if (this.closingController.signal.aborted) {
            return;
        }
        const delayPeriods = Math.min(MAXIMUM_BACKOFF_PERIODS, Math.max(1, this.consecutiveFailures));
        const delay = delayPeriods > 1 || !this.attached
            ? this.periodMilliseconds * delayPeriods
            : this.host.heartbeatDelayMilliseconds(this.client.id);
        const isHoldExpected = this.consecutiveFailures === 0 && this.lastReport?.holds === true
            && this.host.holdMilliseconds(this.client.id) > 0;
        await sleep(
            this.timers,
            isHoldExpected ? Math.min(delay, HELD_HEARTBEAT_PAUSE_MILLISECONDS) : delay,
            this.pauseController.signal,
        );
    }
}
