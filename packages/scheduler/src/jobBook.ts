/** All jobs of a shard, with the tasks that occupy room on each worker. */
import { isFinished } from "@tanagerlink/model";
import { isActive, type JobEntry, type TaskEntry } from "./jobEntry.ts";

/** A task together with its job. */
export interface TaskReference {
    readonly entry: JobEntry;
    readonly task: TaskEntry;
}

/** Waiting and running tasks of one team. */
export interface TeamTaskCount {
    waiting: number;
    active: number;
    recovering: number;
}

/** The jobs of one shard. */
export class JobBook {
    private readonly jobs = new Map<string, JobEntry>();
    private readonly byWorker = new Map<string, Map<TaskEntry, JobEntry>>();

    add(entry: JobEntry): void {
        this.jobs.set(entry.record.id, entry);
    }

    get(job: string): JobEntry | undefined {
        return this.jobs.get(job);
    }

    delete(job: string): void {
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
        let tasks = this.byWorker.get(worker);
        if (tasks === undefined) {
            tasks = new Map();
            this.byWorker.set(worker, tasks);
        }
        tasks.set(task, entry);
    }

    vacate(task: TaskEntry): void {
        if (task.worker !== undefined) {
            this.byWorker.get(task.worker)?.delete(task);
        }
    }

    /** Tasks that occupy room on a worker. The result is a copy, so callers may change tasks while iterating. */
    tasksOn(worker: string): TaskReference[] {
        const tasks = this.byWorker.get(worker);
        return tasks === undefined ? [] : Array.from(tasks, ([task, entry]) => ({ entry, task }));
    }

    /** Number of jobs that have not ended. */
    unfinishedJobs(): number {
        let count = 0;
        for (const entry of this.jobs.values()) {
            if (!isFinished(entry.record.state)) {
                count++;
            }
        }
        return count;
    }

    /** Task counts by team, over jobs that have not ended or still occupy room. */
    countByTeam(): Map<string, TeamTaskCount> {
        const counts = new Map<string, TeamTaskCount>();
        for (const entry of this.jobs.values()) {
            const finished = isFinished(entry.record.state);
            const team = entry.record.specification.team;
            let count = counts.get(team);
            if (count === undefined) {
                count = { waiting: 0, active: 0, recovering: 0 };
                counts.set(team, count);
            }
            for (const task of entry.tasks) {
                if (isActive(task)) {
                    count.active++;
                }
                else if (task.recovering) {
                    count.recovering++;
                }
                else if (!finished && task.state === "waiting") {
                    count.waiting++;
                }
            }
        }
        return counts;
    }

    /** Tasks of earlier epochs that may run on workers which were not read yet. */
    recoveringTasks(): TaskReference[] {
        const references: TaskReference[] = [];
        for (const entry of this.jobs.values()) {
            for (const task of entry.tasks) {
                if (task.recovering) {
                    references.push({ entry, task });
                }
            }
        }
        return references;
    }
}
