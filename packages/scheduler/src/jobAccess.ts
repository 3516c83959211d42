/** Submits, reads and cancels jobs in whichever process owns them. The status of a split job includes its parts. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobStore } from "@tanagerlink/jobs";
import { isFinished, type JobRecord } from "@tanagerlink/model";
import { type Timers, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { JobRouter } from "./jobRouter.ts";
import { readMovedRecord } from "./movedRecord.ts";
import type { ShardAccess } from "./shardAccess.ts";
import { mergePartStatuses, type StatusLookup } from "./splitStatus.ts";
import { type JobStatus, shardOfJob, statusOfRecord, type Submission } from "./submission.ts";

/** Time-out for the status of one part from its owner, and again from the table. */
const PART_LOOKUP_TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies of {@link JobAccess}. */
export interface JobAccessDependencies {
    readonly router: JobRouter;
    readonly shardAccess: ShardAccess;
    readonly jobs: JobStore;
    readonly timers: Timers;
}

/** Job operations for the callers of this process. */
export class JobAccess {
    private readonly dependencies: JobAccessDependencies;

    constructor(dependencies: JobAccessDependencies) {
        this.dependencies = dependencies;
    }

    async submit(draft: Omit<Submission, "id" | "shard">): Promise<Result<JobStatus, ServiceError>> {
        const result = await this.dependencies.router.submit(draft);
        // The shards of a new job's parts have not confirmed their arrival yet, so there is no newer status to read.
        return result.isOk() && result.value.repeated === true ? ok(await this.includeParts(result.value)) : result;
    }

    /** Status of a job from its owner, or from the table when the owner cannot be reached. */
    async status(job: string): Promise<Result<JobStatus, ServiceError>> {
        const lookup = await this.lookUpStatus(job);
        return lookup.isOk() ? ok(await this.includeParts(lookup.value.status)) : err(lookup.error);
    }

    async cancel(job: string): Promise<Result<JobStatus, ServiceError>> {
        const cancelled = await this.cancelWithoutParts(job);
        return cancelled.isOk() ? ok(await this.includeParts(cancelled.value)) : cancelled;
    }

    /** Cancels a job without adding the status of its parts to the result. */
    async cancelWithoutParts(job: string): Promise<Result<JobStatus, ServiceError>> {
        const { shardAccess, jobs } = this.dependencies;
        const shard = shardOfJob(job);
        if (shard === undefined) {
            return err(invalidIdentifierError(job));
        }
        const response = await shardAccess.cancel(shard, job);
        if (response.isOk()) {
            return response;
        }
        const record = await readMovedRecord(jobs, shard, job);
        const currentShard = record.isOk() ? record.value?.shard : undefined;
        if (currentShard === undefined) {
            return response;
        }
        // A job that was moved back to its first shard is not known there until its arrival is confirmed.
        const currentResponse = currentShard === shard ? response : await shardAccess.cancel(currentShard, job);
        return currentResponse.mapErr(error =>
            error.kind === ErrorKind.JobNotFound && (currentShard !== shard || isArrivalPending(record))
                ? arrivalPendingError(job, currentShard)
                : error
        );
    }

    private async lookUpStatus(job: string): Promise<Result<StatusLookup, ServiceError>> {
        const { shardAccess, jobs } = this.dependencies;
        const shard = shardOfJob(job);
        if (shard === undefined) {
            return err(invalidIdentifierError(job));
        }
        const response = await shardAccess.status(shard, job);
        if (response.isOk()) {
            return ok({ status: response.value, unreachable: false });
        }
        const record = await readMovedRecord(jobs, shard, job);
        const currentShard = record.isOk() ? record.value?.shard : undefined;
        if (currentShard === undefined || currentShard === shard) {
            return statusFromRecord(job, record);
        }
        const currentResponse = await shardAccess.status(currentShard, job);
        return currentResponse.isOk()
            ? ok({ status: currentResponse.value, unreachable: false })
            : statusFromRecord(job, record);
    }

    private async includeParts(status: JobStatus): Promise<JobStatus> {
        return status.parts === undefined
            ? status
            : mergePartStatuses(status, await Promise.all(status.parts.map(part => this.lookUpPart(part.id))));
    }

    /** The time-outs keep a part in an unreachable failure domain from delaying the status of the other parts. */
    private async lookUpPart(part: string): Promise<StatusLookup | undefined> {
        const { timers, jobs } = this.dependencies;
        const lookup = await withDeadline(timers, PART_LOOKUP_TIMEOUT_MILLISECONDS, this.lookUpStatus(part));
        if (lookup !== undefined) {
            return lookup.unwrapOr(undefined);
        }
        const read = await withDeadline(
            timers,
            PART_LOOKUP_TIMEOUT_MILLISECONDS,
            readMovedRecord(jobs, shardOfJob(part) ?? "", part),
        );
        return read === undefined ? undefined : statusFromRecord(part, read).unwrapOr(undefined);
    }
}

/** Whether the record is of an unfinished job, which no owner may know until its arrival is confirmed. */
function isArrivalPending(record: Result<JobRecord | undefined, ServiceError>): boolean {
    return record.isOk() && record.value !== undefined && !isFinished(record.value.state);
}

function arrivalPendingError(job: string, shard: string): ServiceError {
    return serviceError(
        ErrorKind.ShardNotReady,
        `shard ${shard} has not confirmed the arrival of job ${job} yet; repeat the call`,
    );
}

function invalidIdentifierError(job: string): ServiceError {
    return serviceError(ErrorKind.JobNotFound, `"${job}" is not a valid job identifier`);
}

function statusFromRecord(
    job: string,
    record: Result<JobRecord | undefined, ServiceError>,
): Result<StatusLookup, ServiceError> {
    return record.andThen(value =>
        value === undefined
            ? err(serviceError(ErrorKind.JobNotFound, `job ${job} does not exist`))
            : ok({ status: statusOfRecord(value), unreachable: true })
    );
}
