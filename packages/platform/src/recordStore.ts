/**
 * The platform's store of versioned records: atomic transactions within one partition, ordered listings and a change
 * feed. Versions come from a single counter of the store, so that the writes of any two records can be ordered.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";

/** Maximum size of a record's value in bytes, unless the platform states another. */
export const DEFAULT_ROW_BYTES = 65_536;

/** Name of a record. All records of a transaction must belong to one partition. */
export interface RecordName {
    readonly table: string;
    readonly partition: string;
    readonly key: string;
}

/** A record as read from the store. */
export interface StoredRecord extends RecordName {
    readonly value: Uint8Array;
    /** Version of the transaction that wrote the record. */
    readonly version: number;
}

/** Condition that a record has `expectedVersion`; 0 means that it must not exist. */
export interface RecordExpectation extends RecordName {
    readonly expectedVersion: number;
}

export interface RecordWrite extends RecordName {
    readonly value: Uint8Array;
}

/** Writes and removals that take effect atomically if all expectations hold. */
export interface RecordTransaction {
    readonly expectations: readonly RecordExpectation[];
    readonly writes: readonly RecordWrite[];
    readonly removals: readonly RecordName[];
}

/** Known outcome of a transaction. */
export type CommitOutcome =
    | {
        readonly committed: true;
        readonly version: number;
        /**
         * Set if the transaction was sent more than once; it may then be executed again as long as its expectations
         * hold.
         */
        readonly mayRepeat?: boolean;
    }
    /** `current` holds the present state of the records named by the expectations, without missing ones. */
    | { readonly committed: false; readonly current: readonly StoredRecord[]; };

export interface ListRequest {
    readonly table: string;
    readonly partition: string;
    /** Lower bound of the keys, inclusive; by default all keys are listed. */
    readonly from?: string;
    /** Upper bound of the keys, exclusive. */
    readonly to?: string;
}

/** One page of a listing in key order. */
export interface RecordPage {
    readonly records: readonly StoredRecord[];
    readonly more: boolean;
    /** Version of the store at which the page was read. */
    readonly version: number;
}

/** Change of a record; without a value, the record was removed. */
export interface RecordChange extends RecordName {
    readonly value: Uint8Array | undefined;
    readonly version: number;
}

/** Changes in version order; `kept: false` means that the store no longer has all of the requested changes. */
export type ChangeBatch =
    | { readonly kept: true; readonly changes: readonly RecordChange[]; readonly version: number; }
    | { readonly kept: false; };

export interface ChangeRequest {
    readonly table: string;
    /** Only changes after this version are returned. */
    readonly after: number;
    /** Maximum wait for the first change (long poll). */
    readonly waitMilliseconds: number;
}

/**
 * Access to the record store. Errors: `store_unavailable` if the call certainly had no effect, `store_refused` if it
 * would have none later either, such as the write of a row that is too large, and `store_outcome_unknown`
 * if a transaction may have taken effect or may still do so as long as its expectations hold.
 */
export interface RecordStore {
    commit(transaction: RecordTransaction): Promise<Result<CommitOutcome, ServiceError>>;
    list(request: ListRequest): Promise<Result<RecordPage, ServiceError>>;
    changes(request: ChangeRequest): Promise<Result<ChangeBatch, ServiceError>>;
}

/** Reads all pages of a listing. The version is that of the first page, from which a change feed can continue. */
export async function listAllRecords(
    store: RecordStore,
    request: ListRequest,
): Promise<Result<{ readonly records: readonly StoredRecord[]; readonly version: number; }, ServiceError>> {
    const records: StoredRecord[] = [];
    let version: number | undefined;
    let from = request.from;
    for (;;) {
        const page = await store.list({ ...request, ...(from === undefined ? {} : { from }) });
        if (page.isErr()) {
            return err(page.error);
        }
        records.push(...page.value.records);
        version ??= page.value.version;
        const last = records.at(-1);
        if (!page.value.more || last === undefined) {
            return ok({ records, version });
        }
        // The smallest key after the last one.
        from = `${last.key}\0`;
    }
}
