/**
 * Bounds how many hashes are computed and waited for, in total and for each key identifier, so that wrong secrets sent
 * for one identifier cannot hold up the first use of other keys or fill the memory.
 */

/** Hashes computed at the same time; each takes a thread and 4 MiB. */
const CONCURRENT_HASHES = 2;

/** Calls running or waiting for one identifier, and in total. */
const MAXIMUM_CALLS_PER_KEY = 8;
const MAXIMUM_CALLS = 512;

/** @internal */
export class HashGate {
    private readonly callsByKey = new Map<string, number>();
    private calls = 0;
    private running = 0;
    private readonly waiting: (() => void)[] = [];

    /** Runs `work` when its turn comes; `false` when too many calls wait. */
    async run(key: string, work: () => Promise<boolean>): Promise<boolean> {
        const ofKey = this.callsByKey.get(key) ?? 0;
        if (this.calls >= MAXIMUM_CALLS || ofKey >= MAXIMUM_CALLS_PER_KEY) {
            return false;
        }
        this.calls++;
        this.callsByKey.set(key, ofKey + 1);
        await this.enter();
        try {
            return await work();
        }
        finally {
            this.leave(key);
        }
    }

    private async enter(): Promise<void> {
        if (this.running < CONCURRENT_HASHES) {
            this.running++;
            return;
        }
        // The one that leaves hands its place over.
        await new Promise<void>(resolve => this.waiting.push(resolve));
    }

    private leave(key: string): void {
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
