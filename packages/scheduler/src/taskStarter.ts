/**
 * Sends starts to workers. A start whose response was lost is sent again to the same worker under the same attempt,
 * never to another worker, until the worker has reported the outcome or the task's lease has expired.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { isFinished, Reason, type StartIntent, taskLeaseMilliseconds, TaskState } from "@tanagerlink/model";
import { type WorkerTask, WorkerTaskState } from "@tanagerlink/targets";
import { attemptOf, type JobEntry, type StopKind, type TaskEntry } from "./jobEntry.ts";
import type { ShardContext } from "./shardContext.ts";
import { startRefusal } from "./startGate.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import type { WorkerSession } from "./workerSession.ts";

/** An attempt number is `epoch * MAXIMUM_ATTEMPTS_PER_EPOCH + counter`, which makes it unique over all epochs. */
const MAXIMUM_ATTEMPTS_PER_EPOCH = 10_000_000;

/** Minimum time between two stop or checkpoint requests for the same attempt. */
const MINIMUM_STOP_INTERVAL_MILLISECONDS = 1_000;

/** Handles a task that has already ended when its worker responds to the start. */
export interface EndedTaskHandler {
    onTaskEnded(session: WorkerSession, entry: JobEntry, task: TaskEntry, reported: WorkerTask): void;
}

/** Starts the tasks of one shard. */
export class TaskStarter {
    private readonly context: ShardContext;
    private readonly lifecycle: TaskLifecycle;
    private readonly endedTaskHandler: EndedTaskHandler;
    private attemptCounter = 0;

    constructor(context: ShardContext, lifecycle: TaskLifecycle, endedTaskHandler: EndedTaskHandler) {
        this.context = context;
        this.lifecycle = lifecycle;
        this.endedTaskHandler = endedTaskHandler;
    }

    /** Starts a task that a round has placed. Capacity and a unit of the limit are already reserved for it. */
    async start(entry: JobEntry, task: TaskEntry, session: WorkerSession): Promise<void> {
        this.attemptCounter++;
        this.lifecycle.markPlaced(
            entry,
            task,
            session.client.id,
            this.context.epoch * MAXIMUM_ATTEMPTS_PER_EPOCH + this.attemptCounter,
        );
        task.bootId = session.bootId;
        const attempt = task.attempt;
        if (!entry.record.specification.idempotent && !await this.recordIntent(entry, task)) {
            this.abandonStart(entry, task, attempt, "the start could not be recorded first");
            return;
        }
        await this.sendStart(entry, task, session, attempt);
    }

    /** Repeats a start whose response was lost. */
    async resendStart(entry: JobEntry, task: TaskEntry, session: WorkerSession): Promise<void> {
        await this.sendStart(entry, task, session, task.attempt);
    }

    private async sendStart(entry: JobEntry, task: TaskEntry, session: WorkerSession, attempt: number): Promise<void> {
        if (!this.isCurrent(task, attempt)) {
            return;
        }
        const isFirstSend = task.renewedAt === 0;
        const bootId = task.bootId;
        const refusalReason = this.findRefusalReason(entry, task, session);
        if (refusalReason !== undefined || bootId === undefined) {
            if (isFirstSend) {
                this.abandonStart(entry, task, attempt, refusalReason ?? "the worker was not read yet");
            }
            return;
        }
        const { specification, workClass, id } = entry.record;
        task.renewedAt = this.context.dependencies.timers.now();
        task.startSentAt = task.renewedAt;
        task.startInFlight = true;
        const result = await session.client.start({
            epoch: this.context.epoch,
            bootId,
            job: id,
            task: task.index,
            attempt,
            team: specification.team,
            size: specification.size,
            leaseMilliseconds: taskLeaseMilliseconds[workClass],
            lastReport: session.reportSequence,
            payload: specification.payload,
        });
        if (!this.isCurrent(task, attempt)) {
            return;
        }
        task.startInFlight = false;
        result.match(
            reported => this.handleResponse(entry, task, session, reported),
            error => this.handleFailure(entry, task, attempt, error, isFirstSend),
        );
    }

    private handleResponse(entry: JobEntry, task: TaskEntry, session: WorkerSession, reported: WorkerTask): void {
        if (reported.state === WorkerTaskState.Running) {
            this.lifecycle.markRunning(entry, task);
        }
        else {
            this.endedTaskHandler.onTaskEnded(session, entry, task, reported);
        }
    }

