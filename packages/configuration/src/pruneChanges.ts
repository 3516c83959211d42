/**
 * Removes change rows that a full copy has made unnecessary.
 */
import type { TableService } from "@tanagerlink/platform";
import { randomUUID } from "node:crypto";
import { CHANGE_PREFIX, changeKey } from "./tableRows.ts";

/** Rows removed in one transaction. */
const ROWS_PER_TRANSACTION = 100;

/** Transactions at one time; what is left is removed after the next full copy. */
const MAXIMUM_TRANSACTIONS = 10;

/** @internal Removes the change rows up to `version`. A failure leaves rows for the next time and is not reported. */
export async function pruneChanges(table: TableService, version: number): Promise<void> {
    for (let count = 0; count < MAXIMUM_TRANSACTIONS; count++) {
        const rows = await table.readRange({ prefix: CHANGE_PREFIX, limit: ROWS_PER_TRANSACTION });
        const old = rows.isOk() ? rows.value.filter(row => row.key <= changeKey(version)) : [];
        if (old.length === 0) {
            return;
        }
        const writes = old.map(row => ({ key: row.key, expectedVersion: row.version, value: undefined }));
        const answer = await table.transact({ id: randomUUID(), conditions: [], writes });
        if (answer.isErr() || !answer.value.committed) {
            return;
        }
    }
}
