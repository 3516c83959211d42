/**
 * Waiting jobs that are alike: same team, queue, name, class, size, run time and, for gangs, number of tasks. A group
 * that cannot start is skipped as a whole, so thousands of waiting jobs cost little in a round.
 */
import type { Reason, Resources } from "@tanagerlink/model";
import type { WorkProfile } from "./learning.ts";
import type { WaitingJob } from "./schedulingPolicy.ts";

/** One job that the policy knows; it stays known while its tasks run. */
export interface JobEntry {
    readonly job: WaitingJob;
    readonly group: WaitingGroup;
    /** Waiting tasks; the last one starts first. */
    tasks: number[];
    /** Whether the entry is in its group's order. */
    queued: boolean;
}

/** Sizes that failed in a round are not searched again in that round, whatever team asks. */
export interface SizeClass {
    readonly size: Resources;
    /** Number of the last round without room, one for each kind of access. */
    readonly failedRounds: number[];
}

/** Removed entries are dropped from the order when they exceed this number and half of the order. */
const COMPACTION_MINIMUM = 64;

/** Alike jobs in the order of their waiting time. */
export class WaitingGroup {
    readonly key: string;
    readonly sample: WaitingJob;
    readonly profile: WorkProfile;
    sizeClass: SizeClass;
    /** The group was tried without success and no room has grown since. */
    blocked = false;
    /** Known jobs of the group, waiting or running. */
    references = 0;
    /** Waiting tasks of all jobs. */
    waiting = 0;
    /** Waiting time by which the group is sorted among the groups of its team. */
    sortedSince = 0;
    /** Whether the group is in the order of its team. */
    listed = false;
    /** Monotonic milliseconds of the last start. */
    lastStart = -Infinity;
    holdReason: Reason | undefined;
    private order: JobEntry[] = [];
    private first = 0;
    private stale = 0;
    private reported = 0;

    constructor(key: string, sample: WaitingJob, profile: WorkProfile, sizeClass: SizeClass) {
        this.key = key;
        this.sample = sample;
        this.profile = profile;
        this.sizeClass = sizeClass;
    }

    /** Oldest job with waiting tasks. */
    head(): JobEntry | undefined {
        while (this.first < this.order.length) {
            const entry = this.order[this.first]!;
            if (entry.tasks.length > 0) {
                this.trim();
                return entry;
            }
            entry.queued = false;
            this.first++;
        }
        this.order = [];
        this.first = 0;
        this.stale = 0;
        this.reported = 0;
        return undefined;
    }

    /** Adds waiting tasks of a job. */
    add(entry: JobEntry, tasks: readonly number[]): void {
        const known = new Set(entry.tasks);
        const added = tasks.filter(task => !known.has(task));
        entry.tasks.push(...added.reverse());
        this.waiting += added.length;
        if (!entry.queued && entry.tasks.length > 0) {
            entry.queued = true;
            this.insert(entry);
        }
    }

    /** Takes all waiting tasks of a job off; the entry itself is dropped from the order later. */
    cancel(entry: JobEntry): void {
        this.waiting -= entry.tasks.length;
        entry.tasks = [];
        this.stale++;
        if (this.stale > COMPACTION_MINIMUM && this.stale * 2 > this.order.length - this.first) {
            this.compact();
        }
    }

    /** Takes one waiting task off, for example because it was found running. */
    drop(entry: JobEntry, task: number): void {
        const position = entry.tasks.lastIndexOf(task);
        if (position >= 0) {
            entry.tasks.splice(position, 1);
            this.waiting--;
        }
    }

    /** The job of each waiting task, oldest first, without the first `skipped` tasks. */
    *entriesFrom(skipped: number): Generator<JobEntry> {
        let left = skipped;
        for (let position = this.first; position < this.order.length; position++) {
            const entry = this.order[position]!;
            const count = entry.tasks.length;
            for (let task = Math.min(left, count); task < count; task++) {
                yield entry;
            }
            left = Math.max(0, left - count);
        }
    }

    /** Sets why the group waits; jobs are reported again only when the reason changes. */
    setHold(reason: Reason): void {
        if (this.holdReason !== reason) {
            this.holdReason = reason;
            this.reported = this.first;
        }
    }

    /** Up to `limit` jobs that have not been told the present reason. */
    takeUnreported(limit: number): JobEntry[] {
        const found: JobEntry[] = [];
        this.reported = Math.max(this.reported, this.first);
        while (this.reported < this.order.length && found.length < limit) {
            const entry = this.order[this.reported++]!;
            if (entry.tasks.length > 0) {
                found.push(entry);
            }
        }
        return found;
    }

    get hasUnreported(): boolean {
        return Math.max(this.reported, this.first) < this.order.length;
    }

    private insert(entry: JobEntry): void {
        const since = entry.job.waitingSince;
        let low = this.first;
        let high = this.order.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.order[middle]!.job.waitingSince <= since) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.order.splice(low, 0, entry);
        this.reported = Math.min(this.reported, low);
    }

    /** Frees the served part of the order. */
    private trim(): void {
        if (this.first > COMPACTION_MINIMUM && this.first * 2 > this.order.length) {
            this.order = this.order.slice(this.first);
            this.reported = Math.max(0, this.reported - this.first);
            this.first = 0;
        }
    }

    private compact(): void {
        const told = new Set(this.order.slice(this.first, Math.max(this.first, this.reported)));
        this.order = this.order.filter((entry, position) => {
            const kept = position >= this.first && entry.tasks.length > 0;
            entry.queued = kept;
            return kept;
        });
        const untold = this.order.findIndex(entry => !told.has(entry));
        this.reported = untold < 0 ? this.order.length : untold;
        this.first = 0;
        this.stale = 0;
    }
}
