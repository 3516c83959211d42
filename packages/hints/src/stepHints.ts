/** Known permissions and tickets of workers for one step. */
import type { HintResponse } from "./hintService.ts";

/** Tickets are not used this close to their expiry, since the attempt is yet to be stored and the start order sent. */
const TICKET_EXPIRY_MARGIN_MILLISECONDS = 150;

interface StoredTicket {
    readonly ticket: string;
    /** A ticket is valid for one incarnation of the worker. */
    readonly boot: number;
    readonly expiresAt: number;
}

/** A worker that is named in a hint call. */
export interface HintedWorker {
    readonly id: string;
    readonly boot: number;
}

/** Permissions, which do not change, and tickets, which expire. */
export class StepHints {
    private readonly permitted = new Set<string>();
    private readonly refused = new Set<string>();
    private readonly tickets = new Map<string, StoredTicket>();
    /** Whether a hint call for the step is in flight. */
    isRequestPending = false;
    /** Earliest monotonic time of the next call after a failed one. */
    retryAt = 0;

    /** Records the response to a call that named the workers in `namedWorkers`. */
    recordResponse(
        namedWorkers: readonly HintedWorker[],
        response: HintResponse,
        validityMilliseconds: number,
        now: number,
    ): void {
        const tickets = new Map(response.allowed.map(({ worker, ticket }) => [worker, ticket]));
        const expiresAt = now + validityMilliseconds - TICKET_EXPIRY_MARGIN_MILLISECONDS;
        for (const { id, boot } of namedWorkers) {
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

    /** The valid ticket for a worker, if there is one. */
    ticket(worker: HintedWorker, now: number): string | undefined {
        const stored = this.tickets.get(worker.id);
        return stored !== undefined && stored.boot === worker.boot && stored.expiresAt > now
            ? stored.ticket
            : undefined;
    }

    /** Discards the ticket that a worker has refused. */
    discardTicket(worker: string): void {
        this.tickets.delete(worker);
    }

    isPermitted(worker: string): boolean {
        return this.permitted.has(worker);
    }

    isRefused(worker: string): boolean {
        return this.refused.has(worker);
    }

    /** Whether no response covers the worker yet. */
    isUnknown(worker: string): boolean {
        return !this.permitted.has(worker) && !this.refused.has(worker);
    }
}
