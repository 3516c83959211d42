/** One transaction of the group commit and the records that it carries. */
import type { ConditionalWrite, RowCondition, TableTransaction } from "@tanagerlink/platform";
import { jobKey, specificationDigest, submissionKey, type SubmissionRowValue } from "./jobRow.ts";
import type { KnownJobs } from "./knownJobs.ts";
import { partWrites, storedRecord } from "./partRows.ts";
import type { PendingJob } from "./pendingJob.ts";

export interface BatchItem {
    readonly job: PendingJob;
    readonly revision: number;
    /** The transaction deletes the rows of the job. */
    readonly removes: boolean;
}

export interface Batch {
    readonly transaction: TableTransaction;
    readonly items: readonly BatchItem[];
}

/**
 * The first pending jobs, without a second one under the same idempotency key: it waits for the outcome of the first,
 * because one transaction that writes the submission row twice would accept both.
 */
export function chooseJobs(pending: Iterable<PendingJob>, limit: number): readonly PendingJob[] {
    const chosen: PendingJob[] = [];
    const submissions = new Set<string>();
    let records = 0;
    for (const job of pending) {
        const submission = submissionKeyOf(job);
        if (records < limit && (submission === undefined || !submissions.has(submission))) {
            chosen.push(job);
            // Each part of a split job adds a record of its own.
            records += 1 + (job.record.parts?.length ?? 0);
            submissions.add(submission ?? "");
        }
    }
    return chosen;
}

/** Builds the transaction that writes the newest records of the jobs. */
export function buildBatch(
    shard: string,
    id: string,
    condition: RowCondition,
    jobs: readonly PendingJob[],
    known: KnownJobs,
): Batch {
    const writes = jobs.flatMap(job => job.removed ? deletions(shard, job, known) : writesOf(shard, job, known));
    return {
        transaction: { id, conditions: [condition], writes },
        items: jobs.map(job => ({ job, revision: job.revision, removes: job.removed })),
    };
}

/** Key of the row that holds the idempotency key of a new job. */
export function submissionKeyOf({ record, idempotencyKey }: PendingJob): string | undefined {
    return idempotencyKey === undefined ? undefined : submissionKey(record.specification.team, idempotencyKey);
}

function writesOf(shard: string, job: PendingJob, known: KnownJobs): ConditionalWrite[] {
    const { record } = job;
    const stored = known.get(record.id);
    const idempotencyKey = stored === undefined ? job.idempotencyKey : keyOfSubmission(stored.submission);
    const write: ConditionalWrite = {
        key: jobKey(shard, record.id),
        expectedVersion: stored?.version ?? 0,
        value: { record: storedRecord(record), ...(idempotencyKey === undefined ? {} : { idempotencyKey }) },
    };
    if (stored !== undefined) {
        return [write];
    }
    const submission = submissionKeyOf(job);
    const writes = [write, ...partWrites(record)];
    if (submission === undefined) {
        return writes;
    }
    const value: SubmissionRowValue = {
        shard,
        job: record.id,
        digest: specificationDigest(record.specification),
    };
    return [...writes, { key: submission, expectedVersion: 0, value }];
}

function deletions(shard: string, { record }: PendingJob, known: KnownJobs): ConditionalWrite[] {
    const stored = known.get(record.id);
    if (stored === undefined) {
        return [];
    }
    const job = { key: jobKey(shard, record.id), expectedVersion: stored.version, value: undefined };
    return stored.submission === undefined
        ? [job]
        : [job, { key: stored.submission, expectedVersion: stored.submissionVersion, value: undefined }];
}

/** The idempotency key, which the row of the job repeats so that both rows can be deleted together. */
function keyOfSubmission(submission: string | undefined): string | undefined {
    return submission === undefined ? undefined : decodeURIComponent(submission.slice(submission.lastIndexOf("/") + 1));
}
