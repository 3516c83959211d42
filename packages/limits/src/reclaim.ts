/** Returns the grants of a lost shard to the free units of the teams. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, TableRow, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import { grantedUnits, grantPrefix, parseGrantRow, withDemand, withTransfer } from "./grantRow.ts";
import { claimEpoch, epochKey, epochOfRow } from "./shardEpoch.ts";

const PAGE_ROWS = 100;
const MAXIMUM_CONFLICTS = 10;

/**
 * Moves all units of the shard to the free units and returns their number. The caller must have proof that the leases
 * of the shard's owner and of all its tasks have ended. The epoch is raised first, so that a previous owner that comes
 * back can no longer change a grant row and has to acquire the shard again. Repeating the call after an error is safe.
 */
export async function reclaimShard(
    table: TableService,
    shard: ShardId,
    nextTransactionId: () => string,
): Promise<Result<number, ServiceError>> {
    const epochRow = await table.read(epochKey(shard));
    if (epochRow.isErr()) {
        return err(epochRow.error);
    }
    const condition = await claimEpoch(table, shard, epochOfRow(epochRow.value) + 1, nextTransactionId());
    if (condition.isErr()) {
        return err(condition.error);
    }
    let reclaimed = 0;
    let conflicts = 0;
    for (let after: string | undefined = grantPrefix; after !== undefined;) {
        const page: Result<readonly TableRow[], ServiceError> = await table.readRange({
            prefix: grantPrefix,
            after,
            limit: PAGE_ROWS,
        });
        if (page.isErr()) {
            return err(page.error);
        }
        const changes = page.value.flatMap(row => reclaimRow(row, shard));
        const writes = changes.map(change => change.write);
        const outcome = await table.transact({ id: nextTransactionId(), conditions: [condition.value], writes });
        if (outcome.isErr()) {
            return err(outcome.error);
        }
        if (outcome.value.committed) {
            reclaimed += changes.reduce((sum, change) => sum + change.units, 0);
            after = page.value.length < PAGE_ROWS ? undefined : page.value.at(-1)?.key;
        }
        else if (++conflicts > MAXIMUM_CONFLICTS || outcome.value.conflicts.includes(epochKey(shard))) {
            return err(
                serviceError(
                    ErrorKind.StoreUnavailable,
                    "The grants could not be reclaimed because of concurrent changes of the grant rows; retry.",
                ),
            );
        }
    }
    return ok(reclaimed);
}

function reclaimRow(row: TableRow, shard: ShardId): { write: ConditionalWrite; units: number; }[] {
    const value = parseGrantRow(row.value);
    if (value === undefined) {
        return [];
    }
    const units = grantedUnits(value, shard);
    const after = withDemand(withTransfer(value, shard, -units), shard, 0);
    const write = { key: row.key, expectedVersion: row.version, value: after };
    return after === value ? [] : [{ write, units }];
}
