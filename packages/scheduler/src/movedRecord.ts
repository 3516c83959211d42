/** Reads job records in the table by following the pointers that moves of a job between shards leave behind. */
import type { ServiceError } from "@tanagerlink/errors";
import type { JobStore } from "@tanagerlink/jobs";
import type { JobRecord } from "@tanagerlink/model";
import type { Result } from "neverthrow";

/**
 * Reads the record in the shard to which the job was last moved; `undefined` if there is none. Passes on table errors.
 */
export async function readMovedRecord(
    jobs: Pick<JobStore, "read">,
    shard: string,
    job: string,
): Promise<Result<JobRecord | undefined, ServiceError>> {
    const record = await jobs.read(shard, job);
    const movedTo = record.isOk() ? record.value?.movedTo : undefined;
    // Each pointer names the target of the job's latest move out of that shard, so the chain ends at the job.
    return movedTo === undefined ? record : readMovedRecord(jobs, movedTo, job);
}
