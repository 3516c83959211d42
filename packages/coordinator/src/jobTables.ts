/**
 * Tables of accepted jobs and of cancellations. Both are partitioned, since the store executes the transactions of a
 * partition sequentially.
 */

export const JOBS_TABLE = "jobs";
export const CANCELLATIONS_TABLE = "cancellations";

export const JOB_PARTITIONS: readonly string[] = [..."0123456789abcdef"];

/** Partition of a job's records, by the last digit of its identifier. */
export function partitionOf(job: string): string {
    const last = job.at(-1) ?? "0";
    return JOB_PARTITIONS.includes(last) ? last : "0";
}
