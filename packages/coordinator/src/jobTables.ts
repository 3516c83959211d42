/**
 * Tables of accepted jobs and of cancellations. Each is spread over partitions, since the transactions of one partition
 * are carried out one after another.
 */

export const JOBS_TABLE = "jobs";
export const CANCELLATIONS_TABLE = "cancellations";

export const JOB_PARTITIONS: readonly string[] = [..."0123456789abcdef"];

/** Partition of a job's records, by the last digit of its identifier. */
export function partitionOf(job: string): string {
    const last = job.at(-1) ?? "0";
    return JOB_PARTITIONS.includes(last) ? last : "0";
}
