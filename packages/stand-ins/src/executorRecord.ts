/**
 * Records what one simulated executor ran, independently of the system under test. Tests check the system against it.
 */

/** One execution of a request. Times are milliseconds on the monotonic clock of the stand-in. */
export interface RequestRun {
    readonly requestId: string;
    readonly team: string;
    readonly epoch: number;
    /** Header `x-reference` of the caller; empty if the header is missing. */
    readonly reference: string;
    readonly startedAt: number;
    endedAt: number | undefined;
}

/** A request that arrived while all slots were in use. */
export interface SlotViolation {
    readonly requestId: string;
    readonly epoch: number;
    readonly at: number;
    readonly running: number;
}

/** Record of one executor. */
export class ExecutorRecord {
    readonly runs: RequestRun[] = [];
    readonly slotViolations: SlotViolation[] = [];
    staleEpochRefusals = 0;
    /** Requests with an identifier that was received before; they were answered from the first run. */
    repeatedRequests = 0;
    highestRunning = 0;
    /** New requests that arrived while the executor was leaving. */
    requestsWhileLeaving = 0;
    attachCount = 0;

    /** Number of runs of the request. */
    runCountOf(requestId: string): number {
        return this.runs.filter(run => run.requestId === requestId).length;
    }
}
