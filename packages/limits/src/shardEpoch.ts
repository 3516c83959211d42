/**
 * The row `shard-epoch/<shard>`, which ownership writes in the transaction that raises the epoch. Lease renewals do not
 * change its version, so a transaction that is conditional on this version takes effect only under its own epoch.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { RowCondition, TableRow, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

const epochRowSchema = z.object({ epoch: z.int().min(0) });

/** Same key as `shardEpochKey` of the ownership package, on which this package does not depend. */
export function epochKey(shard: ShardId): string {
    return `shard-epoch/${shard}`;
}

/** A missing row counts as epoch 0. */
export function epochOfRow(row: TableRow | undefined): number {
    return epochRowSchema.safeParse(row?.value).data?.epoch ?? 0;
}

/**
 * Ensures that the row holds this epoch, raising a lower one, and returns the condition for transactions under it.
 * Errors: `stale_epoch` if the row holds a higher epoch, `store_unavailable`.
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
    const outcome = await table.transact({ id: transactionId, conditions: [], writes });
    if (outcome.isErr() || !outcome.value.committed) {
        return err(
            serviceError(
                ErrorKind.StoreUnavailable,
                `Epoch ${epoch} of shard ${shard} could not be claimed in the table; retry.`,
            ),
        );
    }
    return ok({ key, expectedVersion: outcome.value.versions[key] ?? version + 1 });
}

export function staleEpoch(shard: ShardId, epoch: number, higherEpoch: number): ServiceError {
    const detail = { shard, epoch, higherEpoch };
    return serviceError(
        ErrorKind.StaleEpoch,
        `Epoch ${epoch} of shard ${shard} was superseded by a newer owner.`,
        detail,
    );
}
