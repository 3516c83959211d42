/** Forgets ended jobs once they need not be explained any more. */
import { activeTasks, type JobEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import { shardOfJob } from "./submission.ts";

/** Parts whose job is looked up in one period, which bounds the reads of the table. */
const LOOKED_UP_AT_ONCE = 10;

/** Retention of the ended jobs of one shard. */
export class JobRetention {
    private readonly context: ShardContext;
    private readonly lookedUp = new Set<string>();

    constructor(context: ShardContext) {
        this.context = context;
    }

    /** Removes expired jobs. A part stays as long as the record of its job, which stays until all parts have ended. */
    async forgetExpired(): Promise<void> {
        const { timers, settings } = this.context.dependencies;
        const oldest = timers.wallClock() - settings.explanationMilliseconds;
        const parts: JobEntry[] = [];
        for (const entry of this.context.book.entries()) {
            if (isExpired(entry, oldest)) {
                if (entry.record.partOf === undefined) {
                    this.forget(entry);
                }
                else {
                    parts.push(entry);
                }
            }
        }
        await this.forgetParts(parts);
    }

    /** Each period looks up other parts, until all of them had their turn. */
    private async forgetParts(parts: readonly JobEntry[]): Promise<void> {
        const due = parts.filter(({ record }) => !this.lookedUp.has(record.id)).slice(0, LOOKED_UP_AT_ONCE);
        if (due.length < LOOKED_UP_AT_ONCE) {
            this.lookedUp.clear();
        }
        for (const entry of due) {
            this.lookedUp.add(entry.record.id);
            const job = entry.record.partOf ?? "";
            const record = await this.context.dependencies.jobs.read(shardOfJob(job) ?? "", job);
            if (record.isOk() && record.value === undefined && this.context.book.get(entry.record.id) === entry) {
                this.lookedUp.delete(entry.record.id);
                this.forget(entry);
            }
        }
    }

    private forget({ record }: JobEntry): void {
        this.context.book.delete(record.id);
        this.context.dependencies.jobs.remove(this.context.shard, record.id);
    }
}

function isExpired(entry: JobEntry, oldest: number): boolean {
    const expired = (entry.record.finishedAt ?? Number.POSITIVE_INFINITY) < oldest;
    return expired && entry.pendingWrites === 0 && activeTasks(entry).length === 0;
}
