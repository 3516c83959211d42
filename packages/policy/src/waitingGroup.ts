/**
 * Groups of similar waiting jobs: same team, queue, name, class, size, run time, preemptibility and, for gangs, number
 * of tasks. A group that cannot start is skipped as a whole, so thousands of waiting jobs cost little in a round.
 */
import type { Reason, Resources } from "@tanagerlink/model";
import type { WaitingJob } from "./schedulingPolicy.ts";
import type { WorkProfile } from "./workProfiles.ts";

/** A job from `addJob` to `removeJob`, including while its tasks run. */
export interface JobEntry {
    readonly job: WaitingJob;
    readonly group: WaitingGroup;
    /** Waiting tasks; the last one starts first. */
    tasks: number[];
    /** Whether the entry is in the list of its group. */
    queued: boolean;
}

/** A size shared by groups, so that a search that failed in a round is not repeated for another team in that round. */
export interface SizeClass {
    readonly size: Resources;
    /** Number of the last round in which the search failed, one for each kind of access. */
    readonly failedRounds: number[];
}

/** Processed or removed entries are dropped when they exceed both this number and half of the list. */
const MINIMUM_COMPACTION_ENTRIES = 64;

/** Similar jobs, those that have waited longest first. */
export class WaitingGroup {
    readonly key: string;
    /** First job of the group, with the properties that all its jobs share. */
    readonly representative: WaitingJob;
    readonly profile: WorkProfile;
    sizeClass: SizeClass;
    /** Whether the last attempt to start the group failed and no free capacity has grown since. */
    blocked = false;
    /** Number of jobs of the group, waiting or running. */
    jobCount = 0;
    /** Number of waiting tasks of all jobs in the group. */
    waitingTaskCount = 0;
    /** Time at which the oldest job began to wait, by which the group is sorted in the queue of its team. */
    sortedSince = 0;
    /** Whether the group is in the queue of its team. */
    listed = false;
    /** Monotonic milliseconds of the last start. */
    lastStartAt = -Infinity;
    waitReason: Reason | undefined;
    private entries: JobEntry[] = [];
    private firstIndex = 0;
    private staleCount = 0;
    private reportedIndex = 0;

    constructor(key: string, representative: WaitingJob, profile: WorkProfile, sizeClass: SizeClass) {
        this.key = key;
        this.representative = representative;
        this.profile = profile;
        this.sizeClass = sizeClass;
    }

    /** Oldest job with waiting tasks. */
    oldestEntry(): JobEntry | undefined {
        while (this.firstIndex < this.entries.length) {
            const entry = this.entries[this.firstIndex]!;
            if (entry.tasks.length > 0) {
                this.trim();
                return entry;
            }
            entry.queued = false;
            this.firstIndex++;
        }
        this.entries = [];
        this.firstIndex = 0;
        this.staleCount = 0;
        this.reportedIndex = 0;
        return undefined;
    }

    add(entry: JobEntry, tasks: readonly number[]): void {
        const known = new Set(entry.tasks);
        const added = tasks.filter(task => !known.has(task));
        entry.tasks.push(...added.reverse());
        this.waitingTaskCount += added.length;
        if (!entry.queued && entry.tasks.length > 0) {
            entry.queued = true;
            this.insert(entry);
        }
    }

    /** Removes all waiting tasks of a job; the entry itself is dropped from the list later. */
    removeAllTasks(entry: JobEntry): void {
        this.waitingTaskCount -= entry.tasks.length;
        entry.tasks = [];
        this.staleCount++;
        if (
            this.staleCount > MINIMUM_COMPACTION_ENTRIES && this.staleCount * 2 > this.entries.length - this.firstIndex
        ) {
            this.compact();
        }
    }

    /** Removes one waiting task, for example because it was found running. */
    removeTask(entry: JobEntry, task: number): void {
        const position = entry.tasks.lastIndexOf(task);
        if (position >= 0) {
            entry.tasks.splice(position, 1);
            this.waitingTaskCount--;
        }
    }

    /** Yields the job of each waiting task, oldest first, without the first `skipped` tasks. */
    *entriesFrom(skipped: number): Generator<JobEntry> {
        let toSkip = skipped;
        for (let position = this.firstIndex; position < this.entries.length; position++) {
            const entry = this.entries[position]!;
            const count = entry.tasks.length;
            for (let task = Math.min(toSkip, count); task < count; task++) {
                yield entry;
            }
            toSkip = Math.max(0, toSkip - count);
        }
    }

    /** Sets why the group waits; all its jobs are reported again if the reason has changed. */
    setWaitReason(reason: Reason): void {
        if (this.waitReason !== reason) {
            this.waitReason = reason;
            this.reportedIndex = this.firstIndex;
        }
    }

    /** Returns up to `limit` jobs whose wait reason has not been reported, and counts them as reported. */
    takeUnreported(limit: number): JobEntry[] {
        const found: JobEntry[] = [];
        this.reportedIndex = Math.max(this.reportedIndex, this.firstIndex);
        while (this.reportedIndex < this.entries.length && found.length < limit) {
            const entry = this.entries[this.reportedIndex++]!;
            if (entry.tasks.length > 0) {
                found.push(entry);
            }
        }
        return found;
    }

    get hasUnreported(): boolean {
        return Math.max(this.reportedIndex, this.firstIndex) < this.entries.length;
    }

    private insert(entry: JobEntry): void {
        const since = entry.job.waitingSince;
        let low = this.firstIndex;
        let high = this.entries.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.entries[middle]!.job.waitingSince <= since) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.entries.splice(low, 0, entry);
        this.reportedIndex = Math.min(this.reportedIndex, low);
    }

    /** Drops the entries before the first one with waiting tasks. */
    private trim(): void {
        if (this.firstIndex > MINIMUM_COMPACTION_ENTRIES && this.firstIndex * 2 > this.entries.length) {
            this.entries = this.entries.slice(this.firstIndex);
            this.reportedIndex = Math.max(0, this.reportedIndex - this.firstIndex);
            this.firstIndex = 0;
        }
    }

    private compact(): void {
        const reported = new Set(this.entries.slice(this.firstIndex, Math.max(this.firstIndex, this.reportedIndex)));
        this.entries = this.entries.filter((entry, position) => {
            const kept = position >= this.firstIndex && entry.tasks.length > 0;
            entry.queued = kept;
            return kept;
        });
        const firstUnreported = this.entries.findIndex(entry => !reported.has(entry));
        this.reportedIndex = firstUnreported < 0 ? this.entries.length : firstUnreported;
        this.firstIndex = 0;
        this.staleCount = 0;
    }
}
