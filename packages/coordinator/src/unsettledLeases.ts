/**
 * Calls with a lease to one worker that the incarnation they were meant for has not answered. A later incarnation, whose
 * clock starts anew, may execute them and then holds the longest lease that it grants.
 */

/** The platform executes a call without a response up to 12 s later. */
const LATE_EXECUTION_MILLISECONDS = 12_500;

/** One call; `sentAt` is monotonic. */
export interface LeaseCall {
    readonly sentAt: number;
}

export class UnsettledLeases {
    private readonly calls = new Set<LeaseCall>();

    record(now: number): LeaseCall {
        this.prune(now);
        const call = { sentAt: now };
        this.calls.add(call);
        return call;
    }

    /** Forgets a call that was executed by the incarnation it was meant for, or by none. */
    settle(call: LeaseCall | undefined): void {
        if (call !== undefined) {
            this.calls.delete(call);
        }
    }

    /** Whether there are calls that another incarnation than the one they were meant for may have executed, or still may. */
    hasCalls(now: number): boolean {
        this.prune(now);
        return this.calls.size > 0;
    }

    private prune(now: number): void {
        for (const call of this.calls) {
            if (now - call.sentAt > LATE_EXECUTION_MILLISECONDS) {
                this.calls.delete(call);
            }
        }
    }
}
