/** In-memory registry of the jobs of a shard and of the tasks that occupy capacity on each worker. */
import { isFinished, TaskState } from "@tanagerlink/model";
import { isActive, type JobEntry, type TaskEntry } from "./jobEntry.ts";

/** A task together with its job. */
export interface TaskReference {
    readonly entry: JobEntry;
    readonly task: TaskEntry;
}

const noOccupants: ReadonlyMap<TaskEntry, JobEntry> = new Map();

/** Number of tasks of one team by state. */
export interface TeamTaskCount {
    waiting: number;
    active: number;
    recovering: number;
}

interface JobCount extends TeamTaskCount {
    /** 1 for a job that has not finished, else 0. */
    readonly unfinished: number;
}

/**
 * The jobs of one shard. Counts are maintained incrementally: with 20,000 jobs, a full count for each submission and
 * each scheduling round took most of the processor time of a shard.
 */
export class JobRegistry {
    /** Target shard of each job that was moved to another shard, by job identifier. */
    readonly movedJobs = new Map<string, string>();
    /** Split jobs that have a part which is not known to have ended. */
    readonly splitJobs = new Set<JobEntry>();
    private readonly jobs = new Map<string, JobEntry>();
    private readonly changedEntries = new Set<JobEntry>();
    private readonly countsByEntry = new Map<JobEntry, JobCount>();
    private readonly countsByTeam = new Map<string, TeamTaskCount>();
    private readonly recoveringEntries = new Set<JobEntry>();
    private unfinishedCount = 0;
    private readonly tasksByWorker = new Map<string, Map<TaskEntry, JobEntry>>();

    add(entry: JobEntry): void {
        this.jobs.set(entry.record.id, entry);
        this.markChanged(entry);
        if (entry.record.parts !== undefined && entry.record.finishedAt === undefined) {
            this.splitJobs.add(entry);
        }
        if (entry.tasks.some(task => task.recovering)) {
            this.recoveringEntries.add(entry);
        }
    }

    get(job: string): JobEntry | undefined {
        return this.jobs.get(job);
    }

    delete(job: string): void {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            this.markChanged(entry);
            this.splitJobs.delete(entry);
        }
        this.jobs.delete(job);
    }

    get size(): number {
        return this.jobs.size;
    }

    entries(): IterableIterator<JobEntry> {
        return this.jobs.values();
    }

    /** Records that a task occupies capacity on a worker. */
    addOccupant(entry: JobEntry, task: TaskEntry, worker: string): void {
        this.markChanged(entry);
        let tasks = this.tasksByWorker.get(worker);
        if (tasks === undefined) {
            tasks = new Map();
            this.tasksByWorker.set(worker, tasks);
        }
        tasks.set(task, entry);
    }

    removeOccupant(entry: JobEntry, task: TaskEntry): void {
        this.markChanged(entry);
        if (task.worker !== undefined) {
            this.tasksByWorker.get(task.worker)?.delete(task);
        }
    }

    /** Yields the job of each task that occupies capacity; a job appears once for each of these tasks. */
    *occupyingJobs(): Generator<JobEntry> {
        for (const tasks of this.tasksByWorker.values()) {
            yield* tasks.values();
        }
    }

    /** All tasks that occupy capacity. The result is a copy, so callers may change tasks while iterating. */
    occupyingTasks(): TaskReference[] {
        return [...this.tasksByWorker.keys()].flatMap(worker => this.tasksOn(worker));
    }

    /** Tasks that occupy capacity on a worker. The result is a copy, so callers may change tasks while iterating. */
    tasksOn(worker: string): TaskReference[] {
        const tasks = this.tasksByWorker.get(worker);
        return tasks === undefined ? [] : Array.from(tasks, ([task, entry]) => ({ entry, task }));
    }

    /**
     * Like `tasksOn` without a copy, for periodic checks of all workers. Callers must not change tasks while iterating.
     */
    occupantsOf(worker: string): ReadonlyMap<TaskEntry, JobEntry> {
        return this.tasksByWorker.get(worker) ?? noOccupants;
    }

    /** Marks a job whose state or tasks have changed. Its counts are updated when counts are next read. */
    markChanged(entry: JobEntry): void {
        this.changedEntries.add(entry);
    }

    /** Number of jobs that have not finished. */
    unfinishedJobs(): number {
        this.refreshCounts();
        return this.unfinishedCount;
    }

    /** Task counts by team, over jobs that have not finished or still occupy capacity. */
    countByTeam(): ReadonlyMap<string, Readonly<TeamTaskCount>> {
        this.refreshCounts();
        return this.countsByTeam;
    }

    /** Tasks of earlier epochs that may run on workers which have not reported yet. */
    recoveringTasks(): TaskReference[] {
        const references: TaskReference[] = [];
        for (const entry of this.recoveringEntries) {
            const tasks = entry.tasks.filter(task => task.recovering);
            references.push(...tasks.map(task => ({ entry, task })));
            if (tasks.length === 0) {
                this.recoveringEntries.delete(entry);
            }
        }
        return references;
    }

    private refreshCounts(): void {
        for (const entry of this.changedEntries) {
            const isCurrent = this.jobs.get(entry.record.id) === entry;
            this.replaceCount(entry, isCurrent ? countTasks(entry) : undefined);
        }
        this.changedEntries.clear();
    }

    private replaceCount(entry: JobEntry, nextCount: JobCount | undefined): void {
        const team = entry.record.specification.team;
        let sum = this.countsByTeam.get(team);
        if (sum === undefined) {
            sum = { waiting: 0, active: 0, recovering: 0 };
            this.countsByTeam.set(team, sum);
        }
        for (const [count, sign] of [[this.countsByEntry.get(entry), -1], [nextCount, 1]] as const) {
            sum.waiting += sign * (count?.waiting ?? 0);
            sum.active += sign * (count?.active ?? 0);
            sum.recovering += sign * (count?.recovering ?? 0);
            this.unfinishedCount += sign * (count?.unfinished ?? 0);
        }
        if (nextCount === undefined) {
            this.countsByEntry.delete(entry);
        }
        else {
            this.countsByEntry.set(entry, nextCount);
        }
    }
}

function countTasks(entry: JobEntry): JobCount {
    const isJobFinished = isFinished(entry.record.state);
    const count = { waiting: 0, active: 0, recovering: 0, unfinished: isJobFinished ? 0 : 1 };
    for (const task of entry.tasks) {
        if (isActive(task)) {
            count.active++;
        }
        else if (task.recovering) {
            count.recovering++;
        }
        else if (!isJobFinished && task.state === TaskState.Waiting) {
            count.waiting++;
        }
    }
    return count;
}
