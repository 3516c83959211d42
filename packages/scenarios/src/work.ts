/** What callers sent and what they were told. Checks compare it with the records of the stand-ins. */

/** What one try of a caller came to. */
export const TryEnd = {
    /** Complete answer with a status below 300. */
    Answered: "answered",
    /** Complete answer that names an error. */
    Refused: "refused",
    /** The connection could not be opened; the process has never seen the call. */
    NotConnected: "not connected",
    /** The connection broke before the answer was complete. */
    Broken: "broken",
    /** No answer within the caller's patience. */
    Unanswered: "unanswered",
} as const;
export type TryEnd = (typeof TryEnd)[keyof typeof TryEnd];

/** One call of a caller. */
export interface Try {
    /** Header `x-reference` of a request; the reference of its job otherwise. */
    readonly reference: string;
    readonly entry: string;
    readonly sentAt: number;
    endedAt?: number;
    end?: TryEnd;
    status?: number;
    /** Error kind and outcome of a refusal. */
    error?: string;
    outcome?: string;
    /** Whether the body of an answered request equals what was sent. */
    whole?: boolean;
}

/** One job or one request with its repetitions. */
export interface WorkItem {
    readonly kind: "job" | "request";
    readonly as: string;
    readonly reference: string;
    readonly team: string;
    readonly key: string;
    readonly idempotent: boolean;
    readonly tasks: number;
    readonly tries: Try[];
    /** Identifier that the job got when it was accepted. */
    job?: string;
    /** Monotonic time of the first try to cancel the job, in milliseconds. */
    cancelSentAt?: number;
    /** Monotonic time of the answer to the cancellation of the job, in milliseconds. */
    cancelledAt?: number;
}

/** Work of one run. */
export class WorkLog {
    readonly items: WorkItem[] = [];
    private count = 0;

    begin(item: Omit<WorkItem, "reference" | "tries">): WorkItem {
        this.count++;
        const begun: WorkItem = { ...item, reference: `${item.as}-${this.count}`, tries: [] };
        this.items.push(begun);
        return begun;
    }

    named(as: string): WorkItem[] {
        return this.items.filter(item => item.as === as);
    }
}

/** Whether a caller was told that the item was accepted, or got its answer. */
export function isAnswered(item: WorkItem): boolean {
    return item.tries.some(each => each.end === TryEnd.Answered);
}
