/**
 * What the owner has agreed with one incarnation of a worker. A restart replaces the whole, since the next incarnation has
 * another clock, other end numbers and no leases.
 */
import { WorkerLease } from "./workerLease.ts";
import type { EndReport } from "./workerPort.ts";

export class WorkerIncarnation {
    /** Start of the incarnation, milliseconds since 1970, or `UNKNOWN_BOOT`. */
    readonly boot: number;
    readonly lease = new WorkerLease();
    private lastEndNumber = 0;
    /** Ends up to this number are stored. */
    private storedEndNumber = 0;
    /** Ends up to this number are acknowledged, and the worker has confirmed that. */
    private acknowledgedEndNumber = 0;

    constructor(boot: number) {
        this.boot = boot;
    }

    /** Whether ends have been reported that are not acknowledged yet. */
    get hasUnacknowledgedEnds(): boolean {
        return this.acknowledgedEndNumber < this.lastEndNumber;
    }

    /** The end number to acknowledge next; 0 if there is nothing to acknowledge. */
    get endToAcknowledge(): number {
        return this.storedEndNumber > this.acknowledgedEndNumber ? this.storedEndNumber : 0;
    }

    /** Records reported ends and returns those that are new. */
    recordEnds(ended: readonly EndReport[]): EndReport[] {
        const newEnds = ended.filter(({ number }) => number > this.lastEndNumber);
        this.lastEndNumber = Math.max(this.lastEndNumber, ...newEnds.map(({ number }) => number));
        return newEnds;
    }

    recordAcknowledged(endNumber: number): void {
        this.acknowledgedEndNumber = Math.max(this.acknowledgedEndNumber, endNumber);
    }

    /** Lets the ends reported so far be acknowledged once `waitUntilStored` resolves to true. */
    async awaitStoredEnds(waitUntilStored: () => Promise<boolean>): Promise<void> {
        const endNumber = this.lastEndNumber;
        if (endNumber !== this.storedEndNumber && await waitUntilStored()) {
            this.storedEndNumber = Math.max(this.storedEndNumber, endNumber);
        }
    }
}
