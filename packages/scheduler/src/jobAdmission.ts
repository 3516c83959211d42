/** Accepts and cancels the jobs of one shard and reports their status. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { isFinished, type JobPart, type JobRecord, JobState, Reason } from "@tanagerlink/model";
import { withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { createJobEntry, describeSize, type JobEntry } from "./jobEntry.ts";
import { type DecisionDetails, recordJobDecision, type ShardContext } from "./shardContext.ts";
import type { ShardStatistics } from "./shardStatistics.ts";
import type { SplitJobs } from "./splitJobs.ts";
import { type JobStatus, partIdentifier, statusOfRecord, type Submission } from "./submission.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import type { WorkerRegistry } from "./workerRegistry.ts";

/** Time-out for the durable write of an acceptance or a cancellation. */
const DURABLE_WRITE_TIMEOUT_MILLISECONDS = 4_000;

/** Time for which the response to a cancellation waits for delivery to the parts of a split job. */
const CANCELLATION_DELIVERY_TIMEOUT_MILLISECONDS = 500;

/** Components of the shard's scheduler that the admission uses. */
export interface JobAdmissionComponents {
    readonly lifecycle: TaskLifecycle;
    readonly splitJobs: SplitJobs;
    readonly workers: WorkerRegistry;
    readonly statistics: ShardStatistics;
    /** Whether this process has released the shard, so that a new owner loads its jobs. */
    readonly isClosed: () => boolean;
}

/** Job operations of one shard for callers. */
export class JobAdmission {
    private readonly context: ShardContext;
    private readonly components: JobAdmissionComponents;

    constructor(context: ShardContext, components: JobAdmissionComponents) {
        this.context = context;
        this.components = components;
    }

    /** Accepts a job durably if the shard is ready. A repeated submission returns the job of the first one. */
    async submit(submission: Submission, ready: boolean): Promise<Result<JobStatus, ServiceError>> {
        const knownEntry = this.context.jobRegistry.get(submission.id);
        if (knownEntry !== undefined) {
            return ok({ ...this.components.statistics.status(knownEntry), repeated: true });
        }
        const refusal = this.submissionRefusal(submission, ready);
        if (refusal !== undefined) {
            return err(refusal);
        }
        const entry = this.createEntry(submission);
        recordJobDecision(this.context, entry, Reason.Accepted, describeParts(entry.record));
        const acceptance = this.context.dependencies.jobs.accept(entry.record, submission.idempotencyKey)
            .then(accepted => accepted.map(({ record, repeated }) => this.completeAcceptance(entry, record, repeated)));
        const trackedAcceptance = this.context.pendingWrites.track(acceptance);
        const result = await withDeadline(
            this.context.dependencies.timers,
            DURABLE_WRITE_TIMEOUT_MILLISECONDS,
            trackedAcceptance,
        );
        // An acceptance that completes after the time-out still enqueues the job; only this caller is not notified.
        return result
            ?? err(
                serviceError(
                    ErrorKind.StoreOutcomeUnknown,
                    `acceptance of job ${submission.id} is not confirmed yet; request its status`,
                ),
            );
    }

    /** Enqueues a job whose record is durable, unless it repeats another one or a new owner will load it. */
    private completeAcceptance(entry: JobEntry, record: JobRecord, repeated: boolean): JobStatus {
        if (repeated) {
            return this.repeatedStatus(record);
        }
        if (!this.components.isClosed() && this.context.jobRegistry.get(record.id) === undefined) {
            this.context.jobRegistry.add(entry);
            this.components.lifecycle.enqueueJob(entry);
        }
        return this.components.statistics.status(this.context.jobRegistry.get(record.id) ?? entry);
    }

    /** Cancels a job. Resolves once the cancellation is durable or the time-out has passed. */
    async cancel(job: string): Promise<Result<JobStatus, ServiceError>> {
        const entry = this.context.jobRegistry.get(job);
        if (entry === undefined) {
            return err(this.jobNotFound(job));
        }
        if (isFinished(entry.record.state) && entry.pendingWrites === 0) {
            return ok(this.components.statistics.status(entry));
        }
        // The write is retried during an outage of the table; only this caller is not notified of its success.
        const { timers } = this.context.dependencies;
        const isDurable = await withDeadline(
            timers,
            DURABLE_WRITE_TIMEOUT_MILLISECONDS,
            this.recordCancellation(entry),
        );
        if (isDurable !== true) {
            return err(serviceError(ErrorKind.StoreOutcomeUnknown, `cancellation of job ${job} is not durable yet`));
        }
        if (entry.record.parts !== undefined) {
            await withDeadline(
                timers,
                CANCELLATION_DELIVERY_TIMEOUT_MILLISECONDS,
                this.components.splitJobs.deliverCancellation(entry),
            );
        }
        return ok(this.components.statistics.status(entry));
    }

