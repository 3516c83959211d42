/** What is known about the workers that may run one step. */
import type { HintAnswer } from "./hintService.ts";

/** A ticket is not used in the last part of its validity, since the start is still to travel and to be recorded. */
const TICKET_MARGIN_MILLISECONDS = 150;

interface HeldTicket {
    readonly ticket: string;
    /** Tickets are valid during one life of the worker. */
    readonly boot: number;
    readonly expiresAt: number;
}

/** A worker as the hints see it. */
export interface HintedWorker {
    readonly id: string;
    readonly boot: number;
}

/** Permissions, which do not change, and tickets, which run out. */
export class StepHints {
    private readonly permitted = new Set<string>();
    private readonly refused = new Set<string>();
    private readonly tickets = new Map<string, HeldTicket>();
    /** Whether a call is under way. */
    asking = false;
    /** Monotonic time before which no further call is made after a failed one. */
    retryAt = 0;

    /** Takes in the answer to a call that named `asked`; its tickets are valid for the time given. */
    learn(asked: readonly HintedWorker[], answer: HintAnswer, validityMilliseconds: number, now: number): void {
        const tickets = new Map(answer.allowed.map(({ worker, ticket }) => [worker, ticket]));
        const expiresAt = now + validityMilliseconds - TICKET_MARGIN_MILLISECONDS;
        for (const { id, boot } of asked) {
            const ticket = tickets.get(id);
            if (ticket === undefined) {
                this.refused.add(id);
            }
            else {
                this.permitted.add(id);
                this.tickets.set(id, { ticket, boot, expiresAt });
            }
        }
    }

    /** The ticket for a worker, if there is one that is still valid. */
    ticket(worker: HintedWorker, now: number): string | undefined {
        const held = this.tickets.get(worker.id);
        return held !== undefined && held.boot === worker.boot && held.expiresAt > now ? held.ticket : undefined;
    }

    /** Forgets a ticket that a worker has refused. */
    forget(worker: string): void {
        this.tickets.delete(worker);
    }

    isPermitted(worker: string): boolean {
        return this.permitted.has(worker);
    }

    isRefused(worker: string): boolean {
        return this.refused.has(worker);
    }

    /** Whether no call has named the worker yet. */
    isUnknown(worker: string): boolean {
        return !this.permitted.has(worker) && !this.refused.has(worker);
    }
}
