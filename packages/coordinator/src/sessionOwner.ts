/** The interface between a worker session and the owner of the cell. */
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { Attempt, EndKind } from "@tanagerlink/workflow";
import type { RunningReport, WorkerEntry, WorkerPort } from "./workerPort.ts";
import type { WorkerSession } from "./workerSession.ts";

export const CrashEvidence = {
    /** Another incarnation, or another worker, answers at the address. */
    Observed: "observed",
    /** The worker was silent until its lease expired. */
    Presumed: "presumed",
} as const;
export type CrashEvidence = (typeof CrashEvidence)[keyof typeof CrashEvidence];

/** Events that a session reports to the owner, and queries that it makes. */
export interface SessionOwner {
    readonly epoch: number;
    onAttemptEnded(attempt: Attempt, kind: EndKind, checkpoint: string): void;
    /** The worker runs an attempt that the owner has not recorded on it. */
    onUnexpectedAttempt(session: WorkerSession, report: RunningReport): void;
    onReport(session: WorkerSession): void;
    /** The worker has crashed under attempts, whose ends follow. */
    onWorkerCrashed(session: WorkerSession, attempts: readonly Attempt[], evidence: CrashEvidence): void;
    /** A worker that was presumed to have crashed was only silent under the first attempts, and crashed under others. */
    onCrashSettled(survivors: readonly Attempt[], crashed: readonly Attempt[]): void;
    /** The worker is listed again, or says something else in the list than before. */
    onEntryChanged(session: WorkerSession): void;
    /** Number of workers with a session. */
    workerCount(): number;
    /** Resolves to true when all changes so far are stored, or to false when ownership is lost first. */
    waitUntilStored(): Promise<boolean>;
    /** Duration of the leases that reports renew. */
    readonly leaseMilliseconds: number;
    /**
     * Whether the worker may get a longer lease. That requires a recent renewal of the claim, and that the owner record
     * does not list the worker as unreachable.
     */
    canExtendLease(worker: string): boolean;
    /**
     * Monotonic time at which all leases of previous owners have expired on a worker that has not responded to this
     * owner.
     */
    previousLeasesExpireAt(worker: string): number;
    /** Same for the lease that the claim lists for the worker; `-Infinity` if it lists none. */
    listedLeaseExpiresAt(worker: string): number;
    /** Whether the stored owner record states that a lease on the worker lasts until then, longer than the terms say. */
    isLongerLeaseStored(worker: string, expiresAt: number): boolean;
    /** Monotonic time at which the claim on the cell was sent. */
    readonly claimedAt: number;
    /**
     * Whether previous owners may have taken an incarnation of a worker that started at this monotonic time for the one
     * before, so that it has got leases which no owner record states.
     */
    mayHaveMissedStart(startedAt: number): boolean;
    /** Checks ownership with the store after a worker has seen a higher epoch. */
    confirmOwnership(): void;
    /** The worker has rejected the ticket of a start order. */
    onTicketRejected(attempt: Attempt): void;
}

export interface SessionOptions {
    readonly entry: WorkerEntry;
    readonly owner: SessionOwner;
    readonly port: WorkerPort;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Maximum duration of a stop on a worker. */
    readonly stopMilliseconds: number;
    /** The longest leases that workers grant. */
    readonly maximumLeaseMilliseconds: number;
    /** Age of a worker's entry beyond which the worker gets nothing, since its capacity may have shrunk unseen. */
    readonly workerEntryMilliseconds: number;
}
