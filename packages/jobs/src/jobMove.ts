/**
 * Moves of jobs between shards. One transaction under the giver's epoch turns the row of a job into a pointer and creates
 * its row and an arrival row in the other shard. The receiver deletes the arrival row under its own epoch before it may
 * start the job, so that neither a lost message nor a former owner can lose or double it.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { JobRecord } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableTransaction } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { arrivalPrefix, jobKey } from "./jobRow.ts";
import type { KnownJob } from "./knownJobs.ts";
import type { ResentTransactions } from "./resentTransactions.ts";

/** Pause after an attempt that found the table down, in milliseconds. */
const RETRY_MILLISECONDS = 500;

/** What transactions of one shard's owner are sent with. */
export interface MoveContext {
    readonly condition: RowCondition;
    readonly timers: Timers;
    readonly transactions: ResentTransactions;
    readonly nextTransactionId: () => string;
    /** Why nothing may be sent any more, once the shard was given up. */
    readonly closedBy: () => ServiceError | undefined;
}

/** Writes that move a job. Its row must be known and have no change under way. */
export function moveWrites(record: JobRecord, known: KnownJob, shard: string): ConditionalWrite[] {
    const idempotencyKey = known.submission === undefined
        ? {}
        : { idempotencyKey: decodeURIComponent(known.submission.slice(known.submission.lastIndexOf("/") + 1)) };
    // Epoch 0 makes a later owner of the other shard look for running tasks of the job first.
    const moved = { record: { ...record, shard, acceptedEpoch: 0 }, ...idempotencyKey };
    const pointer = { record: { ...record, movedTo: shard }, ...idempotencyKey };
    return [
        { key: jobKey(record.shard, record.id), expectedVersion: known.version, value: pointer },
        { key: jobKey(shard, record.id), expectedVersion: 0, value: moved },
        { key: `${arrivalPrefix(shard)}${record.id}`, expectedVersion: 0, value: {} },
    ];
}

/** Commits the writes under the shard's epoch, through outages of the table, until the shard is given up. */
export async function commitMove(
    context: MoveContext,
    writes: readonly ConditionalWrite[],
): Promise<Result<void, ServiceError>> {
    const transaction: TableTransaction = { id: context.nextTransactionId(), conditions: [context.condition], writes };
    for (;;) {
        const closedBy = context.closedBy();
        if (closedBy !== undefined) {
            return err(closedBy);
        }
        const answer = await context.transactions.commit(transaction);
        if (answer.isErr()) {
            await sleep(context.timers, RETRY_MILLISECONDS);
            continue;
        }
        if (answer.value.committed) {
            return ok(undefined);
        }
        return err(
            answer.value.conflicts.includes(context.condition.key)
                ? serviceError(ErrorKind.StaleEpoch, "The shard has a newer owner.")
                : serviceError(ErrorKind.Internal, "A row of the job was changed outside its shard."),
        );
    }
}
