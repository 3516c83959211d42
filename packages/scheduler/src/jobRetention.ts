/** Removes finished jobs once the period has passed for which their decisions are kept. */
import { activeTasks, type JobEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import { shardOfJob } from "./submission.ts";

/** Bounds the reads of the table: each expired part needs a lookup of its job. */
const MAXIMUM_LOOKUPS_PER_PERIOD = 10;

/** Retention of the finished jobs of one shard. */
export class JobRetention {
    private readonly context: ShardContext;
    private readonly lookedUpParts = new Set<string>();

    constructor(context: ShardContext) {
        this.context = context;
    }

    /**
     * Removes expired jobs. A part is kept as long as the record of its job, which is kept until all parts have ended.
     */
    async removeExpired(): Promise<void> {
        const { timers, settings } = this.context.dependencies;
        const finishedBefore = timers.wallClock() - settings.explanationMilliseconds;
        const parts: JobEntry[] = [];
        for (const entry of this.context.jobRegistry.entries()) {
            if (isExpired(entry, finishedBefore)) {
                if (entry.record.partOf === undefined) {
                    this.remove(entry);
                }
                else {
                    parts.push(entry);
                }
            }
        }
        await this.removeExpiredParts(parts);
    }

    /** Looks up the jobs of the parts in rotation, a bounded number in each period. */
    private async removeExpiredParts(parts: readonly JobEntry[]): Promise<void> {
        const due = parts.filter(({ record }) => !this.lookedUpParts.has(record.id)).slice(
            0,
            MAXIMUM_LOOKUPS_PER_PERIOD,
        );
        if (due.length < MAXIMUM_LOOKUPS_PER_PERIOD) {
            this.lookedUpParts.clear();
        }
        for (const entry of due) {
            this.lookedUpParts.add(entry.record.id);
            const job = entry.record.partOf ?? "";
            const record = await this.context.dependencies.jobs.read(shardOfJob(job) ?? "", job);
            if (
                record.isOk() && record.value === undefined && this.context.jobRegistry.get(entry.record.id) === entry
            ) {
                this.lookedUpParts.delete(entry.record.id);
                this.remove(entry);
            }
        }
    }

    private remove({ record }: JobEntry): void {
        this.context.jobRegistry.delete(record.id);
        this.context.dependencies.jobs.remove(this.context.shard, record.id);
    }
}

function isExpired(entry: JobEntry, finishedBefore: number): boolean {
    const isPastRetention = (entry.record.finishedAt ?? Number.POSITIVE_INFINITY) < finishedBefore;
    return isPastRetention && entry.pendingWrites === 0 && activeTasks(entry).length === 0;
}
