import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";

/** A row of the table. */
export interface TableRow {
    readonly key: string;
    /** JSON value. */
    readonly value: unknown;
    /** Starts at 1 and increases by one with each write of the row. */
    readonly version: number;
    /** Identifier of the transaction that wrote this version; resolves the outcome after a lost response. */
    readonly transactionId: string;
}

/** A write that takes effect only if the row still has `expectedVersion`; 0 means that the row must not exist. */
export interface ConditionalWrite {
    readonly key: string;
    readonly expectedVersion: number;
    /** New value; `undefined` deletes the row. */
    readonly value: unknown;
}

/** A condition on a row that the transaction does not write. */
export interface RowCondition {
    readonly key: string;
    readonly expectedVersion: number;
}

/** All writes take effect together or none does. */
export interface TableTransaction {
    /** Unique identifier of the transaction, stored in each written row. */
    readonly id: string;
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly ConditionalWrite[];
}

/** Known outcome of a transaction. */
export type TransactionOutcome =
    | { readonly committed: true; readonly versions: Readonly<Record<string, number>>; }
    /** `rows` holds the current state of the conflicting rows, without rows that do not exist (version 0). */
    | { readonly committed: false; readonly conflicts: readonly string[]; readonly rows: readonly TableRow[]; };

export interface RangeRequest {
    readonly prefix: string;
    /** Only keys greater than this one are returned; used for paging. */
    readonly after?: string;
    readonly limit: number;
}

/**
 * The platform's transactional table. Errors: `store_unavailable` if the call certainly had no effect,
 * `store_outcome_unknown` if a transaction may have taken effect.
 */
export interface TableService {
    read(key: string): Promise<Result<TableRow | undefined, ServiceError>>;
    /** Rows in key order. */
    readRange(request: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>>;
    transact(transaction: TableTransaction): Promise<Result<TransactionOutcome, ServiceError>>;
}
