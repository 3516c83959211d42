/**
 * What really happened on one simulated executor. Tests compare the product's account with it.
 */

/** One run of one request. Times are milliseconds on the monotonic clock of the stand-in. */
export interface RequestRun {
    readonly requestId: string;
    readonly team: string;
    readonly epoch: number;
    /** Header `x-reference` of the caller; empty without one. */
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
    readonly violations: SlotViolation[] = [];
    staleEpochRefusals = 0;
    /** Requests that arrived again under an identifier seen before and were not run again. */
    repeatedRequests = 0;
    highestRunning = 0;
    /** Requests that arrived after the executor had announced that it leaves. */
    arrivedWhileLeaving = 0;
    attaches = 0;

    /** Number of runs of the request. */
    runsOf(requestId: string): number {
        return this.runs.filter(run => run.requestId === requestId).length;
    }
}
