/**
 * All jobs of the cell, from acceptance to the end of their retention. Once a job has ended and none of its attempts
 * is live, only its state is kept.
 */
import type { Timers } from "@tanagerlink/timers";
import { JobRun, type JobSpecification, JobState } from "@tanagerlink/workflow";

interface EndedJob {
    readonly state: JobState;
    readonly endedAt: number;
}

export class CellJobs {
    private readonly jobs = new Map<string, JobRun>();
    private readonly endedJobs = new Map<string, EndedJob>();
    /** Ended jobs of which more than the state is still needed. */
    private readonly endingJobs = new Set<JobRun>();
    /** Cancellations that arrived before their job. */
    private readonly earlyCancellations = new Set<string>();
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
    addEnded(id: string, state: JobState): void {
        this.endedJobs.set(id, { state, endedAt: this.timers.now() });
    }

    /** Adds an accepted job. Returns `undefined` if the job is already known. */
    add(specification: JobSpecification): JobRun | undefined {
        if (this.jobs.has(specification.id) || this.endedJobs.has(specification.id)) {
            return undefined;
        }
        const job = new JobRun(specification, this.nextSequence++, this.timers.now());
        this.jobs.set(job.id, job);
        return job;
    }

    recordEarlyCancellation(id: string): void {
        this.earlyCancellations.add(id);
    }

    takeEarlyCancellation(id: string): boolean {
        return this.earlyCancellations.delete(id);
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
            const { id, endedAt, state } = job;
            if (
                endedAt !== undefined && job.storedState === state
                && [...job.tasks()].every(task => task.current === undefined)
            ) {
                this.endingJobs.delete(job);
                this.jobs.delete(id);
                this.endedJobs.set(id, { state, endedAt });
            }
        }
    }

    /** Removes the jobs that ended before the given time and returns their identifiers. */
    removeExpired(endedBefore: number): string[] {
        const expired: string[] = [];
        for (const [id, { endedAt }] of this.endedJobs) {
            if (endedAt < endedBefore) {
                expired.push(id);
                this.endedJobs.delete(id);
            }
        }
        return expired;
    }
}
