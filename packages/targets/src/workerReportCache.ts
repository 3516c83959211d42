/**
 * Cache of the last report of one worker, so that heartbeats carry only differences: the worker sends only tasks that
 * have changed since the last report that the client received, and the client renews all listed tasks by `RENEW_LISTED`.
 * Each report states whether the worker supports this; heartbeats and reports of other workers are always complete.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import type { HeartbeatRequest, TaskAttempt, WorkerReport, WorkerTask } from "./workerClient.ts";
import { WorkerTaskState } from "./workerClient.ts";
import type { WireReport } from "./workerSchemas.ts";

/** Stands for all attempts that the report `lastReport` lists as running. */
export const RENEW_LISTED = "listed";

/** Heartbeat as it is sent. */
export interface WireHeartbeat extends Omit<HeartbeatRequest, "renew"> {
    readonly renew: readonly TaskAttempt[] | typeof RENEW_LISTED;
    /** Whether the answer may omit what is unchanged since the report `lastReport`. */
    readonly differences: boolean;
}

interface CachedReport extends Pick<WorkerReport, "capacity" | "capabilities" | "holds"> {
    readonly bootId: string;
    readonly sequence: number;
    readonly tasks: ReadonlyMap<string, WorkerTask>;
    readonly running: number;
}

/** The last report of one worker. */
export class WorkerReportCache {
    private cachedReport: CachedReport | undefined;

    /** Empties the cache, so that the next heartbeat and its report are complete. */
    clear(): void {
        this.cachedReport = undefined;
    }

    /** Shortens a heartbeat as far as the worker can expand it. */
    shortenHeartbeat(request: HeartbeatRequest): WireHeartbeat {
        const { cachedReport: cached } = this;
        if (cached === undefined || cached.bootId !== request.bootId || cached.sequence !== request.lastReport) {
            return { ...request, differences: false };
        }
        const renew = this.renewsAllListed(cached, request.renew) ? RENEW_LISTED : request.renew;
        return { ...request, renew, differences: true };
    }

    /** Expands a difference to a complete report and caches it. `request` is the heartbeat that it answers, if any. */
    expandReport(report: WireReport, request: HeartbeatRequest | undefined): Result<WorkerReport, ServiceError> {
        const { since, removed, differences, ...rest } = report;
        const matchesCache = since !== undefined && since === this.cachedReport?.sequence &&
            since === request?.lastReport
            && rest.bootId === this.cachedReport.bootId;
        const cached = matchesCache ? this.cachedReport : undefined;
        const { capacity = cached?.capacity, capabilities = cached?.capabilities, holds = cached?.holds } = rest;
        if (capacity === undefined || capabilities === undefined || (since !== undefined && cached === undefined)) {
            this.cachedReport = undefined;
            const message = `The report of ${rest.worker} is a difference to a report that is not cached.`;
            return err(serviceError(ErrorKind.OutcomeUnknown, message, { target: rest.worker }));
        }
        const completeReport = { ...rest, capacity, capabilities, holds };
        if (cached === undefined) {
            this.store(completeReport, differences === true, new Map(rest.tasks.map(task => [attemptKey(task), task])));
            return ok(completeReport);
        }
        const tasks = new Map(cached.tasks);
        removed?.forEach(attempt => tasks.delete(attemptKey(attempt)));
        rest.tasks.forEach(task => tasks.set(attemptKey(task), task));
        this.store(completeReport, differences === true, tasks);
        return ok({ ...completeReport, tasks: [...tasks.values()] });
    }

    private store(
        { bootId, sequence, capacity, capabilities, holds }: WorkerReport,
        differences: boolean,
        tasks: ReadonlyMap<string, WorkerTask>,
    ): void {
        if (!differences) {
            this.cachedReport = undefined;
            return;
        }
        let running = 0;
        for (const task of tasks.values()) {
            running += task.state === WorkerTaskState.Running ? 1 : 0;
        }
        this.cachedReport = { bootId, sequence, capacity, capabilities, holds, tasks, running };
    }

    private renewsAllListed(cached: CachedReport, renew: readonly TaskAttempt[]): boolean {
        return renew.length === cached.running
            && renew.every(attempt => cached.tasks.get(attemptKey(attempt))?.state === WorkerTaskState.Running);
    }
}

/** Key of one attempt. */
export function attemptKey({ job, task, attempt }: TaskAttempt): string {
    return `${job}.${task}.${attempt}`;
}
