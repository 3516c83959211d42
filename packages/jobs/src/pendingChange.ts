/** Changes of job rows that wait to be written. */
import type { ServiceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import type { ConditionalWrite, TableRow } from "@tanagerlink/platform";
import { err, type Result } from "neverthrow";
import {
    arrivalPrefix,
    jobKey,
    type JobRowValue,
    specificationDigest,
    submissionKey,
    type SubmissionRowValue,
} from "./jobRow.ts";
import type { AcceptedJob } from "./jobStore.ts";

/** What is to be written for one job. */
export interface PendingChange {
    readonly key: string;
    /** `undefined` deletes the job's rows. */
    value: JobRowValue | undefined;
    /** Set for a new job, whose acceptance may be answered with an earlier one. */
    acceptance: ((result: Result<AcceptedJob, ServiceError>) => void) | undefined;
    readonly waiters: ((result: Result<void, ServiceError>) => void)[];
    /** An earlier attempt may have taken effect. */
    uncertain: boolean;
    /** Rows that a move creates together with the pointer. */
    readonly created?: readonly ConditionalWrite[];
}

/** The change that turns the row of a job into a pointer and creates its rows in the other shard. */
export function moveChange(
    record: JobRecord,
    shard: string,
    idempotencyKey: string | undefined,
    settle: (result: Result<void, ServiceError>) => void,
): PendingChange {
    const keyPart = idempotencyKey === undefined ? {} : { idempotencyKey };
    // Epoch 0 makes a later owner of the other shard look for running tasks of the job first.
    const moved: JobRowValue = { record: { ...record, shard, acceptedEpoch: 0 }, ...keyPart };
    return {
        key: jobKey(record.shard, record.id),
        value: { record: { ...record, movedTo: shard }, ...keyPart },
        acceptance: undefined,
        waiters: [settle],
        uncertain: false,
        created: [
            { key: jobKey(shard, record.id), expectedVersion: 0, value: moved },
            { key: `${arrivalPrefix(shard)}${record.id}`, expectedVersion: 0, value: {} },
        ],
    };
}

/**
 * Whether an earlier attempt of a change, whose answer was lost, took effect: the rows of a move are created by nobody
 * else, and only the owner deletes a row.
 */
export function isDone(
    change: PendingChange,
    conflicts: ReadonlySet<string>,
    rows: ReadonlyMap<string, TableRow>,
): boolean {
    return change.created?.some(({ key }) => conflicts.has(key)) === true
        || (change.value === undefined && conflicts.has(change.key) && !rows.has(change.key));
}

/** The row of the idempotency key that a new job writes; `undefined` when it has no key. */
export function submissionOf(
    value: JobRowValue | undefined,
): { readonly key: string; readonly value: SubmissionRowValue; } | undefined {
    if (value?.idempotencyKey === undefined) {
        return undefined;
    }
    const { id, shard, specification } = value.record;
    return {
        key: submissionKey(specification.team, value.idempotencyKey),
        value: { shard, job: id, digest: specificationDigest(specification) },
    };
}

/** Answers everyone who waits for the change with an error. */
export function refuse(change: PendingChange, error: ServiceError): void {
    change.acceptance?.(err(error));
    change.waiters.forEach(resolve => resolve(err(error)));
}
