import type { ServiceError } from "@tanagerlink/errors";
import type { Resources } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** Optional capabilities of a worker; what replaces a missing one is in docs/design.md, section 4. */
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

/** One task as a worker reports it. */
export interface WorkerTask {
    readonly job: string;
    readonly task: number;
    readonly attempt: number;
    readonly team: string;
    readonly size: Resources;
    readonly state: WorkerTaskState;
    /** Observed use; lags behind. */
    readonly usage: Resources | undefined;
    readonly exitCode: number | undefined;
}

/** State of a worker, answered to `attach` and to `heartbeat`. */
export interface WorkerReport {
    readonly worker: string;
    readonly bootId: string;
    readonly epoch: number;
    /** Rises with each report under one boot identifier. Leases are counted from a report the owner has received. */
    readonly sequence: number;
    readonly capacity: Resources;
    readonly capabilities: WorkerCapabilities;
    readonly leaving: boolean;
    /** The worker can hold the answer to a heartbeat back until something changes, see `HeartbeatHold`. */
    readonly holds?: boolean | undefined;
    /** All running tasks, and ended ones that were not acknowledged yet. */
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
     * Sequence of the last report that the owner received. The worker counts the lease from the moment it sent that
     * report, which lies before the start was sent, so a start delivered late can't outlive the owner's own count.
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
    /** Sequence of the last report that the owner received; renewed leases count from the moment it was sent. */
    readonly lastReport: number;
    /** Attempts whose leases are renewed. */
    readonly renew: readonly TaskAttempt[];
    /** Ended attempts whose result the owner has recorded; the worker may forget them. */
    readonly acknowledge: readonly TaskAttempt[];
    /** Absent when the worker is to answer at once. */
    readonly hold?: HeartbeatHold;
}

/**
 * Permission to hold the answer back. The worker answers as soon as a task has ended, the worker begins to leave, or
 * another call asks for it, and at the latest after `milliseconds`. Until then it sends a space each `periodMilliseconds`
 * before the JSON, so that its silence is noticed. A change of the usage alone is answered after `periodMilliseconds`.
 */
export interface HeartbeatHold {
    readonly milliseconds: number;
    readonly periodMilliseconds: number;
}

/** The caller's side of a heartbeat whose answer is held back. */
export interface HeldCall {
    /** The worker has accepted the heartbeat, or has shown since that it is alive. */
    readonly alive: () => void;
    /** Ends the call, with an unknown outcome. */
    readonly signal: AbortSignal;
}

/**
 * One worker. Errors: `target_unreachable` when the call certainly had no effect, `outcome_unknown` when it may have,
 * `stale_epoch` (detail `epoch`: the higher one), `stale_boot` and `target_refused` when the worker refused it.
 */
export interface WorkerClient {
    readonly id: string;
    attach(shard: string, epoch: number): Promise<Result<WorkerReport, ServiceError>>;
    /** `held` belongs to a request with `hold`. */
    heartbeat(request: HeartbeatRequest, held?: HeldCall): Promise<Result<WorkerReport, ServiceError>>;
    /** Makes a worker that holds a heartbeat answer it now. Only for workers whose report says that they hold. */
    release(epoch: number, bootId: string): Promise<Result<void, ServiceError>>;
    /** Answers with the state of the attempt. A repeated start of the same attempt is not run again. */
    start(start: TaskStart): Promise<Result<WorkerTask, ServiceError>>;
    stop(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>>;
    /** Saves progress, then stops; the next attempt continues from it. */
    checkpoint(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>>;
    /** Caps the use of a task to its declared size. */
    throttle(epoch: number, attempt: TaskAttempt): Promise<Result<void, ServiceError>>;
}

/** Makes clients; calls are bounded by a deadline and use a bounded number of connections. */
export interface WorkerClientFactory extends AsyncDisposable {
    client(id: string, address: string): WorkerClient;
    /** Closes the connections of a target that is gone, once its running calls have ended. */
    release?(id: string): void;
}
