/** All jobs of the cell: acceptance, cancellation, state and the end of their retention. */
import type { Timers } from "@tanagerlink/timers";
import { JobRun, type JobSpecification, JobState } from "@tanagerlink/workflow";

export class CellJobs {
    private readonly jobs = new Map<string, JobRun>();
    /** Cancellations that arrived before their job. */
    private readonly cancelledEarly = new Set<string>();
    private readonly timers: Timers;
    private sequence = 0;

    constructor(timers: Timers) {
        this.timers = timers;
    }

    get(id: string): JobRun | undefined {
        return this.jobs.get(id);
    }

    all(): IterableIterator<JobRun> {
        return this.jobs.values();
    }

    /** Adds an accepted job; `undefined` if it is known. */
    add(specification: JobSpecification): JobRun | undefined {
        if (this.jobs.has(specification.id)) {
            return undefined;
        }
        const job = new JobRun(specification, this.sequence++, this.timers.now());
        this.jobs.set(job.id, job);
        return job;
    }

    noteEarlyCancellation(id: string): void {
        this.cancelledEarly.add(id);
    }

    takeEarlyCancellation(id: string): boolean {
        return this.cancelledEarly.delete(id);
    }

    /** State to show: a final state only once it is stored. */
    shownState(id: string): JobState | undefined {
        const job = this.jobs.get(id);
        if (job === undefined) {
            return undefined;
        }
        if (job.open) {
            return job.firstStartAt === undefined ? JobState.Queued : JobState.Running;
        }
        // A cancellation is stored before the owner learns of it.
        if (job.state === JobState.Cancelled || job.storedState === job.state) {
            return job.state;
        }
        return JobState.Running;
    }

    /** Accepted jobs of a queue for which no task has started. */
    pendingOf(queue: string): number {
        let count = 0;
        for (const job of this.jobs.values()) {
            count += job.open && job.specification.queue === queue && job.firstStartAt === undefined ? 1 : 0;
        }
        return count;
    }

    /** Removes and returns jobs that ended before `before` and on which nothing depends any more. */
    takeExpired(before: number): JobRun[] {
        const expired = [...this.jobs.values()].filter(job =>
            job.endedAt !== undefined && job.endedAt < before && job.storedState === job.state
            && [...job.tasks()].every(task => task.current === undefined)
        );
        expired.forEach(job => this.jobs.delete(job.id));
        return expired;
    }
}
