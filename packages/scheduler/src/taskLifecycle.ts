/**
 * Transitions of tasks between waiting, starting, running and ended. Each one updates the capacity in the policy, the
 * units of the team's grant, the durable record and the recorded decisions.
 */
import { isFinished, type JobState, Reason, TaskState } from "@tanagerlink/model";
import type { WaitingJob } from "@tanagerlink/policy";
import { activeTasks, derivedState, isActive, type JobEntry, resetTask, type TaskEntry } from "./jobEntry.ts";
import { type DecisionDetails, recordJobDecision, type ShardContext } from "./shardContext.ts";

/** Requests the stop of a running task; its end is handled when the worker reports it. */
export interface TaskStopper {
    stop(entry: JobEntry, task: TaskEntry): void;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Applies the state transitions of the tasks of one shard. */
export class TaskLifecycle {
    private readonly context: ShardContext;
    private readonly stopper: TaskStopper;

    constructor(context: ShardContext, stopper: TaskStopper) {
        this.context = context;
        this.stopper = stopper;
    }

    /** Adds the waiting tasks of a job to the queue of the policy. */
    enqueueJob(entry: JobEntry): void {
        const waiting = entry.tasks.filter(task => task.state === TaskState.Waiting && !task.recovering);
        if (waiting.length > 0 && !isFinished(entry.record.state)) {
            this.context.policy.addJob(waitingJob(entry, waiting));
            entry.queued = true;
        }
        this.context.requestRound();
    }

    /** Marks a task as placed by a round, which has already reserved capacity and a unit for it. */
    markPlaced(entry: JobEntry, task: TaskEntry, worker: string, attempt: number): void {
        task.state = TaskState.Starting;
        task.worker = worker;
        task.attempt = attempt;
        task.everPlaced = true;
        task.startInFlight = false;
        this.context.jobRegistry.addOccupant(entry, task, worker);
    }

    /** Adopts a task that a worker reports but this owner did not start: it was started under an earlier epoch. */
    adoptTask(entry: JobEntry, task: TaskEntry, worker: string, bootId: string, attempt: number): void {
        const { specification, workClass } = entry.record;
        const now = this.context.dependencies.timers.now();
        resetTask(task);
        task.state = TaskState.Running;
        task.worker = worker;
        task.bootId = bootId;
        task.attempt = attempt;
        task.startedAt = now;
        task.renewedAt = now;
        this.context.jobRegistry.addOccupant(entry, task, worker);
        this.context.dependencies.ledger.addUsedUnit(this.context.shard, specification.team);
        this.context.policy.recordTaskRunning({
            job: entry.record.id,
            task: task.index,
            name: specification.name,
            team: specification.team,
            queue: specification.queue,
            workClass,
            worker,
            size: specification.size,
            runSeconds: specification.runSeconds,
            startedAt: now,
            allAtOnce: specification.allAtOnce,
            preemptible: specification.idempotent,
        });
        this.updateJobState(entry);
    }

    /** Marks a task as running once its worker has confirmed the start. */
    markRunning(entry: JobEntry, task: TaskEntry): void {
        const { metrics, timers } = this.context.dependencies;
        task.state = TaskState.Running;
        task.startedAt = timers.now();
        const workClass = entry.record.workClass;
        metrics.starts.increment({ work_class: workClass, result: "started" });
        metrics.startDelay.observe((timers.now() - entry.waitingSince) / MILLISECONDS_PER_SECOND, {
            work_class: workClass,
        });
        this.updateJobState(entry);
    }

    /** Releases capacity and unit of a task. `ranSeconds` is set only for a success, for run time estimates. */
    releaseTask(entry: JobEntry, task: TaskEntry, ranSeconds: number | undefined): void {
        this.context.jobRegistry.removeOccupant(entry, task);
        this.context.policy.recordTaskEnd(entry.record.id, task.index, ranSeconds);
        this.context.dependencies.ledger.release(this.context.shard, entry.record.specification.team);
        this.context.requestRound();
    }

    /** Releases the task's resources and returns it to the queue. */
    requeueTask(entry: JobEntry, task: TaskEntry, reason: Reason, details: DecisionDetails = {}): void {
        if (isActive(task)) {
            this.releaseTask(entry, task, undefined);
        }
        resetTask(task);
        this.context.jobRegistry.markChanged(entry);
        if (isFinished(entry.record.state)) {
            task.state = TaskState.Cancelled;
            return;
        }
        recordJobDecision(this.context, entry, reason, { task: task.index, ...details });
        this.enqueueTask(entry, task);
        this.updateJobState(entry);
        this.context.requestRound();
    }

    /**
     * A gang is queued only once none of its tasks is active, so that it starts as a whole. A job all of whose tasks
     * were adopted from an earlier owner is not in the queue yet. Adding a job that is in the queue replaces its entry.
     */
    private enqueueTask(entry: JobEntry, task: TaskEntry): void {
        if (entry.record.specification.allAtOnce) {
            this.enqueueIdleGang(entry);
        }
        else if (entry.queued) {
            this.context.policy.requeueTasks(entry.record.id, [task.index]);
        }
        else {
            this.enqueueJob(entry);
        }
    }

