/**
 * What a client knows of one worker's tasks, so that heartbeats carry only differences: the worker sends tasks that
 * changed since the last report that the client received, and the client renews all listed tasks by one word. A worker
 * says in each report whether it can do so; others get and send whole lists.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import type { HeartbeatRequest, TaskAttempt, WorkerReport, WorkerTask } from "./workerClient.ts";
import { WorkerTaskState } from "./workerClient.ts";
import type { WireReport } from "./workerSchemas.ts";

/** Stands for all attempts that the named report lists as running. */
export const RENEW_LISTED = "listed";

/** Heartbeat as it is sent. */
export interface WireHeartbeat extends Omit<HeartbeatRequest, "renew"> {
    readonly renew: readonly TaskAttempt[] | typeof RENEW_LISTED;
    /** The answer may leave out what the report `lastReport` said already. */
    readonly differences: boolean;
}

interface KnownReport extends Pick<WorkerReport, "capacity" | "capabilities" | "holds"> {
    readonly bootId: string;
    readonly sequence: number;
    readonly tasks: ReadonlyMap<string, WorkerTask>;
    readonly running: number;
}

/** The tasks of one worker as of the last report. */
export class WorkerView {
    private known: KnownReport | undefined;

    /** Makes the next heartbeat and report whole. */
    forget(): void {
        this.known = undefined;
    }

    /** Shortens a heartbeat as far as the worker can expand it. */
    shorten(request: HeartbeatRequest): WireHeartbeat {
        const { known } = this;
        if (known === undefined || known.bootId !== request.bootId || known.sequence !== request.lastReport) {
            return { ...request, differences: false };
        }
        const renew = this.renewsAllListed(known, request.renew) ? RENEW_LISTED : request.renew;
        return { ...request, renew, differences: true };
    }

    /** Completes a report and remembers it. `request` is the heartbeat that it answers, if it is one. */
    complete(report: WireReport, request: HeartbeatRequest | undefined): Result<WorkerReport, ServiceError> {
        const { since, removed, differences, ...rest } = report;
        const isKnown = since !== undefined && since === this.known?.sequence && since === request?.lastReport
            && rest.bootId === this.known.bootId;
        const known = isKnown ? this.known : undefined;
        const { capacity = known?.capacity, capabilities = known?.capabilities, holds = known?.holds } = rest;
        if (capacity === undefined || capabilities === undefined || (since !== undefined && known === undefined)) {
            this.known = undefined;
            const message = `The report of ${rest.worker} is a difference to a report that is not known here.`;
            return err(serviceError(ErrorKind.OutcomeUnknown, message, { target: rest.worker }));
        }
        const whole = { ...rest, capacity, capabilities, holds };
        if (known === undefined) {
            this.remember(whole, differences === true, new Map(rest.tasks.map(task => [attemptKey(task), task])));
            return ok(whole);
        }
        const tasks = new Map(known.tasks);
        removed?.forEach(attempt => tasks.delete(attemptKey(attempt)));
        rest.tasks.forEach(task => tasks.set(attemptKey(task), task));
        this.remember(whole, differences === true, tasks);
        return ok({ ...whole, tasks: [...tasks.values()] });
    }

    private remember(
        { bootId, sequence, capacity, capabilities, holds }: WorkerReport,
        differences: boolean,
        tasks: ReadonlyMap<string, WorkerTask>,
    ): void {
        if (!differences) {
            this.known = undefined;
            return;
        }
        let running = 0;
        for (const task of tasks.values()) {
            running += task.state === WorkerTaskState.Running ? 1 : 0;
        }
        this.known = { bootId, sequence, capacity, capabilities, holds, tasks, running };
    }

    private renewsAllListed(known: KnownReport, renew: readonly TaskAttempt[]): boolean {
        return renew.length === known.running
            && renew.every(attempt => known.tasks.get(attemptKey(attempt))?.state === WorkerTaskState.Running);
    }
}

/** Key of one attempt. */
export function attemptKey({ job, task, attempt }: TaskAttempt): string {
    return `${job}.${task}.${attempt}`;
}
