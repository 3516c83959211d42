/**
 * In-memory table service with fault injection, for tests and for the stand-in platform. Rows are stored as JSON text,
 * so that a caller that mutates a value after the write does not change the row.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionOutcome } from "./tableService.ts";

/** Injected faults. They may be changed at any time; each use of a counted fault decrements its counter. */
export interface TableFaults {
    /** Every call fails with `store_unavailable` and has no effect. */
    down: boolean;
    /** Delay of each call before it takes effect. */
    delayMilliseconds: number;
    /** Number of next transactions that take effect but return `store_outcome_unknown`. */
    loseAnswers: number;
    /** Number of next transactions that return `store_outcome_unknown` without taking effect. */
    loseRequests: number;
    /** Number of next transactions that return `store_outcome_unknown` immediately and are executed later. */
    delayEffects: number;
    /** Delay after which a transaction affected by `delayEffects` is executed. */
    effectDelayMilliseconds: number;
    /** Number of next transactions that report a conflict on all their rows and have no effect. */
    conflicts: number;
}

/** Numbers of executed calls and written rows. */
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

/** In-memory `TableService`. */
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
    private readonly storedRows = new Map<string, StoredRow>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** All rows in key order; not subject to faults and not counted. */
    rows(): readonly TableRow[] {
        return [...this.storedRows.keys()].sort().map(key => this.row(key)!);
    }

    async read(key: string): Promise<Result<TableRow | undefined, ServiceError>> {
        const available = await this.beginCall();
        return available.map(() => {
            this.counters.reads++;
            return this.row(key);
        });
    }

    async readRange(request: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>> {
        const available = await this.beginCall();
        return available.map(() => {
            this.counters.rangeReads++;
            return [...this.storedRows.keys()]
                .filter(key => key.startsWith(request.prefix) && key > (request.after ?? ""))
                .sort()
                .slice(0, request.limit)
                .map(key => this.row(key)!);
        });
    }

    async transact(transaction: TableTransaction): Promise<Result<TransactionOutcome, ServiceError>> {
        const available = await this.beginCall();
        if (available.isErr()) {
            return err(available.error);
        }
        if (this.consumeFault("loseRequests")) {
            return err(unknownOutcomeError(transaction));
        }
        this.counters.transactions++;
        if (this.consumeFault("delayEffects")) {
            this.timers.after(this.faults.effectDelayMilliseconds, () => void this.apply(transaction));
            return err(unknownOutcomeError(transaction));
        }
        if (this.consumeFault("conflicts")) {
            return ok(this.conflict(transaction.writes.map(write => write.key)));
        }
        const outcome = this.apply(transaction);
        return this.consumeFault("loseAnswers") ? err(unknownOutcomeError(transaction)) : ok(outcome);
    }

    private async beginCall(): Promise<Result<void, ServiceError>> {
        if (this.faults.delayMilliseconds > 0) {
            await sleep(this.timers, this.faults.delayMilliseconds);
        }
        return this.faults.down
            ? err(serviceError(ErrorKind.StoreUnavailable, "The table service is unavailable."))
            : ok(undefined);
    }

    private consumeFault(fault: "loseAnswers" | "loseRequests" | "delayEffects" | "conflicts"): boolean {
        if (this.faults[fault] <= 0) {
            return false;
        }
        this.faults[fault]--;
        return true;
    }

    private apply(transaction: TableTransaction): TransactionOutcome {
        const conflicts = [...transaction.conditions, ...transaction.writes]
            .filter(part => (this.storedRows.get(part.key)?.version ?? 0) !== part.expectedVersion)
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
        const version = (this.storedRows.get(key)?.version ?? 0) + 1;
        if (value === undefined) {
            this.storedRows.delete(key);
            return 0;
        }
        this.storedRows.set(key, { text: JSON.stringify(value), version, transactionId });
        return version;
    }

    private conflict(conflicts: readonly string[]): TransactionOutcome {
        const rows = conflicts.map(key => this.row(key)).filter(row => row !== undefined);
        return { committed: false, conflicts, rows };
    }

    private row(key: string): TableRow | undefined {
        const stored = this.storedRows.get(key);
        return stored === undefined
            ? undefined
            : { key, value: JSON.parse(stored.text), version: stored.version, transactionId: stored.transactionId };
    }
}

function unknownOutcomeError(transaction: TableTransaction): ServiceError {
    return serviceError(ErrorKind.StoreOutcomeUnknown, "The response of the table service was lost.", {
        transaction: transaction.id,
    });
}
