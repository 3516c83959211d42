/**
 * Tasks that run or whose start was sent, by job. Keeps the sums of the workers, the usage of the teams and the spread
 * of services consistent with them.
 */
import { maximumResources, type Resources, WorkClass } from "@tanagerlink/model";
import type { FairShare } from "./fairShare.ts";
import type { TaskEntry } from "./workerNode.ts";
import type { WorkerPool } from "./workerPool.ts";

interface JobTasks {
    readonly tasks: Map<number, TaskEntry>;
    /** Running tasks by rack and by worker, kept for services only. */
    readonly byRack: Map<string, number>;
    readonly byWorker: Map<string, number>;
}

/** All tasks that occupy capacity. */
export class RunningTasks {
    count = 0;
    private readonly jobs = new Map<string, JobTasks>();
    private readonly pool: WorkerPool;
    private readonly shares: FairShare;

    constructor(pool: WorkerPool, shares: FairShare) {
        this.pool = pool;
        this.shares = shares;
    }

    get(job: string, task: number): TaskEntry | undefined {
        return this.jobs.get(job)?.tasks.get(task);
    }

    tasksOfJob(job: string): Iterable<TaskEntry> {
        return this.jobs.get(job)?.tasks.values() ?? [];
    }

    add(entry: TaskEntry): void {
        let job = this.jobs.get(entry.job);
        if (job === undefined) {
            job = { tasks: new Map(), byRack: new Map(), byWorker: new Map() };
            this.jobs.set(entry.job, job);
        }
        job.tasks.set(entry.task, entry);
        this.count++;
        this.pool.addTask(entry);
        this.shares.add(entry.team, entry.countedSize);
        countSpread(job, entry, 1);
    }

    remove(entry: TaskEntry): void {
        const job = this.jobs.get(entry.job);
        if (job?.tasks.get(entry.task) !== entry) {
            return;
        }
        job.tasks.delete(entry.task);
        this.count--;
        countSpread(job, entry, -1);
        if (job.tasks.size === 0) {
            this.jobs.delete(entry.job);
        }
        this.pool.removeTask(entry);
        this.shares.subtract(entry.team, entry.countedSize);
    }

    /** Counts the task with the larger of its planned and its observed size from now on. */
    setUsage(entry: TaskEntry, usage: Resources): void {
        const counted = maximumResources(entry.minimumSize, usage);
        entry.peakUsage.raiseTo(usage);
        this.shares.subtract(entry.team, entry.countedSize);
        this.shares.add(entry.team, counted);
        this.pool.updateTask(entry, () => {
            entry.countedSize = counted;
        });
    }

    /** Number of the job's tasks in a rack and on a worker; zero for work other than services. */
    spreadOf(job: string, rack: string, worker: string): { readonly inRack: number; readonly onWorker: number; } {
        const tasks = this.jobs.get(job);
        return { inRack: tasks?.byRack.get(rack) ?? 0, onWorker: tasks?.byWorker.get(worker) ?? 0 };
    }
}

function countSpread(job: JobTasks, entry: TaskEntry, change: 1 | -1): void {
    if (entry.workClass === WorkClass.Service) {
        const { rack, worker: { id } } = entry;
        job.byRack.set(rack, (job.byRack.get(rack) ?? 0) + change);
        job.byWorker.set(id, (job.byWorker.get(id) ?? 0) + change);
    }
}