    private recordCancellation(entry: JobEntry): Promise<boolean> {
        const { splitJobs, lifecycle } = this.components;
        if (entry.record.parts !== undefined) {
            return splitJobs.cancel(entry);
        }
        return isFinished(entry.record.state)
            ? lifecycle.persistRecord(entry)
            : lifecycle.finishJob(entry, JobState.Cancelled, Reason.CancelledByCaller);
    }

    /** Current status of a job, including its decisions. */
    status(job: string): Result<JobStatus, ServiceError> {
        const entry = this.context.jobRegistry.get(job);
        return entry === undefined ? err(this.jobNotFound(job)) : ok(this.components.statistics.status(entry));
    }

    private submissionRefusal(submission: Submission, ready: boolean): ServiceError | undefined {
        if (!ready) {
            return serviceError(
                ErrorKind.ShardNotReady,
                `shard ${this.context.shard} is not ready: its new owner is loading it, or it is being handed over`,
            );
        }
        const { maximumJobs } = this.context.dependencies.settings;
        if (this.context.jobRegistry.unfinishedJobs() >= maximumJobs) {
            return serviceError(
                ErrorKind.Overloaded,
                `shard ${this.context.shard} has reached its limit of ${maximumJobs} unfinished jobs`,
            );
        }
        const { size, tasks, allAtOnce } = submission.specification;
        // Without any worker the VM list has probably not been read yet, so feasibility cannot be decided.
        if (!this.components.workers.hasAttachedAllWorkers() || this.components.workers.sessionStates().length === 0) {
            return undefined;
        }
        const feasibility = this.context.policy.checkFeasibility(size, tasks, allAtOnce);
        if (feasibility.feasible) {
            return undefined;
        }
        return serviceError(
            ErrorKind.NeverRunnable,
            `${feasibility.reason}; the nearest feasible size is ${describeSize(feasibility.nearest)}`,
            { ...feasibility.nearest },
        );
    }

    private createEntry(submission: Submission): JobEntry {
        const { timers } = this.context.dependencies;
        const record: JobRecord = {
            id: submission.id,
            specification: submission.specification,
            workClass: submission.workClass,
            shard: this.context.shard,
            acceptedEpoch: this.context.epoch,
            state: JobState.Queued,
            submittedAt: submission.submittedAt,
            succeededTasks: [],
            intents: [],
            decisions: [],
            ...this.createParts(submission),
        };
        return createJobEntry(record, timers.now(), timers.wallClock(), false);
    }

    /** Parts of a service job that is split over several failure domains; none for a job that stays in this shard. */
    private createParts(submission: Submission): Pick<JobRecord, "parts"> {
        const plan = this.context.dependencies.partAccess?.planParts(submission) ?? [];
        const parts = plan.map(({ shard, tasks }, position): JobPart => ({
            id: partIdentifier(submission.id, shard, position),
            shard,
            tasks,
        }));
        return parts.length < 2 ? {} : { parts };
    }

    private repeatedStatus(record: JobRecord): JobStatus {
        const entry = this.context.jobRegistry.get(record.id);
        const status = entry === undefined
            ? statusOfRecord(record)
            : this.components.statistics.status(entry);
        return { ...status, repeated: true };
    }

    private jobNotFound(job: string): ServiceError {
        return serviceError(ErrorKind.JobNotFound, `shard ${this.context.shard} has no job ${job}`);
    }
}

/** Lists the parts in the decision that accepts a split job. */
function describeParts({ parts }: JobRecord): DecisionDetails {
    return parts === undefined
        ? {}
        : { detail: `in parts: ${parts.map(({ shard, tasks }) => `${tasks} tasks in ${shard}`).join(", ")}` };
}
