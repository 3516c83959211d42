/** What a session with a worker needs from the owner of the cell. */
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { Attempt, EndKind } from "@tanagerlink/workflow";
import type { RunningReport, WorkerEntry, WorkerPort } from "./workerPort.ts";
import type { WorkerSession } from "./workerSession.ts";

/** What the session tells the owner, and asks of it. */
export interface SessionOwner {
    readonly epoch: number;
    attemptEnded(attempt: Attempt, kind: EndKind, checkpoint: string): void;
    /** The worker runs something that the records do not have there. */
    strayAttempt(session: WorkerSession, report: RunningReport): void;
    reported(session: WorkerSession): void;
    /** Resolves when all that is known has been stored; false when this process no longer owns the cell. */
    stored(): Promise<boolean>;
    /** Whether leases may be renewed, which needs a recent confirmation of ownership. */
    mayRenewLeases(): boolean;
    /** Time after which nothing that an earlier owner started runs on a worker that never answered. */
    earlierLeasesLapseAt(): number;
    suspectDeposed(): void;
    /** A worker has refused the ticket of a start. */
    ticketRefused(attempt: Attempt): void;
}

export interface SessionOptions {
    readonly entry: WorkerEntry;
    readonly owner: SessionOwner;
    readonly port: WorkerPort;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Longest lease that a worker grants. */
    readonly leaseMilliseconds: number;
    /** Time that a stop takes at most. */
    readonly stopMilliseconds: number;
}
