/** Return of the grants of a lost shard to the free units. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, TableRow, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import { grantPrefix, parseGrantRow, unitsOf, withTransfer, withWant } from "./grantRow.ts";
import { claimEpoch, epochKey, epochOfRow } from "./shardEpoch.ts";

const PAGE_ROWS = 100;
const CONFLICT_ATTEMPTS = 10;

/**
 * Moves all units of the shard to the free ones and returns their number. The caller has to prove first that every
 * lease of the shard's owner and tasks has ended. The epoch is raised before, so that a former owner that comes back
 * can't change a grant row any more and has to acquire the shard again. Repeating it after an error is safe.
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
        const changes = page.value.flatMap(row => withoutShard(row, shard));
        const writes = changes.map(change => change.write);
        const answer = await table.transact({ id: nextTransactionId(), conditions: [condition.value], writes });
        if (answer.isErr()) {
            return err(answer.error);
        }
        if (answer.value.committed) {
            reclaimed += changes.reduce((sum, change) => sum + change.units, 0);
            after = page.value.length < PAGE_ROWS ? undefined : page.value.at(-1)?.key;
        }
        else if (++conflicts > CONFLICT_ATTEMPTS || answer.value.conflicts.includes(epochKey(shard))) {
            return err(serviceError(ErrorKind.StoreUnavailable, "The grant rows change too fast; try again."));
        }
    }
    return ok(reclaimed);
}

function withoutShard(row: TableRow, shard: ShardId): { write: ConditionalWrite; units: number; }[] {
    const value = parseGrantRow(row.value);
    if (value === undefined) {
        return [];
    }
    const units = unitsOf(value, shard);
    const after = withWant(withTransfer(value, shard, -units), shard, 0);
    const write = { key: row.key, expectedVersion: row.version, value: after };
    return after === value ? [] : [{ write, units }];
}
