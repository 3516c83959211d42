/**
 * The row `shard-epoch/<shard>`, which ownership writes in the transaction that raises the epoch. Its version doesn't
 * change with renewals, so a transaction that has it as a condition takes effect only under the epoch it was made for.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { RowCondition, TableRow, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

const epochRowSchema = z.object({ epoch: z.int().min(0) });

/** Key of the row; equal to `shardEpochKey` of the ownership package, which this package doesn't depend on. */
export function epochKey(shard: ShardId): string {
    return `shard-epoch/${shard}`;
}

/** Epoch of the row; a missing row counts as epoch 0. */
export function epochOfRow(row: TableRow | undefined): number {
    return epochRowSchema.safeParse(row?.value).data?.epoch ?? 0;
}

/**
 * Makes sure that the row holds this epoch and returns the condition for transactions under it. A lower epoch in the
 * row is raised. Errors: `stale_epoch` when the row holds a higher one, `store_unavailable`.
 */
export async function claimEpoch(
    table: TableService,
    shard: ShardId,
    epoch: number,
    transactionId: string,
): Promise<Result<RowCondition, ServiceError>> {
    const key = epochKey(shard);
    const read = await table.read(key);
    if (read.isErr()) {
        return err(read.error);
    }
    const version = read.value?.version ?? 0;
    const stored = epochOfRow(read.value);
    if (stored > epoch) {
        return err(staleEpoch(shard, epoch, stored));
    }
    if (stored === epoch) {
        return ok({ key, expectedVersion: version });
    }
    const writes = [{ key, expectedVersion: version, value: { epoch } }];
    const answer = await table.transact({ id: transactionId, conditions: [], writes });
    if (answer.isErr() || !answer.value.committed) {
        return err(serviceError(ErrorKind.StoreUnavailable, "The shard's epoch could not be claimed; try again."));
    }
    return ok({ key, expectedVersion: answer.value.versions[key] ?? version + 1 });
}

/** The error for work under an epoch that was superseded. */
export function staleEpoch(shard: ShardId, epoch: number, higherEpoch: number): ServiceError {
    const detail = { shard, epoch, higherEpoch };
    return serviceError(ErrorKind.StaleEpoch, `Shard ${shard} has passed to a newer owner.`, detail);
}
