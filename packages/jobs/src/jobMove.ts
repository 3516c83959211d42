/**
 * Moves of jobs between shards. One transaction under the giver's epoch turns the rows of the jobs into pointers and
 * creates a row and an arrival row of each in the other shard. The receiver deletes the arrival row under its own epoch before it may
 * start the job, so that neither a lost message nor a former owner can lose or double it.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord, ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableService, TableTransaction } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { arrivalPrefix, jobKey, parseJobRow } from "./jobRow.ts";
import type { KnownJob } from "./knownJobs.ts";
import type { ResentTransactions } from "./resentTransactions.ts";

/** Pause after an attempt that found the table down, in milliseconds. */
const RETRY_MILLISECONDS = 500;

/** A job and the shard to which it goes. */
export interface JobMove {
    readonly record: JobRecord;
    readonly target: ShardId;
}

/** What transactions of one shard's owner are sent with. */
export interface MoveContext {
    readonly condition: RowCondition;
    readonly timers: Timers;
    readonly transactions: ResentTransactions;
    readonly nextTransactionId: () => string;
    /** Why nothing may be sent any more, once the shard was given up. */
    readonly closedBy: () => ServiceError | undefined;
}

/**
 * Writes that move a job. Its row must be known and have no change under way. `targetVersion` is that of the job's row
 * in the other shard: a pointer when the job was there before, else 0 for none.
 */
export function moveWrites({ record, target }: JobMove, known: KnownJob, targetVersion: number): ConditionalWrite[] {
    const idempotencyKey = known.submission === undefined
        ? {}
        : { idempotencyKey: decodeURIComponent(known.submission.slice(known.submission.lastIndexOf("/") + 1)) };
    const movedFrom = [...record.movedFrom ?? [], record.shard];
    // Epoch 0 makes a later owner of the other shard look for running tasks of the job first.
    const moved = { record: { ...record, shard: target, acceptedEpoch: 0, movedFrom }, ...idempotencyKey };
    const pointer = { record: { ...record, movedTo: target }, ...idempotencyKey };
    return [
        { key: jobKey(record.shard, record.id), expectedVersion: known.version, value: pointer },
        { key: jobKey(target, record.id), expectedVersion: targetVersion, value: moved },
        { key: `${arrivalPrefix(target)}${record.id}`, expectedVersion: 0, value: {} },
    ];
}

/**
 * Version of the pointer that the target holds to the job, 0 for none; `undefined` when the target holds the job itself
 * or the shard was given up. Only a job that was in the target before can have a row there.
 */
export async function targetVersion(
    context: MoveContext,
    table: Pick<TableService, "read">,
    { record, target }: JobMove,
): Promise<number | undefined> {
    if (record.movedFrom?.includes(target) !== true) {
        return 0;
    }
    while (context.closedBy() === undefined) {
        const row = await table.read(jobKey(target, record.id));
        if (row.isErr()) {
            await sleep(context.timers, RETRY_MILLISECONDS);
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
 * Commits the writes of several jobs under the shard's epoch in one transaction, through outages of the table, until the
 * shard is given up. Jobs of which a row was changed outside the shard are left out. Returns the jobs that were written.
 */
export async function commitMoves(
    context: MoveContext,
    writesOfJobs: ReadonlyMap<string, readonly ConditionalWrite[]>,
): Promise<Result<readonly string[], ServiceError>> {
    const remaining = new Map(writesOfJobs);
    while (remaining.size > 0) {
        const conflicts = await commitOnce(context, [...remaining.values()].flat());
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

/** Sends one transaction until it is decided. Returns the keys that kept it from being committed. */
async function commitOnce(
    context: MoveContext,
    writes: readonly ConditionalWrite[],
): Promise<Result<readonly string[], ServiceError>> {
    const transaction: TableTransaction = { id: context.nextTransactionId(), conditions: [context.condition], writes };
    let unknown: ServiceError | undefined;
    for (;;) {
        const closedBy = context.closedBy();
        if (closedBy !== undefined) {
            return err(closedBy);
        }
        const answer = await context.transactions.commit(transaction, unknown);
        if (answer.isErr()) {
            unknown = answer.error.kind === ErrorKind.StoreOutcomeUnknown ? answer.error : unknown;
            await sleep(context.timers, RETRY_MILLISECONDS);
            continue;
        }
        if (answer.value.committed) {
            return ok([]);
        }
        return answer.value.conflicts.includes(context.condition.key)
            ? err(serviceError(ErrorKind.StaleEpoch, "The shard has a newer owner."))
            : ok(answer.value.conflicts);
    }
}
