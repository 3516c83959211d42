/** Status and cancellation of a job by its identifier, at the shard in which it is now. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobStore } from "@tanagerlink/jobs";
import type { JobRecord } from "@tanagerlink/model";
import { err, ok, type Result } from "neverthrow";
import type { ShardAccess } from "./shardAccess.ts";
import { type JobStatus, shardOfJob, statusOfRecord } from "./submission.ts";

/** Finds jobs that may have been moved. */
export class JobLookup {
    private readonly access: ShardAccess;
    private readonly jobs: Pick<JobStore, "read">;

    constructor(access: ShardAccess, jobs: Pick<JobStore, "read">) {
        this.access = access;
        this.jobs = jobs;
    }

    /** Status of a job from its owner, or from the table when the owner can't be asked. */
    async status(job: string): Promise<Result<JobStatus, ServiceError>> {
        const shard = shardOfJob(job);
        if (shard === undefined) {
            return err(serviceError(ErrorKind.JobNotFound, `${job} is not a job identifier`));
        }
        const answer = await this.access.status(shard, job);
        if (answer.isOk()) {
            return answer;
        }
        const found = await this.find(shard, job);
        const last = found.isOk() ? found.value : undefined;
        if (last === undefined || last.shard === shard) {
            return statusOfRow(job, found);
        }
        const moved = await this.access.status(last.shard, job);
        return moved.isOk() ? moved : statusOfRow(job, found);
    }

    /** Reads the record of a job in the table, in the shard to which it was moved last. */
    private async find(shard: string, job: string): Promise<Result<JobRecord | undefined, ServiceError>> {
        const record = await this.jobs.read(shard, job);
        const movedTo = record.isOk() ? record.value?.movedTo : undefined;
        // Each pointer names where the job went when it left the shard last, so following them ends at the job.
        return movedTo === undefined ? record : this.find(movedTo, job);
    }

    async cancel(job: string): Promise<Result<JobStatus, ServiceError>> {
        const shard = shardOfJob(job);
        if (shard === undefined) {
            return err(serviceError(ErrorKind.JobNotFound, `${job} is not a job identifier`));
        }
        const answer = await this.access.cancel(shard, job);
        if (answer.isOk()) {
            return answer;
        }
        const found = await this.find(shard, job);
        const movedTo = found.isOk() ? found.value?.shard : undefined;
        if (movedTo === undefined) {
            return answer;
        }
        // A job that came back to its first shard is not known there until its arrival is confirmed.
        const moved = movedTo === shard ? answer : await this.access.cancel(movedTo, job);
        return moved.mapErr(error =>
            error.kind === ErrorKind.JobNotFound
                ? serviceError(
                    ErrorKind.ShardNotReady,
                    `job ${job} is being moved to shard ${movedTo}; repeat the call`,
                )
                : error
        );
    }
}

function statusOfRow(
    job: string,
    record: Result<JobRecord | undefined, ServiceError>,
): Result<JobStatus, ServiceError> {
    return record.andThen(value =>
        value === undefined
            ? err(serviceError(ErrorKind.JobNotFound, `there is no job ${job}`))
            : ok(statusOfRecord(value))
    );
}
