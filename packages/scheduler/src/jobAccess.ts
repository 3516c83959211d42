/** Submission, status and cancellation of jobs, wherever their owner is; a split job is shown with its parts. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobStore } from "@tanagerlink/jobs";
import { isFinished, type JobRecord } from "@tanagerlink/model";
import { type Timers, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { JobRouter } from "./jobRouter.ts";
import { readMovedRecord } from "./movedRecord.ts";
import type { ShardAccess } from "./shardAccess.ts";
import { type KnownPart, withParts } from "./splitStatus.ts";
import { type JobStatus, shardOfJob, statusOfRecord, type Submission } from "./submission.ts";

/** Longest wait for the status of one part from its owner, and then from the table, in milliseconds. */
const PART_MILLISECONDS = 1_000;

/** What jobs are reached through. */
export interface JobAccessDependencies {
    readonly router: JobRouter;
    readonly access: ShardAccess;
    readonly jobs: JobStore;
    readonly timers: Timers;
}

/** Jobs towards the callers of this process. */
export class JobAccess {
    private readonly dependencies: JobAccessDependencies;

    constructor(dependencies: JobAccessDependencies) {
        this.dependencies = dependencies;
    }

    async submit(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>> {
        const result = await this.dependencies.router.submit(draft);
        // The parts of a new job are not taken in by their shards yet.
        return result.isOk() && result.value.repeated === true ? ok(await this.withParts(result.value)) : result;
    }

    /** Status of a job from its owner, or from the table when the owner can't be asked. */
    async status(job: string): Promise<Result<JobStatus, ServiceError>> {
        const found = await this.find(job);
        return found.isOk() ? ok(await this.withParts(found.value.status)) : err(found.error);
    }

    async cancel(job: string): Promise<Result<JobStatus, ServiceError>> {
        const cancelled = await this.cancelOne(job);
        return cancelled.isOk() ? ok(await this.withParts(cancelled.value)) : cancelled;
    }

    /** Cancels a job without looking at its parts. */
    async cancelOne(job: string): Promise<Result<JobStatus, ServiceError>> {
        const { access, jobs } = this.dependencies;
        const shard = shardOfJob(job);
        if (shard === undefined) {
            return err(notAJob(job));
        }
        const answer = await access.cancel(shard, job);
        if (answer.isOk()) {
            return answer;
        }
        const record = await readMovedRecord(jobs, shard, job);
        const holder = record.isOk() ? record.value?.shard : undefined;
        if (holder === undefined) {
            return answer;
        }
        // A job that came back to its first shard is not known there until its arrival is confirmed.
        const moved = holder === shard ? answer : await access.cancel(holder, job);
        return moved.mapErr(error =>
            error.kind === ErrorKind.JobNotFound && (holder !== shard || arriving(record))
                ? notTakenIn(job, holder)
                : error
        );
    }

    private async find(job: string): Promise<Result<KnownPart, ServiceError>> {
        const { access, jobs } = this.dependencies;
        const shard = shardOfJob(job);
        if (shard === undefined) {
            return err(notAJob(job));
        }
        const answer = await access.status(shard, job);
        if (answer.isOk()) {
            return ok({ status: answer.value, unreachable: false });
        }
        const record = await readMovedRecord(jobs, shard, job);
        const holder = record.isOk() ? record.value?.shard : undefined;
        if (holder === undefined || holder === shard) {
            return ofRow(job, record);
        }
        const moved = await access.status(holder, job);
        return moved.isOk() ? ok({ status: moved.value, unreachable: false }) : ofRow(job, record);
    }

    private async withParts(status: JobStatus): Promise<JobStatus> {
        return status.parts === undefined
            ? status
            : withParts(status, await Promise.all(status.parts.map(part => this.findPart(part.id))));
    }

    /** A part in a failure domain that is cut off must not hold up the answer about the others. */
    private async findPart(part: string): Promise<KnownPart | undefined> {
        const { timers, jobs } = this.dependencies;
        const found = await withDeadline(timers, PART_MILLISECONDS, this.find(part));
        if (found !== undefined) {
            return found.unwrapOr(undefined);
        }
        const read = await withDeadline(timers, PART_MILLISECONDS, readMovedRecord(jobs, shardOfJob(part) ?? "", part));
        return read === undefined ? undefined : ofRow(part, read).unwrapOr(undefined);
    }
}

/** A job that waits for its arrival is known to nobody but the table. */
function arriving(record: Result<JobRecord | undefined, ServiceError>): boolean {
    return record.isOk() && record.value !== undefined && !isFinished(record.value.state);
}

function notTakenIn(job: string, shard: string): ServiceError {
    return serviceError(ErrorKind.ShardNotReady, `shard ${shard} has not taken in job ${job} yet; repeat the call`);
}

function notAJob(job: string): ServiceError {
    return serviceError(ErrorKind.JobNotFound, `${job} is not a job identifier`);
}

function ofRow(job: string, record: Result<JobRecord | undefined, ServiceError>): Result<KnownPart, ServiceError> {
    return record.andThen(value =>
        value === undefined
            ? err(serviceError(ErrorKind.JobNotFound, `there is no job ${job}`))
            : ok({ status: statusOfRecord(value), unreachable: true })
    );
}
