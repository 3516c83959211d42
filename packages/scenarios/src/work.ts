/** Records what callers sent and which answers they received. Checks compare this with the records of the stand-ins. */

/** Result of one call attempt of a caller. */
export const CallResult = {
    /** Complete answer with a status below 300. */
    Answered: "answered",
    /** Complete answer that names an error. */
    Refused: "refused",
    /** The connection could not be opened, so the process did not receive the call. */
    NotConnected: "not connected",
    /** The connection broke before the answer was complete. */
    Broken: "broken",
    /** No answer within the caller's timeout. */
    Unanswered: "unanswered",
} as const;
export type CallResult = (typeof CallResult)[keyof typeof CallResult];

/** One call of a caller, which may be a retry. */
export interface CallAttempt {
    /** Header `x-reference` of a request, or the reference of the job. */
    readonly reference: string;
    readonly entry: string;
    readonly sentAt: number;
    endedAt?: number;
    result?: CallResult;
    status?: number;
    /** Error kind and outcome of a refusal. */
    error?: string;
    outcome?: string;
    /** Whether the body of an answered request equals what was sent. */
    hasExpectedBody?: boolean;
}

/** One job or one request with all call attempts. */
export interface WorkItem {
    readonly kind: "job" | "request";
    /** Value of `as` in the step that created the item. */
    readonly name: string;
    readonly reference: string;
    readonly team: string;
    readonly key: string;
    readonly idempotent: boolean;
    readonly tasks: number;
    readonly attempts: CallAttempt[];
    /** Identifier that the accepted job received. */
    job?: string;
    /** Monotonic time of the first attempt to cancel the job, in milliseconds. */
    cancelSentAt?: number;
    /** Monotonic time of the answer to the cancellation of the job, in milliseconds. */
    cancelledAt?: number;
}

/** All jobs and requests of one run. */
export class WorkLog {
    readonly items: WorkItem[] = [];
    private count = 0;

    addItem(item: Omit<WorkItem, "reference" | "attempts">): WorkItem {
        this.count++;
        const added: WorkItem = { ...item, reference: `${item.name}-${this.count}`, attempts: [] };
        this.items.push(added);
        return added;
    }

    itemsNamed(name: string): WorkItem[] {
        return this.items.filter(item => item.name === name);
    }
}

/** Whether a caller received a successful answer: for a job that it was accepted, for a request its result. */
export function isAnswered(item: WorkItem): boolean {
    return item.attempts.some(each => each.result === CallResult.Answered);
}
