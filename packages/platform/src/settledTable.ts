/**
 * Settles transactions whose answer was lost. The written rows carry the identifier of the transaction that wrote them,
 * so a read shows whether the transaction took effect. A transaction that has left no trace may still be on its way;
 * it is sent again under the same identifier, which is safe because its writes are conditional on row versions.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionAnswer } from "./tableService.ts";

type Refusal = Extract<TransactionAnswer, { committed: false; }>;

/** How long and how often an unknown outcome is looked up. */
export interface SettlementOptions {
    /** No further attempt is begun after this time. Rows must not be deleted within it after their creation. */
    readonly boundMilliseconds: number;
    readonly firstDelayMilliseconds: number;
    readonly maximumDelayMilliseconds: number;
}

export const defaultSettlement: SettlementOptions = {
    boundMilliseconds: 3_000,
    firstDelayMilliseconds: 20,
    maximumDelayMilliseconds: 500,
};

/** `TableService` whose transactions answer `store_outcome_unknown` only when the outcome cannot be found out. */
export class SettledTable implements TableService {
    private readonly table: TableService;
    private readonly timers: Timers;
    private readonly options: SettlementOptions;
    private readonly random: () => number;

    /** `random` gives numbers from 0 to 1 for the jitter of the delays. */
    constructor(
        table: TableService,
        timers: Timers,
        options: SettlementOptions = defaultSettlement,
        random: () => number = Math.random,
    ) {
        this.table = table;
        this.timers = timers;
        this.options = options;
        this.random = random;
    }

    read(key: string): Promise<Result<TableRow | undefined, ServiceError>> {
        return this.table.read(key);
    }

    readRange(request: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>> {
        return this.table.readRange(request);
    }

    async transact(transaction: TableTransaction): Promise<Result<TransactionAnswer, ServiceError>> {
        const answer = await this.table.transact(transaction);
        return answer.isErr() && answer.error.kind === ErrorKind.StoreOutcomeUnknown
            ? this.settle(transaction, answer.error)
            : answer;
    }

    private async settle(
        transaction: TableTransaction,
        unknown: ServiceError,
    ): Promise<Result<TransactionAnswer, ServiceError>> {
        const end = this.timers.now() + this.options.boundMilliseconds;
        let delay = this.options.firstDelayMilliseconds;
        while (this.timers.now() + delay < end) {
            // Half of the delay is random, so that processes that lost answers together do not read together.
            await sleep(this.timers, delay * (0.5 + this.random() / 2));
            delay = Math.min(delay * 2, this.options.maximumDelayMilliseconds);
            const finding = await this.attempt(transaction);
            if (finding === Finding.Overwritten) {
                break;
            }
            if (finding !== Finding.NotReadable) {
                return ok(finding);
            }
        }
        return err(unknown);
    }

    /** One look at the written rows, followed by a repetition when they are as they were before the transaction. */
    private async attempt(transaction: TableTransaction): Promise<TransactionAnswer | Finding> {
        const rows = await this.readWritten(transaction);
        if (rows === undefined) {
            return Finding.NotReadable;
        }
        const unchanged = transaction.writes.every(write => versionOf(rows, write.key) === write.expectedVersion);
        if (!unchanged) {
            return interpret(transaction, rows);
        }
        const repeated = await this.table.transact(transaction);
        if (repeated.isErr()) {
            return Finding.NotReadable;
        }
        return repeated.value.committed ? repeated.value : interpretRefusal(transaction, repeated.value);
    }

    private async readWritten(transaction: TableTransaction): Promise<ReadonlyMap<string, TableRow> | undefined> {
        const rows = new Map<string, TableRow>();
        for (const write of transaction.writes) {
            const row = await this.table.read(write.key);
            if (row.isErr()) {
                return undefined;
            }
            if (row.value !== undefined) {
                rows.set(write.key, row.value);
            }
        }
        return rows;
    }
}

/** What one attempt found when it found no answer. */
const Finding = {
    /** The table could not be read; a later attempt may succeed. */
    NotReadable: "not_readable",
    /** Later writes cover every trace of the transaction; no later attempt can tell more. */
    Overwritten: "overwritten",
} as const;
type Finding = (typeof Finding)[keyof typeof Finding];

function versionOf(rows: ReadonlyMap<string, TableRow>, key: string): number {
    return rows.get(key)?.version ?? 0;
}

/** Decides by rows that were read one after another and of which at least one differs from its state before. */
function interpret(transaction: TableTransaction, rows: ReadonlyMap<string, TableRow>): TransactionAnswer | Finding {
    if (transaction.writes.some(write => rows.get(write.key)?.transactionId === transaction.id)) {
        return committed(transaction);
    }
    // A foreign write directly after the expected version took the place of this one.
    if (!transaction.writes.some(write => versionOf(rows, write.key) === write.expectedVersion + 1)) {
        return Finding.Overwritten;
    }
    const conflicts = transaction.writes
        .filter(write => versionOf(rows, write.key) !== write.expectedVersion)
        .map(write => write.key);
    return { committed: false, conflicts, rows: conflicts.flatMap(key => rows.get(key) ?? []) };
}

/**
 * Decides by the conflict that a repetition found. The first sending may have caused it. A written row that is not
 * among the conflicts proves that it did not, since all rows are written together.
 */
function interpretRefusal(transaction: TableTransaction, refusal: Refusal): TransactionAnswer | Finding {
    const rows = new Map(refusal.rows.map(row => [row.key, row]));
    if (transaction.writes.some(write => rows.get(write.key)?.transactionId === transaction.id)) {
        return committed(transaction);
    }
    const certain = transaction.writes.length === 0 ||
        transaction.writes.some(write =>
            !refusal.conflicts.includes(write.key) || versionOf(rows, write.key) === write.expectedVersion + 1
        );
    return certain ? refusal : Finding.Overwritten;
}

function committed(transaction: TableTransaction): TransactionAnswer {
    const versions = transaction.writes.map(write =>
        [write.key, write.value === undefined ? 0 : write.expectedVersion + 1] as const
    );
    return { committed: true, versions: Object.fromEntries(versions) };
}
