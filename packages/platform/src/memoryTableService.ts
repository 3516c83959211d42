/**
 * A table in memory with injected faults, for tests and for the stand-in platform. Rows are kept as JSON text, so that
 * a caller that changes a value after the write does not change the row.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionAnswer } from "./tableService.ts";

/** Faults of a `MemoryTableService`. May be changed at any time; counts go down with each use. */
export interface TableFaults {
    /** Every call fails with `store_unavailable` and has no effect. */
    down: boolean;
    /** Time that each call takes before it has any effect. */
    delayMilliseconds: number;
    /** Number of next transactions that take effect but answer `store_outcome_unknown`. */
    loseAnswers: number;
    /** Number of next transactions that answer `store_outcome_unknown` without an effect. */
    loseRequests: number;
    /** Number of next transactions that answer `store_outcome_unknown` at once and are carried out later. */
    delayEffects: number;
    /** Time until a transaction hit by `delayEffects` is carried out. */
    effectDelayMilliseconds: number;
    /** Number of next transactions that answer with a conflict on all their rows and have no effect. */
    conflicts: number;
}

/** Calls that a `MemoryTableService` has carried out. */
export interface TableCounters {
    reads: number;
    rangeReads: number;
    transactions: number;
    rowsWritten: number;
}

interface StoredRow {
    readonly text: string;
    readonly version: number;
    readonly transactionId: string;
}

/** `TableService` in memory. */
export class MemoryTableService implements TableService {
    readonly faults: TableFaults = {
        down: false,
        delayMilliseconds: 0,
        loseAnswers: 0,
        loseRequests: 0,
        delayEffects: 0,
        effectDelayMilliseconds: 200,
        conflicts: 0,
    };
    readonly counters: TableCounters = { reads: 0, rangeReads: 0, transactions: 0, rowsWritten: 0 };
    private readonly timers: Timers;
    private readonly stored = new Map<string, StoredRow>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** All rows in key order, without faults and without counting. */
    rows(): readonly TableRow[] {
        return [...this.stored.keys()].sort().map(key => this.row(key)!);
    }

    async read(key: string): Promise<Result<TableRow | undefined, ServiceError>> {
        const available = await this.enter();
        return available.map(() => {
            this.counters.reads++;
            return this.row(key);
        });
    }

    async readRange(request: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>> {
        const available = await this.enter();
        return available.map(() => {
            this.counters.rangeReads++;
            return [...this.stored.keys()]
                .filter(key => key.startsWith(request.prefix) && key > (request.after ?? ""))
                .sort()
                .slice(0, request.limit)
                .map(key => this.row(key)!);
        });
    }

    async transact(transaction: TableTransaction): Promise<Result<TransactionAnswer, ServiceError>> {
        const available = await this.enter();
        if (available.isErr()) {
            return err(available.error);
        }
        if (this.takeFault("loseRequests")) {
            return err(unknownOutcome(transaction));
        }
        this.counters.transactions++;
        if (this.takeFault("delayEffects")) {
            this.timers.after(this.faults.effectDelayMilliseconds, () => void this.apply(transaction));
            return err(unknownOutcome(transaction));
        }
        if (this.takeFault("conflicts")) {
            return ok(this.conflict(transaction.writes.map(write => write.key)));
        }
        const answer = this.apply(transaction);
        return this.takeFault("loseAnswers") ? err(unknownOutcome(transaction)) : ok(answer);
    }

    private async enter(): Promise<Result<void, ServiceError>> {
        if (this.faults.delayMilliseconds > 0) {
            await sleep(this.timers, this.faults.delayMilliseconds);
        }
        return this.faults.down
            ? err(serviceError(ErrorKind.StoreUnavailable, "The table service is down."))
            : ok(undefined);
    }

    private takeFault(fault: "loseAnswers" | "loseRequests" | "delayEffects" | "conflicts"): boolean {
        if (this.faults[fault] <= 0) {
            return false;
        }
        this.faults[fault]--;
        return true;
    }

    private apply(transaction: TableTransaction): TransactionAnswer {
        const conflicts = [...transaction.conditions, ...transaction.writes]
            .filter(part => (this.stored.get(part.key)?.version ?? 0) !== part.expectedVersion)
            .map(part => part.key);
        if (conflicts.length > 0) {
            return this.conflict([...new Set(conflicts)]);
        }
        const versions: Record<string, number> = {};
        for (const write of transaction.writes) {
            versions[write.key] = this.write(write.key, write.value, transaction.id);
        }
        return { committed: true, versions };
    }

    private write(key: string, value: unknown, transactionId: string): number {
        this.counters.rowsWritten++;
        const version = (this.stored.get(key)?.version ?? 0) + 1;
        if (value === undefined) {
            this.stored.delete(key);
            return 0;
        }
        this.stored.set(key, { text: JSON.stringify(value), version, transactionId });
        return version;
    }

    private conflict(conflicts: readonly string[]): TransactionAnswer {
        const rows = conflicts.map(key => this.row(key)).filter(row => row !== undefined);
        return { committed: false, conflicts, rows };
    }

    private row(key: string): TableRow | undefined {
        const stored = this.stored.get(key);
        return stored === undefined
            ? undefined
            : { key, value: JSON.parse(stored.text), version: stored.version, transactionId: stored.transactionId };
    }
}

function unknownOutcome(transaction: TableTransaction): ServiceError {
    return serviceError(ErrorKind.StoreOutcomeUnknown, "The answer of the table service was lost.", {
        transaction: transaction.id,
    });
}
