/** Writes of a shard's job records that were begun and whose end is awaited before a planned handover. */
export class PendingWrites {
    private readonly writes = new Set<Promise<unknown>>();

    /** Whether any write has not ended. */
    get pending(): boolean {
        return this.writes.size > 0;
    }

    /** Follows a write, which must not reject, and passes its result on. */
    track<Value>(write: Promise<Value>): Promise<Value> {
        const followed: Promise<Value> = write.finally(() => this.writes.delete(followed));
        this.writes.add(followed);
        return followed;
    }

    /** Resolves when all writes have ended, including those begun meanwhile. */
    async settled(): Promise<void> {
        while (this.writes.size > 0) {
            await Promise.all(this.writes);
        }
    }
}
