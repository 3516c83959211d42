/** Interface of the clients of workers. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Resources } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** Optional capabilities of a worker; docs/design.md, section 4, describes what replaces a missing one. */
export interface WorkerCapabilities {
    readonly fencing: boolean;
    readonly deduplication: boolean;
    readonly listing: boolean;
    readonly leaseTimer: boolean;
}

export const WorkerTaskState = {
    Running: "running",
    Succeeded: "succeeded",
    Failed: "failed",
    Stopped: "stopped",
    LeaseExpired: "lease_expired",
} as const;
export type WorkerTaskState = (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

/** One task as reported by a worker. */
export interface WorkerTask {
    readonly job: string;
    readonly task: number;
    readonly attempt: number;
    readonly team: string;
    readonly size: Resources;
    readonly state: WorkerTaskState;
    /** Observed usage, which lags behind. */
    readonly usage: Resources | undefined;
    readonly exitCode: number | undefined;
}

/** State of a worker; the answer to `attach` and to `heartbeat`. */
export interface WorkerReport {
    readonly worker: string;
    readonly bootId: string;
    readonly epoch: number;
    /** Increases with each report under one boot identifier. Leases run from a report that the owner has received. */
    readonly sequence: number;
    readonly capacity: Resources;
    readonly capabilities: WorkerCapabilities;
    readonly leaving: boolean;
    /** Whether the worker can hold back the answer to a heartbeat until something changes, see `HeartbeatHold`. */
    readonly holds?: boolean | undefined;
    /** All running tasks, and ended tasks that are not acknowledged yet. */
    readonly tasks: readonly WorkerTask[];
}

export interface TaskStart {
    readonly epoch: number;
    readonly bootId: string;
    readonly job: string;
    readonly task: number;
    readonly attempt: number;
    readonly team: string;
    readonly size: Resources;
    readonly leaseMilliseconds: number;
    /**
     * Sequence number of the last report that the owner received. The worker counts the lease from the moment at which
     * it sent that report, which is before the start was sent. The lease of a start that is delivered late therefore
     * cannot outlast the owner's count.
     */
    readonly lastReport: number;
    readonly payload: string;
}

/** Identifies one attempt of one task. */
export interface TaskAttempt {
    readonly job: string;
    readonly task: number;
    readonly attempt: number;
}

export interface HeartbeatRequest {
    readonly epoch: number;
    readonly bootId: string;
    /** Sequence number of the last report that the owner received; renewed leases run from the moment it was sent. */
    readonly lastReport: number;
    /** Attempts whose leases are renewed. */
    readonly renew: readonly TaskAttempt[];
    /** Ended attempts whose result the owner has recorded; the worker may discard them. */
    readonly acknowledge: readonly TaskAttempt[];
    /** Absent if the worker must answer at once. */
    readonly hold?: HeartbeatHold;
}

/**
 * Long poll: permits the worker to hold back the answer. The worker answers as soon as a task has ended, the worker
 * begins to leave or another call requests the answer, and at the latest after `milliseconds`. Until then it sends a
 * space every `periodMilliseconds` before the JSON, so that the caller detects a worker that is gone. If only the usage
 * has changed, it answers after `periodMilliseconds`.
 */
export interface HeartbeatHold {
    readonly milliseconds: number;
    readonly periodMilliseconds: number;
}

/** The caller's controls of a heartbeat whose answer is held back. */
export interface HeldCall {
    /** Called when the worker has accepted the heartbeat, and for each part of the answer received afterwards. */
    readonly onProgress: () => void;
    /** Ends the call, with an unknown outcome. */
    readonly signal: AbortSignal;
}

/**
 * Client of one worker. Errors: `target_unreachable` if the call certainly had no effect, `outcome_unknown` if it may
 * have had one; `stale_epoch` (with the higher epoch as detail `epoch`), `stale_boot` and `target_refused` if the
 * worker refused it.
 */
export interface WorkerClient {
    readonly id: string;
    /** Attaches the worker to the owner of the shard under the epoch, and returns its report. */
    attach(shard: string, epoch: number): Promise<Result<WorkerReport, ServiceError>>;
    /** `held` is given with a request that has `hold`. */
    heartbeat(request: HeartbeatRequest, held?: HeldCall): Promise<Result<WorkerReport, ServiceError>>;
    /** Makes a worker answer a held heartbeat now. Only for workers that report that they can hold heartbeats. */
    releaseHeartbeat(epoch: number, bootId: string): Promise<Result<void, ServiceError>>;
    /** Returns the state of the attempt. A repeated start of the same attempt does not run it again. */
    start(start: TaskStart): Promise<Result<WorkerTask, ServiceError>>;
    stop(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>>;
    /** Saves progress, then stops; the next attempt continues from it. */
    checkpoint(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>>;
    /** Limits the usage of a task to its declared size. */
    throttle(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>>;
}

/** Creates clients of workers; their calls have a deadline and use a bounded number of connections. */
export interface WorkerClientFactory extends AsyncDisposable {
    client(id: string, address: string): WorkerClient;
    /** Closes the connections to a target that was removed, once its running calls have ended. */
    release?(id: string): void;
}
