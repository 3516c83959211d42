/** Selects the jobs of one group commit and builds the table transaction that writes their records. */
import type { ConditionalWrite, RowCondition, TableTransaction } from "@tanagerlink/platform";
import { jobKey, specificationDigest, submissionKey, type SubmissionRowValue } from "./jobRow.ts";
import type { JobRowVersions } from "./jobRowVersions.ts";
import { partWrites, storedRecord } from "./partRows.ts";
import type { PendingJob } from "./pendingJob.ts";

export interface CommitBatchItem {
    readonly job: PendingJob;
    /** Revision of the record that the transaction writes; the job may have a newer one by the time of the commit. */
    readonly revision: number;
    /** Whether the transaction deletes the rows of the job. */
    readonly isDeletion: boolean;
}

export interface CommitBatch {
    readonly transaction: TableTransaction;
    readonly items: readonly CommitBatchItem[];
}

/**
 * Selects the first pending jobs, up to `limit` records. Of several jobs with the same idempotency key, only the first
 * is selected and the others wait for its outcome: one transaction that writes the submission row twice would accept
 * both.
 */
export function selectJobs(pending: Iterable<PendingJob>, limit: number): readonly PendingJob[] {
    const selected: PendingJob[] = [];
    const submissionKeys = new Set<string>();
    let records = 0;
    for (const job of pending) {
        const key = submissionKeyOf(job);
        if (records < limit && (key === undefined || !submissionKeys.has(key))) {
            selected.push(job);
            // Each part of a split job adds one record.
            records += 1 + (job.record.parts?.length ?? 0);
            submissionKeys.add(key ?? "");
        }
    }
    return selected;
}

/** Builds the transaction that writes the latest records of the jobs. */
export function buildBatch(
    shard: string,
    id: string,
    condition: RowCondition,
    jobs: readonly PendingJob[],
    rowVersions: JobRowVersions,
): CommitBatch {
    const writes = jobs.flatMap(job =>
        job.isRemoved ? deletionWrites(shard, job, rowVersions) : upsertWrites(shard, job, rowVersions)
    );
    return {
        transaction: { id, conditions: [condition], writes },
        items: jobs.map(job => ({ job, revision: job.revision, isDeletion: job.isRemoved })),
    };
}

/** Key of the submission row of a new job; `undefined` when it has no idempotency key. */
export function submissionKeyOf({ record, idempotencyKey }: PendingJob): string | undefined {
    return idempotencyKey === undefined ? undefined : submissionKey(record.specification.team, idempotencyKey);
}

function upsertWrites(shard: string, job: PendingJob, rowVersions: JobRowVersions): ConditionalWrite[] {
    const { record } = job;
    const stored = rowVersions.get(record.id);
    const idempotencyKey = stored === undefined ? job.idempotencyKey : idempotencyKeyOf(stored.submissionKey);
    const write: ConditionalWrite = {
        key: jobKey(shard, record.id),
        expectedVersion: stored?.version ?? 0,
        value: { record: storedRecord(record), ...(idempotencyKey === undefined ? {} : { idempotencyKey }) },
    };
    if (stored !== undefined) {
        return [write];
    }
    const key = submissionKeyOf(job);
    const writes = [write, ...partWrites(record)];
    if (key === undefined) {
        return writes;
    }
    const value: SubmissionRowValue = {
        shard,
        job: record.id,
        digest: specificationDigest(record.specification),
    };
    return [...writes, { key, expectedVersion: 0, value }];
}

function deletionWrites(shard: string, { record }: PendingJob, rowVersions: JobRowVersions): ConditionalWrite[] {
    const stored = rowVersions.get(record.id);
    if (stored === undefined) {
        return [];
    }
    const job = { key: jobKey(shard, record.id), expectedVersion: stored.version, value: undefined };
    return stored.submissionKey === undefined
        ? [job]
        : [job, { key: stored.submissionKey, expectedVersion: stored.submissionVersion, value: undefined }];
}

/** Idempotency key in the key of a submission row. The job row holds it too, so that both can be deleted together. */
function idempotencyKeyOf(rowKey: string | undefined): string | undefined {
    return rowKey === undefined ? undefined : decodeURIComponent(rowKey.slice(rowKey.lastIndexOf("/") + 1));
}
