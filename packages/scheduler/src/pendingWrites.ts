/** Tracks writes of a shard's job records that are in progress; a planned handover waits until they have completed. */
export class PendingWrites {
    private readonly writes = new Set<Promise<unknown>>();

    /** Whether any write is in progress. */
    get hasPendingWrites(): boolean {
        return this.writes.size > 0;
    }

    /** Tracks a write, which must not reject, and returns its result. */
    track<Value>(write: Promise<Value>): Promise<Value> {
        const tracked: Promise<Value> = write.finally(() => this.writes.delete(tracked));
        this.writes.add(tracked);
        return tracked;
    }

    /** Resolves when all writes have completed, including those that begin while waiting. */
    async waitForAll(): Promise<void> {
        while (this.writes.size > 0) {
            await Promise.all(this.writes);
        }
    }
}
