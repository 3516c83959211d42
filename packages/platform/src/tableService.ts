import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";

/** One row of the table. */
export interface TableRow {
    readonly key: string;
    /** JSON value. */
    readonly value: unknown;
    /** Rises by one with each write of the row, starting at 1. */
    readonly version: number;
    /** Identifier of the transaction that wrote this version; settles answers that were lost. */
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
    /** Unique identifier of this attempt, kept in each written row. */
    readonly id: string;
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly ConditionalWrite[];
}

/** Result of a transaction whose outcome is known. */
export type TransactionAnswer =
    | { readonly committed: true; readonly versions: Readonly<Record<string, number>>; }
    /** `rows` holds the current rows whose versions differed; a missing row has version 0 and is left out. */
    | { readonly committed: false; readonly conflicts: readonly string[]; readonly rows: readonly TableRow[]; };

export interface RangeRequest {
    readonly prefix: string;
    /** Only keys greater than this one, for reading in pages. */
    readonly after?: string;
    readonly limit: number;
}

/**
 * The platform's transactional table. Errors: `store_unavailable` when the call certainly had no effect,
 * `store_outcome_unknown` when a transaction may have taken effect.
 */
export interface TableService {
    read(key: string): Promise<Result<TableRow | undefined, ServiceError>>;
    /** Rows in key order. */
    readRange(request: RangeRequest): Promise<Result<readonly TableRow[], ServiceError>>;
    transact(transaction: TableTransaction): Promise<Result<TransactionAnswer, ServiceError>>;
}
