/**
 * Limits the number of running and waiting hash computations, in total and per key identifier, so that a flood of wrong
 * secrets for one identifier can neither delay the first use of other keys nor exhaust the memory.
 */

/** Each hash computation occupies a thread and 4 MiB. */
const MAXIMUM_CONCURRENT_HASHES = 2;

/** Running and waiting calls, per identifier and in total. */
const MAXIMUM_CALLS_PER_KEY = 8;
const MAXIMUM_CALLS = 512;

/** @internal */
export class HashLimiter {
    private readonly callsByKey = new Map<string, number>();
    private calls = 0;
    private running = 0;
    private readonly waiting: (() => void)[] = [];

    /** Runs `operation` as soon as a slot is free; returns `false` without running it if too many calls are waiting. */
    async run(key: string, operation: () => Promise<boolean>): Promise<boolean> {
        const ofKey = this.callsByKey.get(key) ?? 0;
        if (this.calls >= MAXIMUM_CALLS || ofKey >= MAXIMUM_CALLS_PER_KEY) {
            return false;
        }
        this.calls++;
        this.callsByKey.set(key, ofKey + 1);
        await this.acquireSlot();
        try {
            return await operation();
        }
        finally {
            this.releaseSlot(key);
        }
    }

    private async acquireSlot(): Promise<void> {
        if (this.running < MAXIMUM_CONCURRENT_HASHES) {
            this.running++;
            return;
        }
        // The slot is passed on directly by the call that releases it.
        await new Promise<void>(resolve => this.waiting.push(resolve));
    }

    private releaseSlot(key: string): void {
        this.calls--;
        const ofKey = (this.callsByKey.get(key) ?? 1) - 1;
        if (ofKey === 0) {
            this.callsByKey.delete(key);
        }
        else {
            this.callsByKey.set(key, ofKey);
        }
        const next = this.waiting.shift();
        if (next === undefined) {
            this.running--;
        }
        else {
            next();
        }
    }
}
