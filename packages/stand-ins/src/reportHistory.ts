/**
 * Differences between the reports of one worker. The latest reports are stored, so that a report can omit what its
 * receiver already has, and a heartbeat can renew all running tasks of a report with the value `listed` instead of a
 * list of attempts.
 */
import type { Resources } from "@tanagerlink/model";
import type { TaskAttempt, WorkerReport, WorkerTask } from "@tanagerlink/targets";
import { isDeepStrictEqual } from "node:util";

/** Owners refer to the last report that they received, which is one of the latest. */
const MAXIMUM_STORED_REPORTS = 8;

/** A report as it is sent; a difference omits fields that have not changed. */
export interface ReportDifference extends Omit<WorkerReport, "capacity" | "capabilities" | "holds"> {
    readonly differences: true;
    readonly capacity?: Resources;
    /** Sequence of the report that `tasks` and `removed` are relative to. */
    readonly since?: number;
    readonly removed?: readonly TaskAttempt[];
}

interface StoredReport {
    readonly capacity: Resources;
    readonly tasks: ReadonlyMap<string, WorkerTask>;
}

/** Latest reports of one worker. */
export class ReportHistory {
    private bootId = "";
    private readonly reports = new Map<number, StoredReport>();

    /** Attempts that the report lists as running; `undefined` if the report is no longer stored. */
    runningAttempts(bootId: string, sequence: number): readonly TaskAttempt[] | undefined {
        const tasks = this.bootId === bootId ? this.reports.get(sequence)?.tasks : undefined;
        return tasks === undefined
            ? undefined
            : [...tasks.values()]
                .filter(task => task.state === "running")
                .map(({ job, task, attempt }) => ({ job, task, attempt }));
    }

    /** Stores a report and reduces it to the difference from an earlier one, if that is still stored. */
    recordAndDiff(report: WorkerReport, since: number | undefined): ReportDifference {
        if (this.bootId !== report.bootId) {
            this.bootId = report.bootId;
            this.reports.clear();
        }
        const tasks = new Map(report.tasks.map(task => [`${task.job}.${task.task}.${task.attempt}`, task]));
        const earlier = since === undefined ? undefined : this.reports.get(since);
        this.reports.set(report.sequence, { capacity: report.capacity, tasks });
        this.reports.delete(report.sequence - MAXIMUM_STORED_REPORTS);
        if (since === undefined || earlier === undefined) {
            return { ...report, differences: true };
        }
        const changed = [...tasks].filter(([key, task]) => !isUnchanged(earlier.tasks.get(key), task))
            .map(([, task]) => task);
        const removed = [...earlier.tasks].filter(([key]) => !tasks.has(key))
            .map(([, { job, task, attempt }]) => ({ job, task, attempt }));
        const { worker, bootId, epoch, sequence, leaving, capacity } = report;
        const difference = {
            worker,
            bootId,
            epoch,
            sequence,
            leaving,
            tasks: changed,
            differences: true,
            since,
            ...(isDeepStrictEqual(capacity, earlier.capacity) ? {} : { capacity }),
        } as const;
        return removed.length === 0 ? difference : { ...difference, removed };
    }
}

function isUnchanged(earlier: WorkerTask | undefined, task: WorkerTask): boolean {
    return earlier !== undefined && earlier.state === task.state && earlier.exitCode === task.exitCode
        && earlier.usage?.processorMillis === task.usage?.processorMillis
        && earlier.usage?.memoryMebibytes === task.usage?.memoryMebibytes
        && earlier.usage?.accelerators === task.usage?.accelerators;
}
