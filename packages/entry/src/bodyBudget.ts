/** Bounds the memory of bodies that are held at the same time, so that slow callers cannot exhaust the process. */
import type { Context } from "hono";

/** Bytes held for callers of one process. */
export class BodyBudget {
    private readonly maximumBytes: number;
    private heldBytes = 0;

    constructor(maximumBytes: number) {
        this.maximumBytes = maximumBytes;
    }

    get held(): number {
        return this.heldBytes;
    }

    /** Takes the bytes if they fit. */
    tryTake(bytes: number): boolean {
        if (this.heldBytes + bytes > this.maximumBytes) {
            return false;
        }
        this.heldBytes += bytes;
        return true;
    }

    /**
     * Counts an answer until its connection has taken it. An answer cannot be refused any more, so it may exceed the
     * bound; new bodies are refused until there is room again.
     */
    holdAnswer(context: Context, bytes: number): void {
        const outgoing = outgoingOf(context);
        if (outgoing === undefined || outgoing.destroyed) {
            return;
        }
        this.heldBytes += bytes;
        outgoing.once("close", () => this.release(bytes));
    }

    release(bytes: number): void {
        this.heldBytes -= bytes;
    }
}

interface Outgoing {
    readonly destroyed: boolean;
    once(event: "close", listener: () => void): unknown;
}

/** Response object of the HTTP server; `undefined` when the application is called without one. */
function outgoingOf(context: Context): Outgoing | undefined {
    return (context.env as { readonly outgoing?: Outgoing; } | undefined)?.outgoing;
}
