/**
 * Limits the number of running and waiting hash computations, in total and per key identifier, so that a flood of wrong
 * secrets for one identifier can neither delay the first use of other keys nor exhaust the memory.
 */

/** Each hash computation occupies a thread and 4 MiB. */
const MAXIMUM_CONCURRENT_HASHES = 2;

/** Running and waiting calls, per key identifier and in total. */
const MAXIMUM_CALLS_PER_KEY = 8;
const MAXIMUM_CALLS = 512;

/** @internal */
export class HashLimiter {
    private readonly callsByKeyId = new Map<string, number>();
    private calls = 0;
    private running = 0;
    private readonly waiting: (() => void)[] = [];

    /** Runs `operation` as soon as a slot is free; returns `false` without running it if too many calls are waiting. */
    async run(keyId: string, operation: () => Promise<boolean>): Promise<boolean> {
        const callsOfKey = this.callsByKeyId.get(keyId) ?? 0;
        if (this.calls >= MAXIMUM_CALLS || callsOfKey >= MAXIMUM_CALLS_PER_KEY) {
            return false;
        }
        this.calls++;
        this.callsByKeyId.set(keyId, callsOfKey + 1);
        await this.acquireSlot();
        try {
            return await operation();
        }
        finally {
            this.releaseSlot(keyId);
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

    private releaseSlot(keyId: string): void {
        this.calls--;
        const callsOfKey = (this.callsByKeyId.get(keyId) ?? 1) - 1;
        if (callsOfKey === 0) {
            this.callsByKeyId.delete(keyId);
        }
        else {
            this.callsByKeyId.set(keyId, callsOfKey);
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
