/** Workers as the owner sees them, and the orders that it gives them. */
import type { ServiceError } from "@tanagerlink/errors";
import type { Resources } from "@tanagerlink/model";
import type { EndKind } from "@tanagerlink/workflow";
import type { Result } from "neverthrow";

/** What a worker says of itself in the platform's list. */
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
    /** Start of this life, milliseconds since 1970. */
    readonly boot: number;
}

/** A worker that an order is meant for. */
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
    /** Tail of response times in milliseconds for tasks that serve users, thousandths of a core for others. */
    readonly load: number;
}

/** One attempt that has ended. */
export interface EndReport {
    /** Rises within one life of the worker. */
    readonly number: number;
    readonly task: string;
    readonly attempt: number;
    readonly kind: EndKind;
    readonly checkpoint: string;
}

export interface WorkerReport {
    /** The worker's own steady clock. */
    readonly clock: number;
    readonly boot: number | undefined;
    readonly running: readonly RunningReport[];
    readonly ended: readonly EndReport[];
}

/** Asks for a report and renews the lease of all that runs on the worker. */
export interface HoldOrder {
    readonly epoch: number;
    /** Ends up to this number are stored, so that the worker may forget them. */
    readonly acknowledgedEnd: number;
    /** End of the lease on the worker's clock; the lease is not renewed without it. */
    readonly leaseUntil?: number;
    /** Longest wait for an end. */
    readonly waitMilliseconds: number;
}

export interface StartOrder {
    readonly epoch: number;
    readonly task: string;
    readonly attempt: number;
    readonly payload: string;
    readonly leaseUntil: number;
    readonly checkpoint: string;
    readonly ticket: string | undefined;
}

export interface AttemptOrder {
    readonly epoch: number;
    readonly task: string;
    readonly attempt: number;
}

/** Why a worker refused an order without doing anything. */
export const RefusalReason = {
    /** It has seen a higher epoch. */
    Epoch: "epoch",
    /** A higher or equal attempt has been stopped or has ended there. */
    OldAttempt: "old_attempt",
    /** The lease of the order was over on arrival. */
    Late: "late",
    Room: "room",
    Ticket: "ticket",
    /** Another worker answers at the address. */
    OtherWorker: "other_worker",
    /** The worker considers itself unhealthy. */
    Unhealthy: "unhealthy",
    Malformed: "malformed",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Answer to an order. */
export type OrderOutcome =
    | { readonly kind: "done"; readonly clock: number | undefined; }
    | { readonly kind: "refused"; readonly reason: RefusalReason; }
    /** It certainly did not arrive. */
    | { readonly kind: "not_sent"; }
    /** It may have been carried out, or may still be. */
    | { readonly kind: "unanswered"; };

/** Calls to workers. Never throws. Errors of `hold`: `target_unreachable`, `target_refused`, `stale_epoch`, `stale_boot`. */
export interface WorkerPort {
    hold(worker: WorkerTarget, order: HoldOrder): Promise<Result<WorkerReport, ServiceError>>;
    start(worker: WorkerTarget, order: StartOrder): Promise<OrderOutcome>;
    stop(worker: WorkerTarget, order: AttemptOrder): Promise<OrderOutcome>;
    pace(worker: WorkerTarget, order: AttemptOrder & { readonly percent: number; }): Promise<OrderOutcome>;
    /** Closes the connections of a worker that is gone. */
    release(worker: string): void;
}