    private handleFailure(
        entry: JobEntry,
        task: TaskEntry,
        attempt: number,
        error: ServiceError,
        isFirstSend: boolean,
    ): void {
        const { metrics, logger } = this.context.dependencies;
        metrics.starts.increment({ work_class: entry.record.workClass, result: error.kind });
        logger.debug(
            { job: entry.record.id, task: task.index, worker: task.worker, error },
            "worker did not confirm the start of a task",
        );
        // A refused retry does not tell whether the first request will still arrive; the next report or the expiry of
        // the lease resolves that.
        if (isFirstSend && error.kind !== ErrorKind.OutcomeUnknown) {
            this.abandonStart(entry, task, attempt, error.message);
        }
    }

    /** Abandons a start that was certainly not sent or was refused. */
    private abandonStart(entry: JobEntry, task: TaskEntry, attempt: number, detail: string): void {
        if (!this.isCurrent(task, attempt)) {
            return;
        }
        const worker = task.worker;
        if (worker !== undefined) {
            // Keeps rounds from repeatedly placing tasks on this worker until the next sweep updates its availability.
            this.context.policy.setWorkerAvailable(worker, false);
        }
        this.lifecycle.requeueTask(entry, task, Reason.WaitingForCapacity, {
            detail,
            ...(worker === undefined ? {} : { worker }),
        });
        if (entry.record.specification.allAtOnce) {
            this.lifecycle.stopGang(entry, Reason.WaitingForGang);
        }
    }

    private findRefusalReason(entry: JobEntry, task: TaskEntry, session: WorkerSession): string | undefined {
        if (isFinished(entry.record.state)) {
            return "the job has ended";
        }
        if (task.stopping !== undefined) {
            return "the task is being stopped";
        }
        if (!session.attached || session.bootId !== task.bootId) {
            return "the worker was restarted or is not attached";
        }
        if (session.leaving) {
            return "the worker is leaving";
        }
        if (this.context.policy.isOverCapacity(session.client.id)) {
            return "the worker's capacity has shrunk";
        }
        return startRefusal(this.context)?.message;
    }

    private isCurrent(task: TaskEntry, attempt: number): boolean {
        return task.attempt === attempt && task.state === TaskState.Starting;
    }

    private recordIntent(entry: JobEntry, task: TaskEntry): Promise<boolean> {
        const intent: StartIntent = {
            task: task.index,
            attempt: task.attempt,
            worker: task.worker ?? "",
            bootId: task.bootId ?? "",
        };
        const others = entry.record.intents.filter(other => other.task !== task.index);
        entry.record = { ...entry.record, intents: [...others, intent] };
        return this.lifecycle.persistRecord(entry);
    }
}

/** Sends stop, checkpoint and throttle requests. Lost ones are repeated while the worker still reports the task. */
export class TaskStopRequests {
    private readonly context: ShardContext;
    private readonly findSession: (worker: string) => WorkerSession | undefined;

    constructor(context: ShardContext, findSession: (worker: string) => WorkerSession | undefined) {
        this.context = context;
        this.findSession = findSession;
    }

    stop(entry: JobEntry, task: TaskEntry): void {
        this.recordStop(task, "stop");
        this.sendRequest(entry, task, session => session.client.stop(this.context.epoch, attemptOf(entry, task)));
    }

    checkpoint(entry: JobEntry, task: TaskEntry): void {
        this.recordStop(task, "checkpoint");
        this.sendRequest(entry, task, session => session.client.checkpoint(this.context.epoch, attemptOf(entry, task)));
    }

    /** Repeats a stop or checkpoint that may have been lost, at a bounded rate since a checkpoint takes time. */
    repeatStop(entry: JobEntry, task: TaskEntry): void {
        const now = this.context.dependencies.timers.now();
        if (task.stopping !== undefined && now - task.stopSentAt < MINIMUM_STOP_INTERVAL_MILLISECONDS) {
            return;
        }
        if (task.stopping === "checkpoint" && !isFinished(entry.record.state)) {
            this.checkpoint(entry, task);
        }
        else {
            this.stop(entry, task);
        }
    }

    throttle(entry: JobEntry, task: TaskEntry): void {
        this.sendRequest(entry, task, session => session.client.throttle(this.context.epoch, attemptOf(entry, task)));
    }

    private recordStop(task: TaskEntry, kind: StopKind): void {
        task.stopping = kind;
        task.stopSentAt = this.context.dependencies.timers.now();
    }

    private sendRequest(
        entry: JobEntry,
        task: TaskEntry,
        send: (session: WorkerSession) => ReturnType<WorkerSession["client"]["stop"]>,
    ): void {
        const session = task.worker === undefined ? undefined : this.findSession(task.worker);
        if (session === undefined) {
            return;
        }
        void send(session).then(result => {
            if (result.isErr()) {
                const { logger } = this.context.dependencies;
                logger.debug(
                    { job: entry.record.id, task: task.index, error: result.error },
                    "stop, checkpoint or throttle request to a worker failed",
                );
            }
            session.sendHeartbeatNow();
        });
    }
}
