/** In-memory table service that counts calls, rows and bytes of JSON. */
import type { ServiceError } from "@tanagerlink/errors";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionOutcome } from "@tanagerlink/platform";
import { ok, type Result } from "neverthrow";

/** Totals since the table was created. */
export interface TableUse {
    readonly reads: number;
    readonly bytesRead: number;
    readonly transactions: number;
    readonly conflicts: number;
    readonly rowsWritten: number;
    readonly bytesWritten: number;
}

export class CountingTable implements TableService {
    private readonly rows = new Map<string, { readonly row: TableRow; readonly bytes: number; }>();
    /** Sorted keys; `undefined` after a row was added or deleted, until the next range read. */
    private sortedKeys: readonly string[] | undefined = [];
    private counters = { reads: 0, bytesRead: 0, transactions: 0, conflicts: 0, rowsWritten: 0, bytesWritten: 0 };

    get use(): TableUse {
        return { ...this.counters };
    }

    read(key: string): Promise<Result<TableRow | undefined, ServiceError>> {
        this.counters.reads++;
        return Promise.resolve(ok(this.readRow(key)));
    }

    readRange({ prefix, after, limit }: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>> {
        this.counters.reads++;
        this.sortedKeys ??= [...this.rows.keys()].sort();
        const keys = this.sortedKeys.filter(key => key.startsWith(prefix) && key > (after ?? "")).slice(0, limit);
        return Promise.resolve(ok(keys.flatMap(key => this.readRow(key) ?? [])));
    }

    transact({ id, conditions, writes }: TableTransaction): Promise<Result<TransactionOutcome, ServiceError>> {
        this.counters.transactions++;
        const conflicts = [...conditions, ...writes]
            .filter(condition => (this.rows.get(condition.key)?.row.version ?? 0) !== condition.expectedVersion)
            .map(condition => condition.key);
        if (conflicts.length > 0) {
            this.counters.conflicts++;
            return Promise.resolve(
                ok({ committed: false, conflicts, rows: conflicts.flatMap(key => this.readRow(key) ?? []) }),
            );
        }
        writes.forEach(write => this.writeRow(write.key, write.value, write.expectedVersion + 1, id));
        const versions = Object.fromEntries(writes.map(write => [write.key, write.expectedVersion + 1]));
        return Promise.resolve(ok({ committed: true, versions }));
    }

    private writeRow(key: string, value: unknown, version: number, transactionId: string): void {
        this.counters.rowsWritten++;
        if (value === undefined || !this.rows.has(key)) {
            this.sortedKeys = undefined;
        }
        if (value === undefined) {
            this.rows.delete(key);
            return;
        }
        const text = JSON.stringify(value);
        this.counters.bytesWritten += text.length;
        this.rows.set(key, { row: { key, value: JSON.parse(text), version, transactionId }, bytes: text.length });
    }

    private readRow(key: string): TableRow | undefined {
        const found = this.rows.get(key);
        this.counters.bytesRead += found?.bytes ?? 0;
        return found?.row;
    }
}
