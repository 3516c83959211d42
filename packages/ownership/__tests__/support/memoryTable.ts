/** In-memory table service with fault injection, for tests of the packages that use the platform's table. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionOutcome } from "@tanagerlink/platform";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";

export type TableFault =
    | { readonly kind: "down"; }
    /** The transaction takes effect, but its answer is lost. */
    | { readonly kind: "answerLost"; }
    /** The transaction does not take effect, but the caller gets an unknown outcome. */
    | { readonly kind: "requestLost"; }
    /** The caller gets an unknown outcome immediately; the transaction takes effect after the delay. */
    | { readonly kind: "appliedLate"; readonly milliseconds: number; }
    /** The call takes effect immediately, but its answer arrives after the delay. */
    | { readonly kind: "slow"; readonly milliseconds: number; };

export type TableCall =
    | { readonly kind: "read"; readonly key: string; }
    | { readonly kind: "readRange"; readonly prefix: string; }
    | { readonly kind: "transact"; readonly transaction: TableTransaction; };

/** Returns the fault to inject into a call; `undefined` for none. */
export type FaultPlan = (call: TableCall) => TableFault | undefined;

export class MemoryTable {
    readonly rows = new Map<string, TableRow>();
    reads = 0;
    rowsRead = 0;
    bytesRead = 0;
    transactions = 0;
    rowsWritten = 0;
    bytesWritten = 0;

    value<Value>(key: string): Value | undefined {
        return this.rows.get(key)?.value as Value | undefined;
    }

    readRange({ prefix, after, limit }: RangeRequest): readonly TableRow[] {
        const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix) && key > (after ?? "")).sort();
        return keys.slice(0, limit).map(key => this.rows.get(key) as TableRow);
    }

    apply(transaction: TableTransaction): TransactionOutcome {
        const checks = [...transaction.conditions, ...transaction.writes];
        const conflicts = checks.filter(check => this.version(check.key) !== check.expectedVersion)
            .map(check => check.key);
        if (conflicts.length > 0) {
            const rows = conflicts.flatMap(key => this.rows.get(key) ?? []);
            return { committed: false, conflicts, rows };
        }
        const versions: Record<string, number> = {};
        for (const write of transaction.writes) {
            const version = write.expectedVersion + 1;
            versions[write.key] = version;
            if (write.value === undefined) {
                this.rows.delete(write.key);
                continue;
            }
            const text = JSON.stringify(write.value);
            this.rowsWritten++;
            this.bytesWritten += text.length;
            const row = { key: write.key, value: JSON.parse(text), version, transactionId: transaction.id };
            this.rows.set(write.key, row);
        }
        return { committed: true, versions };
    }

    /** Connection of one process to the table, with its own fault plan. */
    connect(timers: Timers, faults: FaultPlan = () => undefined): TableService {
        return new MemoryTableConnection(this, timers, faults);
    }

    private version(key: string): number {
        return this.rows.get(key)?.version ?? 0;
    }
}

class MemoryTableConnection implements TableService {
    private readonly table: MemoryTable;
    private readonly timers: Timers;
    private readonly faults: FaultPlan;

    constructor(table: MemoryTable, timers: Timers, faults: FaultPlan) {
        this.table = table;
        this.timers = timers;
        this.faults = faults;
    }

    async read(key: string): Promise<Result<TableRow | undefined, ServiceError>> {
        return await this.readWith({ kind: "read", key }, () => this.count([this.table.rows.get(key)])[0]);
    }

    async readRange(request: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>> {
        const call: TableCall = { kind: "readRange", prefix: request.prefix };
        return await this.readWith(call, () => this.count(this.table.readRange(request)));
    }

    async transact(transaction: TableTransaction): Promise<Result<TransactionOutcome, ServiceError>> {
        const fault = this.faults({ kind: "transact", transaction });
        await Promise.resolve();
        if (fault?.kind === "down") {
            return err(unavailable);
        }
        this.table.transactions++;
        if (fault?.kind === "requestLost") {
            return err(outcomeUnknown);
        }
        if (fault?.kind === "appliedLate") {
            this.timers.after(fault.milliseconds, () => void this.table.apply(transaction));
            return err(outcomeUnknown);
        }
        const answer = this.table.apply(transaction);
        if (fault?.kind === "slow") {
            await sleep(this.timers, fault.milliseconds);
        }
        return fault?.kind === "answerLost" ? err(outcomeUnknown) : ok(answer);
    }

    private async readWith<Value>(call: TableCall, perform: () => Value): Promise<Result<Value, ServiceError>> {
        const fault = this.faults(call);
        await Promise.resolve();
        if (fault?.kind === "down" || fault?.kind === "requestLost" || fault?.kind === "answerLost") {
            return err(unavailable);
        }
        this.table.reads++;
        const value = perform();
        if (fault?.kind === "slow") {
            await sleep(this.timers, fault.milliseconds);
        }
        return ok(value);
    }

    private count<Row extends TableRow | undefined>(rows: readonly Row[]): readonly Row[] {
        this.table.rowsRead += rows.length;
        rows.forEach(row => this.table.bytesRead += row === undefined ? 0 : JSON.stringify(row.value).length);
        return rows;
    }
}

const unavailable = serviceError(ErrorKind.StoreUnavailable, "The table is down.");
const outcomeUnknown = serviceError(ErrorKind.StoreOutcomeUnknown, "The table's answer was lost.");
