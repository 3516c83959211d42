/**
 * Moves jobs between shards. One transaction under the epoch of the source shard turns the rows of the jobs into
 * pointers and creates a job row and an arrival row for each job in the target shard. The owner of the target shard
 * deletes the arrival row under its own epoch before it may start the job, so that neither a lost message nor a
 * previous owner can lose or duplicate the job.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord, ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableService, TableTransaction } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { arrivalPrefix, jobKey, parseJobRow } from "./jobRow.ts";
import type { JobRowVersion } from "./jobRowVersions.ts";
import type { TransactionRetrier } from "./transactionRetrier.ts";

/** Delay before the next attempt after the table was unavailable. */
const RETRY_DELAY_MILLISECONDS = 500;

/** A job and the shard to which it is moved. */
export interface JobMove {
    readonly record: JobRecord;
    readonly target: ShardId;
}

/** Dependencies of the transactions that the owner of one shard sends. */
export interface TransactionContext {
    readonly condition: RowCondition;
    readonly timers: Timers;
    readonly transactions: TransactionRetrier;
    readonly nextTransactionId: () => string;
    /** The error with which writing for the shard ended; `undefined` while transactions may be sent. */
    readonly closeError: () => ServiceError | undefined;
}

/**
 * Builds the writes that move a job. No other change of its row may be in flight. `targetVersion` is the version of the
 * job's row in the target shard, which is a pointer if the job was there before; 0 if there is no row.
 */
export function buildMoveWrites(
    { record, target }: JobMove,
    stored: JobRowVersion,
    targetVersion: number,
): ConditionalWrite[] {
    const idempotencyKeyField = stored.submissionKey === undefined
        ? {}
        : { idempotencyKey: decodeURIComponent(stored.submissionKey.slice(stored.submissionKey.lastIndexOf("/") + 1)) };
    const movedFrom = [...record.movedFrom ?? [], record.shard];
    // Epoch 0 makes every owner of the target shard check for running tasks of the job before it starts any.
    const movedJob = { record: { ...record, shard: target, acceptedEpoch: 0, movedFrom }, ...idempotencyKeyField };
    const pointer = { record: { ...record, movedTo: target }, ...idempotencyKeyField };
    return [
        { key: jobKey(record.shard, record.id), expectedVersion: stored.version, value: pointer },
        { key: jobKey(target, record.id), expectedVersion: targetVersion, value: movedJob },
        { key: `${arrivalPrefix(target)}${record.id}`, expectedVersion: 0, value: {} },
    ];
}

/**
 * Reads the version of the pointer to the job in the target shard: 0 if there is none, `undefined` if the target shard
 * holds the job itself or writing for the source shard has ended. Only a job that was in the target shard before can
 * have a row there, so the table is not read for any other.
 */
export async function readTargetVersion(
    context: TransactionContext,
    table: Pick<TableService, "read">,
    { record, target }: JobMove,
): Promise<number | undefined> {
    if (record.movedFrom?.includes(target) !== true) {
        return 0;
    }
    while (context.closeError() === undefined) {
        const row = await table.read(jobKey(target, record.id));
        if (row.isErr()) {
            await sleep(context.timers, RETRY_DELAY_MILLISECONDS);
            continue;
        }
        if (row.value === undefined) {
            return 0;
        }
        return parseJobRow(row.value)?.record.movedTo === undefined ? undefined : row.value.version;
    }
    return undefined;
}

/**
 * Commits the writes of several jobs in one transaction under the shard's epoch. Retries through outages of the table
 * until writing for the shard ends. Jobs with a row that was changed outside the shard are left out. Returns the
 * identifiers of the jobs that were written.
 */
export async function commitJobWrites(
    context: TransactionContext,
    writesOfJobs: ReadonlyMap<string, readonly ConditionalWrite[]>,
): Promise<Result<readonly string[], ServiceError>> {
    const remaining = new Map(writesOfJobs);
    while (remaining.size > 0) {
        const conflicts = await commitTransaction(context, [...remaining.values()].flat());
        if (conflicts.isErr()) {
            return err(conflicts.error);
        }
        if (conflicts.value.length === 0) {
            break;
        }
        for (const [job, writes] of remaining) {
            if (writes.some(write => conflicts.value.includes(write.key))) {
                remaining.delete(job);
            }
        }
    }
    return ok([...remaining.keys()]);
}

/** Sends one transaction until its outcome is known. Returns the keys of conflicting rows, none if it committed. */
async function commitTransaction(
    context: TransactionContext,
    writes: readonly ConditionalWrite[],
): Promise<Result<readonly string[], ServiceError>> {
    const transaction: TableTransaction = { id: context.nextTransactionId(), conditions: [context.condition], writes };
    let unknownOutcome: ServiceError | undefined;
    for (;;) {
        const closeError = context.closeError();
        if (closeError !== undefined) {
            return err(closeError);
        }
        const outcome = await context.transactions.commit(transaction, unknownOutcome);
        if (outcome.isErr()) {
            unknownOutcome = outcome.error.kind === ErrorKind.StoreOutcomeUnknown ? outcome.error : unknownOutcome;
            await sleep(context.timers, RETRY_DELAY_MILLISECONDS);
            continue;
        }
        if (outcome.value.committed) {
            return ok([]);
        }
        return outcome.value.conflicts.includes(context.condition.key)
            ? err(serviceError(ErrorKind.StaleEpoch, "The transaction was refused: the shard has a newer owner."))
            : ok(outcome.value.conflicts);
    }
}
