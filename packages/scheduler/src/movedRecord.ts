/** Reading of job records in the table, where a job may have been moved several times. */
import type { ServiceError } from "@tanagerlink/errors";
import type { JobStore } from "@tanagerlink/jobs";
import type { JobRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/** The record in the shard to which the job was moved last; `undefined` when there is none. Errors: those of the table. */
export async function readMovedRecord(
    jobs: Pick<JobStore, "read">,
    shard: string,
    job: string,
): Promise<Result<JobRecord | undefined, ServiceError>> {
    const record = await jobs.read(shard, job);
    const movedTo = record.isOk() ? record.value?.movedTo : undefined;
    // Each pointer names where the job went when it left the shard last, so following them ends at the job.
    return movedTo === undefined ? record : readMovedRecord(jobs, movedTo, job);
}
