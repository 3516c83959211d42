/** The owner's interface to workers: their entries, reports and orders. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Resources } from "@tanagerlink/model";
import type { EndKind } from "@tanagerlink/workflow";
import type { Result } from "neverthrow";

/** Boot of an entry that does not say when its worker started. */
export const UNKNOWN_BOOT = 0;

/** A worker's entry in the platform's list. */
export interface WorkerEntry {
    readonly id: string;
    /** `ip:port` */
    readonly address: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly rack: string | undefined;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    readonly leaving: boolean;
    /** Start of the worker's current incarnation, milliseconds since 1970, or `UNKNOWN_BOOT`. */
    readonly boot: number;
}

/** The worker that an order is addressed to. */
export interface WorkerTarget {
    readonly id: string;
    readonly address: string;
}

/** One live attempt in a worker's report. */
export interface RunningReport {
    readonly task: string;
    readonly attempt: number;
    readonly checkpoint: string;
    readonly percent: number;
    /** Tail latency in milliseconds for latency-sensitive tasks, thousandths of a core for others. */
    readonly load: number;
}

/** An ended attempt in a worker's report. */
export interface EndReport {
    /** Increases within one incarnation of the worker. */
    readonly number: number;
    readonly task: string;
    readonly attempt: number;
    readonly kind: EndKind;
    readonly checkpoint: string;
}

export interface WorkerReport {
    /** Reading of the worker's monotonic clock. */
    readonly clock: number;
    readonly boot: number | undefined;
    readonly running: readonly RunningReport[];
    readonly ended: readonly EndReport[];
}

/** Requests a report and renews the lease of all attempts on the worker. */
export interface ReportRequest {
    readonly fencingToken: number;
    /** Ends up to this number are stored, so that the worker may discard them. */
    readonly acknowledgedEnd: number;
    /** New end of the lease on the worker's clock; without it, the lease is not renewed. */
    readonly leaseUntil?: number;
    /** Maximum wait of the long poll for an ended attempt. */
    readonly waitMilliseconds: number;
}

export interface StartOrder {
    readonly fencingToken: number;
    readonly task: string;
    readonly attempt: number;
    readonly payload: string;
    readonly leaseUntil: number;
    readonly checkpoint: string;
    readonly ticket: string | undefined;
}

export interface AttemptOrder {
    readonly fencingToken: number;
    readonly task: string;
    readonly attempt: number;
}

/** Why a worker refused an order. A refused order has no effect. */
export const RefusalReason = {
    /** The worker has seen a higher fencing token. */
    Epoch: "epoch",
    /** An equal or higher attempt of the task has been stopped or has ended on the worker. */
    OldAttempt: "old_attempt",
    /** The lease of the order had expired on arrival. */
    LeaseExpired: "late",
    Capacity: "room",
    Ticket: "ticket",
    /** Another worker responds at the address. */
    OtherWorker: "other_worker",
    /** The worker considers itself unhealthy. */
    Unhealthy: "unhealthy",
    Malformed: "malformed",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Outcome of an order. */
export type OrderOutcome =
    | { readonly kind: "done"; readonly clock: number | undefined; }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly clock?: number | undefined; }
    /** The order has certainly not arrived. */
    | { readonly kind: "not_sent"; }
    /** No response; the order may have been executed, or may be executed later. */
    | { readonly kind: "unanswered"; };

/**
 * Calls to workers. Never throws. Errors of `requestReport`: `target_unreachable`, `target_refused`, `stale_epoch`,
 * `stale_boot`.
 */
export interface WorkerPort {
    requestReport(worker: WorkerTarget, request: ReportRequest): Promise<Result<WorkerReport, ServiceError>>;
    start(worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome>;
    stop(worker: WorkerTarget, order: AttemptOrder): Promise<OrderOutcome>;
    pace(worker: WorkerTarget, order: AttemptOrder & { readonly percent: number; }): Promise<OrderOutcome>;
    /** Closes the connections to a worker whose session is closed. */
    closeConnections(worker: string): void;
}
