/** In-memory table that counts calls, rows and bytes of JSON. */
import type { ServiceError } from "@tanagerlink/errors";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionAnswer } from "@tanagerlink/platform";
import { ok, type Result } from "neverthrow";

/** What the table was used for since the start. */
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
    /** Keys in order, rebuilt when rows were added or deleted. */
    private keys: readonly string[] | undefined = [];
    private counted = { reads: 0, bytesRead: 0, transactions: 0, conflicts: 0, rowsWritten: 0, bytesWritten: 0 };

    get use(): TableUse {
        return { ...this.counted };
    }

    read(key: string): Promise<Result<TableRow | undefined, ServiceError>> {
        this.counted.reads++;
        return Promise.resolve(ok(this.take(key)));
    }

    readRange({ prefix, after, limit }: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>> {
        this.counted.reads++;
        this.keys ??= [...this.rows.keys()].sort();
        const keys = this.keys.filter(key => key.startsWith(prefix) && key > (after ?? "")).slice(0, limit);
        return Promise.resolve(ok(keys.flatMap(key => this.take(key) ?? [])));
    }

    transact({ id, conditions, writes }: TableTransaction): Promise<Result<TransactionAnswer, ServiceError>> {
        this.counted.transactions++;
        const conflicts = [...conditions, ...writes]
            .filter(check => (this.rows.get(check.key)?.row.version ?? 0) !== check.expectedVersion)
            .map(check => check.key);
        if (conflicts.length > 0) {
            this.counted.conflicts++;
            return Promise.resolve(
                ok({ committed: false, conflicts, rows: conflicts.flatMap(key => this.take(key) ?? []) }),
            );
        }
        writes.forEach(write => this.write(write.key, write.value, write.expectedVersion + 1, id));
        const versions = Object.fromEntries(writes.map(write => [write.key, write.expectedVersion + 1]));
        return Promise.resolve(ok({ committed: true, versions }));
    }

    private write(key: string, value: unknown, version: number, transactionId: string): void {
        this.counted.rowsWritten++;
        if (value === undefined || !this.rows.has(key)) {
            this.keys = undefined;
        }
        if (value === undefined) {
            this.rows.delete(key);
            return;
        }
        const text = JSON.stringify(value);
        this.counted.bytesWritten += text.length;
        this.rows.set(key, { row: { key, value: JSON.parse(text), version, transactionId }, bytes: text.length });
    }

    private take(key: string): TableRow | undefined {
        const found = this.rows.get(key);
        this.counted.bytesRead += found?.bytes ?? 0;
        return found?.row;
    }
}
