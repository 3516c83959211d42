/**
 * Decisions of the hint service for one step: on which workers the step may run, and the tickets for them. Despite the
 * name of the service, its decisions are binding.
 */
import type { HintResponse } from "./hintService.ts";

/** Tickets are not used this close to their expiry, since the attempt is yet to be stored and the start order sent. */
const TICKET_EXPIRY_MARGIN_MILLISECONDS = 150;

interface StoredTicket {
    readonly ticket: string;
    /** Start time of the worker's incarnation for which the ticket is valid, in milliseconds since 1970. */
    readonly bootTime: number;
    /** Monotonic time in milliseconds. */
    readonly expiresAt: number;
}

/** A worker that is named in a hint call. */
export interface HintedWorker {
    readonly id: string;
    /** Start time of the worker's current incarnation, in milliseconds since 1970. */
    readonly boot: number;
}

/** Whether a worker is allowed or forbidden does not change; tickets expire. */
export class StepHints {
    private readonly allowed = new Set<string>();
    private readonly forbidden = new Set<string>();
    private readonly tickets = new Map<string, StoredTicket>();
    /** Whether a hint call for the step is in flight. */
    isRequestPending = false;
    /** Earliest monotonic time in milliseconds of the next call after a failed one. */
    retryAt = 0;

    /**
     * Records the response to a call that named the workers in `namedWorkers`; `now` is the monotonic time in
     * milliseconds.
     */
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
                this.forbidden.add(id);
            }
            else {
                this.allowed.add(id);
                this.tickets.set(id, { ticket, bootTime: boot, expiresAt });
            }
        }
    }

    /** The ticket for a worker that is valid at the monotonic time `now`, if there is one. */
    ticket(worker: HintedWorker, now: number): string | undefined {
        const stored = this.tickets.get(worker.id);
        return stored !== undefined && stored.bootTime === worker.boot && stored.expiresAt > now
            ? stored.ticket
            : undefined;
    }

    /** Discards a ticket that the worker has rejected. */
    discardTicket(worker: string): void {
        this.tickets.delete(worker);
    }

    isAllowed(worker: string): boolean {
        return this.allowed.has(worker);
    }

    isForbidden(worker: string): boolean {
        return this.forbidden.has(worker);
    }

    /** Whether no response covers the worker yet. */
    isUnknown(worker: string): boolean {
        return !this.allowed.has(worker) && !this.forbidden.has(worker);
    }
}