    private enqueueIdleGang(entry: JobEntry): void {
        if (!entry.tasks.some(task => isActive(task) || task.recovering)) {
            this.enqueueJob(entry);
        }
    }

    /** Marks a task as succeeded. Resolves when the success is durable, with false if it could not be recorded. */
    markSucceeded(entry: JobEntry, task: TaskEntry): Promise<boolean> {
        const ranSeconds = (this.context.dependencies.timers.now() - task.startedAt) / MILLISECONDS_PER_SECOND;
        if (isActive(task)) {
            this.releaseTask(entry, task, ranSeconds);
            this.context.runTimes.record(entry.record.specification, ranSeconds * MILLISECONDS_PER_SECOND);
        }
        task.state = TaskState.Succeeded;
        task.recovering = false;
        entry.record = { ...entry.record, succeededTasks: [...entry.record.succeededTasks, task.index] };
        recordJobDecision(this.context, entry, Reason.TaskSucceeded, {
            task: task.index,
            ...(task.worker === undefined ? {} : { worker: task.worker }),
        });
        this.context.dependencies.metrics.tasksEnded.increment({ result: "succeeded" });
        this.updateJobState(entry);
        if (entry.record.specification.allAtOnce) {
            this.enqueueIdleGang(entry);
        }
        return this.persistRecord(entry);
    }

    /** Ends a non-idempotent task whose outcome can't be determined; it never starts again. */
    markOutcomeUnknown(entry: JobEntry, task: TaskEntry, detail: string): Promise<boolean> {
        if (isActive(task)) {
            this.releaseTask(entry, task, undefined);
        }
        task.recovering = false;
        task.state = TaskState.OutcomeUnknown;
        recordJobDecision(this.context, entry, Reason.TaskOutcomeUnknown, { task: task.index, detail });
        this.context.dependencies.metrics.tasksEnded.increment({ result: "outcome_unknown" });
        this.updateJobState(entry);
        return this.persistRecord(entry);
    }

    /** Ends a job and stops its running tasks. Resolves as `markSucceeded` does. */
    finishJob(entry: JobEntry, state: JobState, reason: Reason, detail?: string): Promise<boolean> {
        entry.record = { ...entry.record, state, finishedAt: this.context.dependencies.timers.wallClock() };
        this.context.jobRegistry.markChanged(entry);
        recordJobDecision(this.context, entry, reason, detail === undefined ? {} : { detail });
        this.context.policy.removeJob(entry.record.id);
        for (const task of entry.tasks) {
            if (isActive(task)) {
                this.stopper.stop(entry, task);
            }
            else if (task.state === TaskState.Waiting && !task.recovering) {
                task.state = TaskState.Cancelled;
            }
        }
        this.context.requestRound();
        return this.persistRecord(entry);
    }

    /**
     * Stops the remaining tasks of a gang that has lost a member, so that the gang is queued as a whole: a partial gang
     * would occupy capacity without making progress.
     */
    stopGang(entry: JobEntry, reason: Reason): void {
        for (const task of activeTasks(entry)) {
            if (task.stopping === undefined) {
                this.stopper.stop(entry, task);
            }
        }
        recordJobDecision(this.context, entry, reason, {
            detail: "the other tasks of the gang are stopped and wait again",
        });
    }

    /** Writes the record; resolves to false when this owner may no longer write it. */
    async persistRecord(entry: JobEntry): Promise<boolean> {
        entry.pendingWrites++;
        const result = await this.context.pendingWrites.track(this.context.dependencies.jobs.update(entry.record));
        entry.pendingWrites--;
        if (result.isErr()) {
            this.context.dependencies.logger.warn(
                { job: entry.record.id, shard: this.context.shard, error: result.error },
                "job record could not be written; a newer owner of the shard is responsible for it",
            );
        }
        return result.isOk();
    }

    /** Derives the job's state from its tasks and ends the job when all tasks have ended. */
    private updateJobState(entry: JobEntry): void {
        this.context.jobRegistry.markChanged(entry);
        const state = derivedState(entry);
        if (state === entry.record.state) {
            return;
        }
        entry.record = isFinished(state)
            ? { ...entry.record, state, finishedAt: this.context.dependencies.timers.wallClock() }
            : { ...entry.record, state };
        if (isFinished(state)) {
            this.context.policy.removeJob(entry.record.id);
        }
    }
}

function waitingJob(entry: JobEntry, waiting: readonly TaskEntry[]): WaitingJob {
    const { specification, workClass, id } = entry.record;
    return {
        id,
        name: specification.name,
        team: specification.team,
        queue: specification.queue,
        workClass,
        size: specification.size,
        runSeconds: specification.runSeconds,
        allAtOnce: specification.allAtOnce,
        preemptible: specification.idempotent,
        waitingTasks: waiting.map(task => task.index),
        waitingSince: entry.waitingSince,
    };
}
