/** All jobs of a shard, with the tasks that occupy room on each worker. */
import { isFinished, TaskState } from "@tanagerlink/model";
import { isActive, type JobEntry, type TaskEntry } from "./jobEntry.ts";

/** A task together with its job. */
export interface TaskReference {
    readonly entry: JobEntry;
    readonly task: TaskEntry;
}

const noOccupants: ReadonlyMap<TaskEntry, JobEntry> = new Map();

/** Waiting and running tasks of one team. */
export interface TeamTaskCount {
    waiting: number;
    active: number;
    recovering: number;
}

interface JobCount extends TeamTaskCount {
    /** 1 for a job that has not ended. */
    readonly unfinished: number;
}

/**
 * The jobs of one shard. The counts are kept incrementally: with 20,000 jobs, counting all of them for each submission
 * and each round took most of the processor time of a shard.
 */
export class JobBook {
    /** Jobs that were moved to another shard, with that shard. */
    readonly moved = new Map<string, string>();
    /** Split jobs with a part that is not known to have ended. */
    readonly split = new Set<JobEntry>();
    private readonly jobs = new Map<string, JobEntry>();
    private readonly changed = new Set<JobEntry>();
    private readonly counted = new Map<JobEntry, JobCount>();
    private readonly teams = new Map<string, TeamTaskCount>();
    private readonly recovering = new Set<JobEntry>();
    private unfinished = 0;
    private readonly byWorker = new Map<string, Map<TaskEntry, JobEntry>>();

    add(entry: JobEntry): void {
        this.jobs.set(entry.record.id, entry);
        this.touch(entry);
        if (entry.record.parts !== undefined && entry.record.finishedAt === undefined) {
            this.split.add(entry);
        }
        if (entry.tasks.some(task => task.recovering)) {
            this.recovering.add(entry);
        }
    }

    get(job: string): JobEntry | undefined {
        return this.jobs.get(job);
    }

    delete(job: string): void {
        const entry = this.jobs.get(job);
        if (entry !== undefined) {
            this.touch(entry);
            this.split.delete(entry);
        }
        this.jobs.delete(job);
    }

    get size(): number {
        return this.jobs.size;
    }

    entries(): IterableIterator<JobEntry> {
        return this.jobs.values();
    }

    /** Notes that a task occupies room on a worker. */
    occupy(entry: JobEntry, task: TaskEntry, worker: string): void {
        this.touch(entry);
        let tasks = this.byWorker.get(worker);
        if (tasks === undefined) {
            tasks = new Map();
            this.byWorker.set(worker, tasks);
        }
        tasks.set(task, entry);
    }

    vacate(entry: JobEntry, task: TaskEntry): void {
        this.touch(entry);
        if (task.worker !== undefined) {
            this.byWorker.get(task.worker)?.delete(task);
        }
    }

    /** Jobs of all tasks that occupy room, once for each task. */
    *occupants(): Generator<JobEntry> {
        for (const tasks of this.byWorker.values()) {
            yield* tasks.values();
        }
    }

    /** All tasks that occupy room. The result is a copy, so callers may change tasks while iterating. */
    occupyingTasks(): TaskReference[] {
        return [...this.byWorker.keys()].flatMap(worker => this.tasksOn(worker));
    }

    /** Tasks that occupy room on a worker. The result is a copy, so callers may change tasks while iterating. */
    tasksOn(worker: string): TaskReference[] {
        const tasks = this.byWorker.get(worker);
        return tasks === undefined ? [] : Array.from(tasks, ([task, entry]) => ({ entry, task }));
    }

    /** The same without a copy, for periodic checks of all workers. The tasks must not be changed meanwhile. */
    occupantsOf(worker: string): ReadonlyMap<TaskEntry, JobEntry> {
        return this.byWorker.get(worker) ?? noOccupants;
    }

    /** Notes that the state of a job or of its tasks has changed; the counts take it in when they are next read. */
    touch(entry: JobEntry): void {
        this.changed.add(entry);
    }

    /** Number of jobs that have not ended. */
    unfinishedJobs(): number {
        this.refreshCounts();
        return this.unfinished;
    }

    /** Task counts by team, over jobs that have not ended or still occupy room. */
    countByTeam(): ReadonlyMap<string, Readonly<TeamTaskCount>> {
        this.refreshCounts();
        return this.teams;
    }

    /** Tasks of earlier epochs that may run on workers which were not read yet. */
    recoveringTasks(): TaskReference[] {
        const references: TaskReference[] = [];
        for (const entry of this.recovering) {
            const tasks = entry.tasks.filter(task => task.recovering);
            references.push(...tasks.map(task => ({ entry, task })));
            if (tasks.length === 0) {
                this.recovering.delete(entry);
            }
        }
        return references;
    }

    private refreshCounts(): void {
        for (const entry of this.changed) {
            const known = this.jobs.get(entry.record.id) === entry;
            this.replaceCount(entry, known ? countTasks(entry) : undefined);
        }
        this.changed.clear();
    }

    private replaceCount(entry: JobEntry, next: JobCount | undefined): void {
        const team = entry.record.specification.team;
        let sum = this.teams.get(team);
        if (sum === undefined) {
            sum = { waiting: 0, active: 0, recovering: 0 };
            this.teams.set(team, sum);
        }
        for (const [count, sign] of [[this.counted.get(entry), -1], [next, 1]] as const) {
            sum.waiting += sign * (count?.waiting ?? 0);
            sum.active += sign * (count?.active ?? 0);
            sum.recovering += sign * (count?.recovering ?? 0);
            this.unfinished += sign * (count?.unfinished ?? 0);
        }
        if (next === undefined) {
            this.counted.delete(entry);
        }
        else {
            this.counted.set(entry, next);
        }
    }
}

function countTasks(entry: JobEntry): JobCount {
    const finished = isFinished(entry.record.state);
    const count = { waiting: 0, active: 0, recovering: 0, unfinished: finished ? 0 : 1 };
    for (const task of entry.tasks) {
        if (isActive(task)) {
            count.active++;
        }
        else if (task.recovering) {
            count.recovering++;
        }
        else if (!finished && task.state === TaskState.Waiting) {
            count.waiting++;
        }
    }
    return count;
}
