/** Handles the reports of workers: running tasks, ended tasks, and tasks that should not run. */
import { isFinished, JobState, Reason, taskLeaseMilliseconds, TaskState } from "@tanagerlink/model";
import { type WorkerReport, type WorkerTask, WorkerTaskState } from "@tanagerlink/targets";
import { isActive, type JobEntry, type TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import type { EndedTaskHandler, TaskStarter, TaskStopRequests } from "./taskStarter.ts";
import type { UsageGuard } from "./usageGuard.ts";
import type { ReportHandler } from "./workerRegistry.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Components of the shard's scheduler that the report handler uses. */
export interface ReportHandlerComponents {
    readonly lifecycle: TaskLifecycle;
    readonly stopRequests: TaskStopRequests;
    readonly usageGuard: UsageGuard;
    readonly starter: () => TaskStarter;
}

/** Handles the reports of one shard's workers. */
export class ShardReportHandler implements ReportHandler, EndedTaskHandler {
    private readonly context: ShardContext;
    private readonly components: ReportHandlerComponents;

    constructor(context: ShardContext, components: ReportHandlerComponents) {
        this.context = context;
        this.components = components;
    }

    onWorkerAttached(session: WorkerSession, report: WorkerReport): void {
        this.onWorkerReport(session, report);
    }

    onWorkerReport(session: WorkerSession, report: WorkerReport): void {
        const reportedTasks = new Set<TaskEntry>();
        const orphaned: WorkerTask[] = [];
        for (const reported of report.tasks) {
            const entry = this.context.jobRegistry.get(reported.job);
            const task = entry?.tasks[reported.task];
            if (entry !== undefined && task !== undefined) {
                reportedTasks.add(task);
            }
            if (entry === undefined || task === undefined || isOrphaned(session, entry, task, reported)) {
                this.handleOrphanedTask(session, entry, reported, orphaned);
            }
            else {
                this.handleReportedTask(session, entry, task, reported);
            }
        }
        session.orphanedTasks = orphaned;
        session.stopOrphanedTasks();
        this.handleMissingTasks(session, reportedTasks);
        this.components.usageGuard.checkReport(session.client.id, report);
    }

    /** Handles a task that a worker reports as ended. */
    onTaskEnded(session: WorkerSession, entry: JobEntry, task: TaskEntry, reported: WorkerTask): void {
        const worker = session.client.id;
        const { policy, dependencies } = this.context;
        if (reported.state === WorkerTaskState.Succeeded) {
            policy.recordTaskSuccess(worker);
            void this.components.lifecycle.markSucceeded(entry, task);
        }
        else if (reported.state === WorkerTaskState.Failed) {
            dependencies.metrics.tasksEnded.increment({ result: "failed" });
            policy.recordTaskFailure(worker, entry.record.id, dependencies.timers.now());
            this.handleTaskFailure(entry, task, worker, reported);
        }
        else {
            dependencies.metrics.tasksEnded.increment({ result: reported.state });
            this.handleTaskStop(entry, task, worker, reported);
        }
        this.acknowledgeWhenDurable(session, entry, reported);
    }

    /**
     * A worker forgets an acknowledged attempt, so a later owner would conclude that it was never started. The end of a
     * non-idempotent task is therefore made durable before the acknowledgement, as is each success.
     */
    private acknowledgeWhenDurable(session: WorkerSession, entry: JobEntry, reported: WorkerTask): void {
        if (entry.record.specification.idempotent && entry.pendingWrites === 0) {
            session.acknowledge(reported);
            return;
        }
        void this.components.lifecycle.persistRecord(entry).then(durable => {
            if (durable) {
                session.acknowledge(reported);
            }
        });
    }

    private handleReportedTask(session: WorkerSession, entry: JobEntry, task: TaskEntry, reported: WorkerTask): void {
        const isCurrentAttempt = isCurrent(session, task, reported);
        const isRunning = reported.state === WorkerTaskState.Running;
        if (isCurrentAttempt && isRunning) {
            this.handleRunningTask(entry, task);
        }
        else if (isCurrentAttempt) {
            this.onTaskEnded(session, entry, task, reported);
        }
        else if (isRunning) {
            this.components.lifecycle.adoptTask(entry, task, session.client.id, session.bootId ?? "", reported.attempt);
            this.handleRunningTask(entry, task);
        }
        else {
            this.handleEndUnderEarlierOwner(session, entry, task, reported);
        }
    }

    private handleOrphanedTask(
        session: WorkerSession,
        entry: JobEntry | undefined,
        reported: WorkerTask,
        orphaned: WorkerTask[],
    ): void {
        if (reported.state === WorkerTaskState.Running) {
            orphaned.push(reported);
        }
        else if (entry === undefined || entry.pendingWrites === 0) {
            session.acknowledge(reported);
        }
    }

    /** Handles an attempt that ended under an earlier owner, which may not have recorded the end. */
    private handleEndUnderEarlierOwner(
        session: WorkerSession,
        entry: JobEntry,
        task: TaskEntry,
        reported: WorkerTask,
    ): void {
        if (reported.state !== WorkerTaskState.Succeeded && entry.record.specification.idempotent) {
            // A later attempt may run on a worker that has not sent a report yet, so the task stays in recovery.
            session.acknowledge(reported);
            return;
        }
        this.components.lifecycle.adoptTask(entry, task, session.client.id, session.bootId ?? "", reported.attempt);
        this.onTaskEnded(session, entry, task, reported);
    }

    private handleRunningTask(entry: JobEntry, task: TaskEntry): void {
        if (task.state === TaskState.Starting) {
            this.components.lifecycle.markRunning(entry, task);
        }
        if (isFinished(entry.record.state) || task.stopping !== undefined) {
            this.components.stopRequests.repeatStop(entry, task);
        }
    }

    /** Handles tasks that the worker does not report. An unconfirmed start is sent again under the same attempt. */
    private handleMissingTasks(session: WorkerSession, reportedTasks: ReadonlySet<TaskEntry>): void {
        const sentAt = session.lastReportRequestedAt;
        for (const { entry, task } of this.context.jobRegistry.tasksOn(session.client.id)) {
            if (reportedTasks.has(task)) {
                continue;
            }
            // The report of a VM that was replaced under the same identifier does not cover tasks on the previous VM;
            // these end with their leases. A worker that can't list its tasks reports none, also when some run.
            if (task.bootId !== session.bootId || session.lastReport?.capabilities.listing === false) {
                continue;
            }
            // A report requested before the start was confirmed need not contain the task.
            if (task.state === TaskState.Running && task.startedAt < sentAt) {
                this.handleMissingRunningTask(session, entry, task);
            }
            else if (task.state === TaskState.Starting && !task.startInFlight && task.startSentAt > 0) {
                this.handleMissingStart(session, entry, task);
            }
        }
    }

    private handleMissingStart(session: WorkerSession, entry: JobEntry, task: TaskEntry): void {
        if (session.lastReport?.capabilities.deduplication === false) {
            return;
        }
        if (this.isStartExpired(session, entry, task)) {
            this.components.lifecycle.requeueTask(entry, task, Reason.WaitingForCapacity, {
                detail: `the start did not reach worker ${session.client.id}`,
            });
            if (entry.record.specification.allAtOnce) {
                this.components.lifecycle.stopGang(entry, Reason.WaitingForGang);
            }
            return;
        }
        if (isFinished(entry.record.state) || task.stopping !== undefined) {
            return;
        }
        void this.components.starter().resendStart(entry, task, session);
    }

    /**
     * Whether the worker would reject every copy of the start that may still be in flight, since the lease that the
     * start names has expired. The report was requested after that and lists neither a running nor an ended attempt, so
     * the task never ran.
     */
    private isStartExpired(session: WorkerSession, entry: JobEntry, task: TaskEntry): boolean {
        const lease = taskLeaseMilliseconds[entry.record.workClass];
        const margin = this.context.dependencies.settings.leaseMarginMilliseconds;
        return session.lastReportRequestedAt > task.startSentAt + lease + margin;
    }

    /** Handles a running task that its worker no longer reports, although it has not restarted. */
    private handleMissingRunningTask(session: WorkerSession, entry: JobEntry, task: TaskEntry): void {
        const detail = `worker ${session.client.id} no longer reports the task`;
        if (entry.record.specification.idempotent) {
            this.components.lifecycle.requeueTask(entry, task, Reason.WorkerLost, { detail });
            if (entry.record.specification.allAtOnce) {
                this.components.lifecycle.stopGang(entry, Reason.WorkerLost);
            }
        }
        else {
            void this.components.lifecycle.markOutcomeUnknown(entry, task, detail);
        }
    }

    private handleTaskFailure(entry: JobEntry, task: TaskEntry, worker: string, reported: WorkerTask): void {
        const detail = `exit code ${reported.exitCode ?? "unknown"} on worker ${worker}`;
        const { lifecycle } = this.components;
        if (isFinished(entry.record.state)) {
            this.releaseEndedTask(entry, task, TaskState.Failed);
            return;
        }
        const { idempotent, allAtOnce } = entry.record.specification;
        if (!idempotent || this.context.policy.hasJobFailedEverywhere(entry.record.id)) {
            this.releaseEndedTask(entry, task, TaskState.Failed);
            void lifecycle.finishJob(
                entry,
                JobState.Failed,
                idempotent ? Reason.JobFailsEverywhere : Reason.TaskFailed,
                detail,
            );
            return;
        }
        lifecycle.requeueTask(entry, task, Reason.TaskFailed, { detail, worker });
        if (allAtOnce) {
            lifecycle.stopGang(entry, Reason.TaskFailed);
        }
    }

    private handleTaskStop(entry: JobEntry, task: TaskEntry, worker: string, reported: WorkerTask): void {
        if (isFinished(entry.record.state)) {
            this.releaseEndedTask(entry, task, TaskState.Cancelled);
            return;
        }
        const wasStoppedByOwner = task.stopping !== undefined;
        if (!entry.record.specification.idempotent) {
            // The task may have run in part, so it must not start again, even if this owner stopped it.
            const detail = `worker ${worker} ended the task: ${reported.state}`;
            void this.components.lifecycle.markOutcomeUnknown(entry, task, detail);
            return;
        }
        const reason = wasStoppedByOwner ? task.stopReason ?? Reason.Preempted : Reason.WorkerLost;
        this.components.lifecycle.requeueTask(entry, task, reason, { worker });
        if (entry.record.specification.allAtOnce) {
            this.components.lifecycle.stopGang(entry, Reason.WaitingForGang);
        }
    }

    private releaseEndedTask(entry: JobEntry, task: TaskEntry, state: TaskState): void {
        if (isActive(task)) {
            this.components.lifecycle.releaseTask(entry, task, undefined);
        }
        task.state = state;
        this.context.jobRegistry.markChanged(entry);
    }
}

function isCurrent(session: WorkerSession, task: TaskEntry, reported: WorkerTask): boolean {
    return isActive(task) && task.worker === session.client.id && task.attempt === reported.attempt;
}

/**
 * Whether the shard may not adopt a reported attempt. A running task of a job that has ended is adopted until it is
 * stopped, so that its resources and its unit count as used.
 */
function isOrphaned(session: WorkerSession, entry: JobEntry, task: TaskEntry, reported: WorkerTask): boolean {
    if (isCurrent(session, task, reported) || task.recovering) {
        return false;
    }
    const isRunning = reported.state === WorkerTaskState.Running;
    return !(isRunning && isFinished(entry.record.state) && !isActive(task) && task.state !== TaskState.Succeeded);
}
