/**
 * Resolves the outcome of transactions whose response was lost. Each row carries the identifier of the transaction that
 * wrote it, so reading the rows shows whether the transaction took effect. If it has not, the request may still be in
 * transit; it is sent again under the same identifier, which is safe because its writes are conditional on row
 * versions.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { RangeRequest, TableRow, TableService, TableTransaction, TransactionOutcome } from "./tableService.ts";

type ConflictOutcome = Extract<TransactionOutcome, { committed: false; }>;

/** How long and how often an unknown outcome is checked. */
export interface OutcomeResolutionOptions {
    /** No attempt starts after this time. Rows must not be deleted within this time after their creation. */
    readonly timeLimitMilliseconds: number;
    readonly firstDelayMilliseconds: number;
    readonly maximumDelayMilliseconds: number;
}

export const defaultResolutionOptions: OutcomeResolutionOptions = {
    timeLimitMilliseconds: 3_000,
    firstDelayMilliseconds: 20,
    maximumDelayMilliseconds: 500,
};

/** `TableService` whose transactions return `store_outcome_unknown` only if the outcome cannot be determined. */
export class OutcomeResolvingTable implements TableService {
    private readonly table: TableService;
    private readonly timers: Timers;
    private readonly options: OutcomeResolutionOptions;
    private readonly random: () => number;

    /** `random` returns numbers from 0 to 1 for the jitter of the delays. */
    constructor(
        table: TableService,
        timers: Timers,
        options: OutcomeResolutionOptions = defaultResolutionOptions,
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

    async transact(transaction: TableTransaction): Promise<Result<TransactionOutcome, ServiceError>> {
        const outcome = await this.table.transact(transaction);
        return outcome.isErr() && outcome.error.kind === ErrorKind.StoreOutcomeUnknown
            ? this.resolveOutcome(transaction, outcome.error)
            : outcome;
    }

    private async resolveOutcome(
        transaction: TableTransaction,
        unknownOutcome: ServiceError,
    ): Promise<Result<TransactionOutcome, ServiceError>> {
        const end = this.timers.now() + this.options.timeLimitMilliseconds;
        let delay = this.options.firstDelayMilliseconds;
        while (this.timers.now() + delay < end) {
            // Half of the delay is random, so that processes that lost responses at the same time do not all read at
            // once.
            await sleep(this.timers, delay * (0.5 + this.random() / 2));
            delay = Math.min(delay * 2, this.options.maximumDelayMilliseconds);
            const result = await this.attemptResolution(transaction);
            if (result === Inconclusive.Overwritten) {
                break;
            }
            if (result !== Inconclusive.NotReadable) {
                return ok(result);
            }
        }
        return err(unknownOutcome);
    }

    /** Reads the rows of the transaction once, and resends the transaction if they have not changed since before it. */
    private async attemptResolution(transaction: TableTransaction): Promise<TransactionOutcome | Inconclusive> {
        const rows = await this.readWrittenRows(transaction);
        if (rows === undefined) {
            return Inconclusive.NotReadable;
        }
        const unchanged = transaction.writes.every(write => versionOf(rows, write.key) === write.expectedVersion);
        if (!unchanged) {
            return interpretRows(transaction, rows);
        }
        const repeated = await this.table.transact(transaction);
        if (repeated.isErr()) {
            return Inconclusive.NotReadable;
        }
        return repeated.value.committed ? repeated.value : interpretConflict(transaction, repeated.value);
    }

    private async readWrittenRows(transaction: TableTransaction): Promise<ReadonlyMap<string, TableRow> | undefined> {
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

/** Why an attempt could not determine the outcome. */
const Inconclusive = {
    /** The table could not be read or written; a later attempt may succeed. */
    NotReadable: "not_readable",
    /** Later transactions have overwritten all evidence; further attempts cannot determine the outcome either. */
    Overwritten: "overwritten",
} as const;
type Inconclusive = (typeof Inconclusive)[keyof typeof Inconclusive];

function versionOf(rows: ReadonlyMap<string, TableRow>, key: string): number {
    return rows.get(key)?.version ?? 0;
}

/**
 * Determines the outcome from rows of which at least one has changed since before the transaction. The rows were read
 * one after another, not atomically.
 */
function interpretRows(
    transaction: TableTransaction,
    rows: ReadonlyMap<string, TableRow>,
): TransactionOutcome | Inconclusive {
    if (transaction.writes.some(write => rows.get(write.key)?.transactionId === transaction.id)) {
        return committedOutcome(transaction);
    }
    // If another transaction wrote the version after the expected one, this transaction did not take effect.
    if (!transaction.writes.some(write => versionOf(rows, write.key) === write.expectedVersion + 1)) {
        return Inconclusive.Overwritten;
    }
    const conflicts = transaction.writes
        .filter(write => versionOf(rows, write.key) !== write.expectedVersion)
        .map(write => write.key);
    return { committed: false, conflicts, rows: conflicts.flatMap(key => rows.get(key) ?? []) };
}

/**
 * Determines the outcome from the conflict that a repeated transaction ran into. The first request may itself have
 * caused it. A row that is not in conflict, or whose next version was written by another transaction, proves that it did
 * not, since all rows of a transaction are written atomically.
 */
function interpretConflict(
    transaction: TableTransaction,
    conflict: ConflictOutcome,
): TransactionOutcome | Inconclusive {
    const rows = new Map(conflict.rows.map(row => [row.key, row]));
    if (transaction.writes.some(write => rows.get(write.key)?.transactionId === transaction.id)) {
        return committedOutcome(transaction);
    }
    const isNotCommitted = transaction.writes.length === 0 ||
        transaction.writes.some(write =>
            !conflict.conflicts.includes(write.key) || versionOf(rows, write.key) === write.expectedVersion + 1
        );
    return isNotCommitted ? conflict : Inconclusive.Overwritten;
}

function committedOutcome(transaction: TableTransaction): TransactionOutcome {
    const versions = transaction.writes.map(write =>
        [write.key, write.value === undefined ? 0 : write.expectedVersion + 1] as const
    );
    return { committed: true, versions: Object.fromEntries(versions) };
}
