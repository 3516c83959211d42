/**
 * Deletes change rows that are included in a full copy.
 */
import type { TableService } from "@tanagerlink/platform";
import { randomUUID } from "node:crypto";
import { CHANGE_PREFIX, changeKey } from "./tableRows.ts";

const MAXIMUM_ROWS_PER_TRANSACTION = 100;

/** Remaining rows are deleted after the next full copy. */
const MAXIMUM_TRANSACTIONS_PER_RUN = 10;

/**
 * Deletes the change rows up to `version`. Failures are ignored; remaining rows are deleted by a later call.
 *
 * @internal
 */
export async function pruneChanges(table: TableService, version: number): Promise<void> {
    for (let count = 0; count < MAXIMUM_TRANSACTIONS_PER_RUN; count++) {
        const rows = await table.readRange({ prefix: CHANGE_PREFIX, limit: MAXIMUM_ROWS_PER_TRANSACTION });
        const old = rows.isOk() ? rows.value.filter(row => row.key <= changeKey(version)) : [];
        if (old.length === 0) {
            return;
        }
        const writes = old.map(row => ({ key: row.key, expectedVersion: row.version, value: undefined }));
        const outcome = await table.transact({ id: randomUUID(), conditions: [], writes });
        if (outcome.isErr() || !outcome.value.committed) {
            return;
        }
    }
}
