/** Limits the memory of all buffered bodies together, so that slow callers cannot exhaust the process. */
import type { Context } from "hono";

/** Memory budget of the bodies that one process buffers for its callers. */
export class BodyBudget {
    private readonly maximumBytes: number;
    private currentBytes = 0;

    constructor(maximumBytes: number) {
        this.maximumBytes = maximumBytes;
    }

    get reservedBytes(): number {
        return this.currentBytes;
    }

    /** Reserves the bytes if they fit into the budget. */
    tryReserve(bytes: number): boolean {
        if (this.currentBytes + bytes > this.maximumBytes) {
            return false;
        }
        this.currentBytes += bytes;
        return true;
    }

    /**
     * Reserves the bytes of a response body until the response has been sent or its connection is closed. A response
     * can no longer be refused, so it may exceed the budget; new request bodies are refused until memory is free again.
     */
    reserveResponse(context: Context, bytes: number): void {
        const outgoing = outgoingResponse(context);
        if (outgoing === undefined || outgoing.destroyed) {
            return;
        }
        this.currentBytes += bytes;
        outgoing.once("close", () => this.release(bytes));
    }

    release(bytes: number): void {
        this.currentBytes -= bytes;
    }
}

interface OutgoingResponse {
    readonly destroyed: boolean;
    once(event: "close", listener: () => void): unknown;
}

/** The HTTP server's response object; `undefined` when the application is called without a server, as in tests. */
function outgoingResponse(context: Context): OutgoingResponse | undefined {
    return (context.env as { readonly outgoing?: OutgoingResponse; } | undefined)?.outgoing;
}
