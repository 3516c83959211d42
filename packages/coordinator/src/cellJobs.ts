/**
 * All jobs of the cell: acceptance, cancellation, state and the end of their retention. Of a job that has ended, and of
 * which nothing runs any more, only its state is kept.
 */
import type { Timers } from "@tanagerlink/timers";
import { JobRun, type JobSpecification, JobState } from "@tanagerlink/workflow";

interface EndedJob {
    readonly state: JobState;
    readonly endedAt: number;
}

export class CellJobs {
    private readonly jobs = new Map<string, JobRun>();
    private readonly ended = new Map<string, EndedJob>();
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

    /** Jobs that are open or of which something may still run. */
    all(): IterableIterator<JobRun> {
        return this.jobs.values();
    }

    isEnded(id: string): boolean {
        return this.ended.has(id);
    }

    /** Adds a job that has ended, without its specification. */
    addEnded(id: string, state: JobState): void {
        this.ended.set(id, { state, endedAt: this.timers.now() });
    }

    /** Adds an accepted job; `undefined` if it is known. */
    add(specification: JobSpecification): JobRun | undefined {
        if (this.jobs.has(specification.id) || this.ended.has(specification.id)) {
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
            return this.ended.get(id)?.state;
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

    /** Keeps only the state of jobs that have ended, once it is stored and nothing of them runs. */
    retire(): void {
        for (const [id, job] of this.jobs) {
            const { endedAt, state } = job;
            if (
                endedAt !== undefined && job.storedState === state
                && [...job.tasks()].every(task => task.current === undefined)
            ) {
                this.jobs.delete(id);
                this.ended.set(id, { state, endedAt });
            }
        }
    }

    /** Removes and returns jobs that ended before `before`. */
    takeExpired(before: number): string[] {
        const expired = [...this.ended].filter(([, { endedAt }]) => endedAt < before).map(([id]) => id);
        expired.forEach(id => this.ended.delete(id));
        return expired;
    }
}
