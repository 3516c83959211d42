/**
 * All jobs of the cell, from acceptance to the removal of their records. Once a job has ended and none of its attempts
 * is live, only its state is kept. The versions of the records tell a job whose identifier is used again from a late
 * notification about its predecessor.
 */
import type { Timers } from "@tanagerlink/timers";
import { JobRun, type JobSpecification, JobState } from "@tanagerlink/workflow";

interface EndedJob {
    readonly state: JobState;
    readonly endedAt: number;
    /** Version of the job's record in the store; `undefined` until the owner has read the record. */
    recordVersion: number | undefined;
}

/** An ended job whose retention is over. */
export interface ExpiredJob {
    readonly id: string;
    readonly recordVersion: number;
}

interface RemovedRecord {
    readonly version: number;
    readonly removedAt: number;
}

export class CellJobs {
    private readonly jobs = new Map<string, JobRun>();
    private readonly endedJobs = new Map<string, EndedJob>();
    /** Ended jobs of which more than the state is still needed. */
    private readonly endingJobs = new Set<JobRun>();
    /** Cancellations that arrived before their job, with the versions of their records if these were read. */
    private readonly earlyCancellations = new Map<string, number | undefined>();
    /** Removed job records, of which a listing that was read before the removal may still tell. */
    private readonly removedRecords = new Map<string, RemovedRecord>();
    private readonly timers: Timers;
    private nextSequence = 0;

    constructor(timers: Timers) {
        this.timers = timers;
    }

    get(id: string): JobRun | undefined {
        return this.jobs.get(id);
    }

    /** Jobs that have not ended, and ended jobs with attempts that may still be live. */
    all(): IterableIterator<JobRun> {
        return this.jobs.values();
    }

    isEnded(id: string): boolean {
        return this.endedJobs.has(id);
    }

    /** Adds an ended job, of which only the state is kept. */
    addEnded(id: string, state: JobState, recordVersion: number): void {
        this.endedJobs.set(id, { state, endedAt: this.timers.now(), recordVersion });
    }

    /**
     * Whether a record belongs to a known job, or to one whose records have been removed. `recordVersion` is `undefined`
     * for a job that a peer told of before its record was read.
     */
    isKnown(id: string, recordVersion: number | undefined): boolean {
        const job = this.jobs.get(id);
        const known = job ?? this.endedJobs.get(id);
        if (known !== undefined) {
            known.recordVersion ??= recordVersion;
        }
        if (job !== undefined || recordVersion === undefined) {
            return known !== undefined || this.removedRecords.has(id);
        }
        return recordVersion <= (known?.recordVersion ?? this.removedRecords.get(id)?.version ?? -Infinity);
    }

    /** Adds an accepted job. Returns `undefined` if the job is already known. */
    add(specification: JobSpecification, recordVersion?: number): JobRun | undefined {
        const { id } = specification;
        if (this.isKnown(id, recordVersion)) {
            return undefined;
        }
        this.endedJobs.delete(id);
        const job = new JobRun(specification, this.nextSequence++, this.timers.now());
        job.recordVersion = recordVersion;
        this.jobs.set(id, job);
        return job;
    }

    recordEarlyCancellation(id: string, recordVersion: number | undefined): void {
        this.earlyCancellations.set(id, recordVersion);
    }

    /** Takes the cancellation of a job that arrived before it. One that is older than the job's record is dropped. */
    takeEarlyCancellation({ id, recordVersion = 0 }: JobRun): boolean {
        const isCancelled = this.earlyCancellations.has(id)
            && (this.earlyCancellations.get(id) ?? Infinity) > recordVersion;
        this.earlyCancellations.delete(id);
        return isCancelled;
    }

    /** State as shown to callers. A final state is shown only after it has been stored. */
    visibleState(id: string): JobState | undefined {
        const job = this.jobs.get(id);
        if (job === undefined) {
            return this.endedJobs.get(id)?.state;
        }
        if (job.isOpen) {
            return job.firstStartAt === undefined ? JobState.Queued : JobState.Running;
        }
        // A cancellation is stored before the owner is notified.
        if (job.state === JobState.Cancelled || job.storedState === job.state) {
            return job.state;
        }
        return JobState.Running;
    }

    /** Number of accepted jobs of a queue that have not started a task. */
    pendingJobCount(queue: string): number {
        let count = 0;
        for (const job of this.jobs.values()) {
            count += job.isOpen && job.specification.queue === queue && job.firstStartAt === undefined ? 1 : 0;
        }
        return count;
    }

    /** Records that a job has ended, so that it is dropped once nothing of it is live. */
    recordEnd(job: JobRun): void {
        this.endingJobs.add(job);
    }

    /** Drops all but the state of ended jobs whose state is stored and that have no live attempts. */
    compactEndedJobs(): void {
        for (const job of this.endingJobs) {
            const { id, endedAt, state, recordVersion } = job;
            if (
                endedAt !== undefined && job.storedState === state
                && [...job.tasks()].every(task => task.current === undefined)
            ) {
                this.endingJobs.delete(job);
                this.jobs.delete(id);
                this.endedJobs.set(id, { state, endedAt, recordVersion });
            }
        }
    }

    /** The jobs that ended before the given time, apart from those whose records have not been read yet. */
    expiredJobs(endedBefore: number): ExpiredJob[] {
        const expired: ExpiredJob[] = [];
        for (const [id, { endedAt, recordVersion }] of this.endedJobs) {
            if (endedAt < endedBefore && recordVersion !== undefined) {
                expired.push({ id, recordVersion });
            }
        }
        return expired;
    }

    /** Forgets a job whose record was removed. Returns false if its identifier already belongs to a later job. */
    recordRemoval({ id, recordVersion }: ExpiredJob): boolean {
        const isReused = this.jobs.has(id) || this.endedJobs.get(id)?.recordVersion !== recordVersion;
        if (!isReused) {
            this.endedJobs.delete(id);
            this.removedRecords.set(id, { version: recordVersion, removedAt: this.timers.now() });
        }
        return !isReused;
    }

    /** Forgets records that were removed before the given time. */
    forgetRemovedRecords(removedBefore: number): void {
        for (const [id, { removedAt }] of this.removedRecords) {
            if (removedAt >= removedBefore) {
                // The map is in order of removal.
                return;
            }
            this.removedRecords.delete(id);
        }
    }
}
