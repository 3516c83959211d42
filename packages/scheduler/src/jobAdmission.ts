/** Acceptance, cancellation and status of the jobs of one shard. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { isFinished, type JobPart, type JobRecord, JobState, Reason } from "@tanagerlink/model";
import { withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { createJobEntry, describeSize, type JobEntry } from "./jobEntry.ts";
import { decide, type DecisionFacts, type ShardContext } from "./shardContext.ts";
import type { ShardStatistics } from "./shardStatistics.ts";
import type { SplitJobs } from "./splitJobs.ts";
import { type JobStatus, partIdentifier, statusOfRecord, type Submission } from "./submission.ts";
import type { TaskLifecycle } from "./taskLifecycle.ts";
import type { WorkerRegistry } from "./workerRegistry.ts";

/** Longest wait for the durable acceptance or cancellation of a job, in milliseconds. */
const ACCEPT_MILLISECONDS = 4_000;

/** Time for which the answer to a cancellation waits for the parts of a split job, in milliseconds. */
const DELIVER_MILLISECONDS = 500;

/** What the admission of one shard uses. */
export interface JobAdmissionParts {
    readonly lifecycle: TaskLifecycle;
    readonly split: SplitJobs;
    readonly workers: WorkerRegistry;
    readonly statistics: ShardStatistics;
    /** Whether the shard was given up, so that a new owner reads its jobs. */
    readonly closed: () => boolean;
}

/** Jobs of one shard towards callers. */
export class JobAdmission {
    private readonly context: ShardContext;
    private readonly parts: JobAdmissionParts;

    constructor(context: ShardContext, parts: JobAdmissionParts) {
        this.context = context;
        this.parts = parts;
    }

    /** Accepts a job durably if the shard is ready. Repeating a submission answers with the first one's job. */
    async submit(submission: Submission, ready: boolean): Promise<Result<JobStatus, ServiceError>> {
        const known = this.context.book.get(submission.id);
        if (known !== undefined) {
            return ok({ ...this.parts.statistics.status(known), repeated: true });
        }
        const refusal = this.submissionRefusal(submission, ready);
        if (refusal !== undefined) {
            return err(refusal);
        }
        const entry = this.createEntry(submission);
        decide(this.context, entry, Reason.Accepted, describeParts(entry.record));
        const acceptance = this.context.dependencies.jobs.accept(entry.record, submission.idempotencyKey)
            .then(accepted => accepted.map(({ record, repeated }) => this.accepted(entry, record, repeated)));
        const tracked = this.context.writes.track(acceptance);
        const result = await withDeadline(this.context.dependencies.timers, ACCEPT_MILLISECONDS, tracked);
        // A late acceptance still takes the job into the queue; only this caller does not learn of it.
        return result
            ?? err(
                serviceError(ErrorKind.StoreOutcomeUnknown, `job ${submission.id} may be accepted; ask for its status`),
            );
    }

    /** The job is durable: it enters the queue, unless it repeats another one or a new owner will read it. */
    private accepted(entry: JobEntry, record: JobRecord, repeated: boolean): JobStatus {
        if (repeated) {
            return this.repeatedStatus(record);
        }
        if (!this.parts.closed() && this.context.book.get(record.id) === undefined) {
            this.context.book.add(entry);
            this.parts.lifecycle.enqueue(entry);
        }
        return this.parts.statistics.status(this.context.book.get(record.id) ?? entry);
    }

    /** Cancels a job. The answer comes once the cancellation is durable. */
    async cancel(job: string): Promise<Result<JobStatus, ServiceError>> {
        const entry = this.context.book.get(job);
        if (entry === undefined) {
            return err(this.jobNotFound(job));
        }
        if (isFinished(entry.record.state) && entry.pendingWrites === 0) {
            return ok(this.parts.statistics.status(entry));
        }
        // The write goes on through an outage of the store; only this caller does not learn of it.
        const { timers } = this.context.dependencies;
        const durable = await withDeadline(timers, ACCEPT_MILLISECONDS, this.recordCancellation(entry));
        if (durable !== true) {
            return err(serviceError(ErrorKind.StoreOutcomeUnknown, `the cancellation of ${job} is not durable yet`));
        }
        if (entry.record.parts !== undefined) {
            await withDeadline(timers, DELIVER_MILLISECONDS, this.parts.split.deliver(entry));
        }
        return ok(this.parts.statistics.status(entry));
    }

    private recordCancellation(entry: JobEntry): Promise<boolean> {
        const { split, lifecycle } = this.parts;
        if (entry.record.parts !== undefined) {
            return split.cancel(entry);
        }
        return isFinished(entry.record.state)
            ? lifecycle.persist(entry)
            : lifecycle.finish(entry, JobState.Cancelled, Reason.CancelledByCaller);
    }

    /** Current state of a job with its decisions. */
    status(job: string): Result<JobStatus, ServiceError> {
        const entry = this.context.book.get(job);
        return entry === undefined ? err(this.jobNotFound(job)) : ok(this.parts.statistics.status(entry));
    }

    private submissionRefusal(submission: Submission, ready: boolean): ServiceError | undefined {
        if (!ready) {
            return serviceError(
                ErrorKind.ShardNotReady,
                `shard ${this.context.shard} is not ready: it is being read by its new owner or handed over`,
            );
        }
        const { maximumJobs } = this.context.dependencies.settings;
        if (this.context.book.unfinishedJobs() >= maximumJobs) {
            return serviceError(ErrorKind.Overloaded, `shard ${this.context.shard} has ${maximumJobs} unfinished jobs`);
        }
        const { size, tasks, allAtOnce } = submission.specification;
        // Without any worker the VM list was probably not read yet; that tells nothing about what can run.
        if (!this.parts.workers.allAttached() || this.parts.workers.states().length === 0) {
            return undefined;
        }
        const feasibility = this.context.policy.feasibility(size, tasks, allAtOnce);
        if (feasibility.feasible) {
            return undefined;
        }
        return serviceError(
            ErrorKind.NeverRunnable,
            `${feasibility.reason}; the nearest shape that could run is ${describeSize(feasibility.nearest)}`,
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
            ...this.partsOf(submission),
        };
        return createJobEntry(record, timers.now(), timers.wallClock(), false);
    }

    /** Parts of a service job over several failure domains; nothing for a job that stays in this shard. */
    private partsOf(submission: Submission): Pick<JobRecord, "parts"> {
        const plan = this.context.dependencies.parts?.plan(submission) ?? [];
        const parts = plan.map(({ shard, tasks }, position): JobPart => ({
            id: partIdentifier(submission.id, shard, position),
            shard,
            tasks,
        }));
        return parts.length < 2 ? {} : { parts };
    }

    private repeatedStatus(record: JobRecord): JobStatus {
        const entry = this.context.book.get(record.id);
        const status = entry === undefined
            ? statusOfRecord(record)
            : this.parts.statistics.status(entry);
        return { ...status, repeated: true };
    }

    private jobNotFound(job: string): ServiceError {
        return serviceError(ErrorKind.JobNotFound, `shard ${this.context.shard} has no job ${job}`);
    }
}

/** Names the parts in the decision that accepts a split job. */
function describeParts({ parts }: JobRecord): DecisionFacts {
    return parts === undefined
        ? {}
        : { detail: `in parts: ${parts.map(({ shard, tasks }) => `${tasks} tasks in ${shard}`).join(", ")}` };
}
