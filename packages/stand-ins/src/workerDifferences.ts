/**
 * Differences between the reports of one worker. Keeps the latest reports, so that a report can leave out what its
 * receiver knows, and a heartbeat can renew all tasks of a report by one word.
 */
import type { TaskAttempt, WorkerReport, WorkerTask } from "@tanagerlink/targets";

/** Reports kept; an owner names the last one that it received. */
const REPORTS_KEPT = 8;

/** A report as it is sent; a difference leaves out what a worker does not change under one boot identifier. */
export interface ReportDifference extends Omit<WorkerReport, "capacity" | "capabilities" | "holds"> {
    readonly differences: true;
    /** Report to which `tasks` and `removed` are the difference. */
    readonly since?: number;
    readonly removed?: readonly TaskAttempt[];
}

/** Latest reports of one worker. */
export class ReportHistory {
    private bootId = "";
    private readonly reports = new Map<number, ReadonlyMap<string, WorkerTask>>();

    /** Attempts that the report lists as running; `undefined` when the report is not kept. */
    runningIn(bootId: string, sequence: number): readonly TaskAttempt[] | undefined {
        const tasks = this.bootId === bootId ? this.reports.get(sequence) : undefined;
        return tasks === undefined
            ? undefined
            : [...tasks.values()]
                .filter(task => task.state === "running")
                .map(({ job, task, attempt }) => ({ job, task, attempt }));
    }

    /** Keeps a report and shortens it to the difference since an earlier one, where that is kept. */
    shorten(report: WorkerReport, since: number | undefined): ReportDifference {
        if (this.bootId !== report.bootId) {
            this.bootId = report.bootId;
            this.reports.clear();
        }
        const tasks = new Map(report.tasks.map(task => [`${task.job}.${task.task}.${task.attempt}`, task]));
        const earlier = since === undefined ? undefined : this.reports.get(since);
        this.reports.set(report.sequence, tasks);
        this.reports.delete(report.sequence - REPORTS_KEPT);
        if (since === undefined || earlier === undefined) {
            return { ...report, differences: true };
        }
        const changed = [...tasks].filter(([key, task]) => !sameTask(earlier.get(key), task)).map(([, task]) => task);
        const removed = [...earlier].filter(([key]) => !tasks.has(key))
            .map(([, { job, task, attempt }]) => ({ job, task, attempt }));
        const { worker, bootId, epoch, sequence, leaving } = report;
        const difference = {
            worker,
            bootId,
            epoch,
            sequence,
            leaving,
            tasks: changed,
            differences: true,
            since,
        } as const;
        return removed.length === 0 ? difference : { ...difference, removed };
    }
}

function sameTask(earlier: WorkerTask | undefined, task: WorkerTask): boolean {
    return earlier !== undefined && earlier.state === task.state && earlier.exitCode === task.exitCode
        && earlier.usage?.processorMillis === task.usage?.processorMillis
        && earlier.usage?.memoryMebibytes === task.usage?.memoryMebibytes
        && earlier.usage?.accelerators === task.usage?.accelerators;
}
