/**
 * The platform's store of versioned records: atomic transactions within one partition, ordered listings and a feed of
 * changes. Versions come from one counter of the whole store, so that any two records can be ordered.
 */
import type { ServiceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";

/** Names one record. A transaction must keep to one partition. */
export interface RecordName {
    readonly table: string;
    readonly partition: string;
    readonly key: string;
}

/** One record as read. */
export interface StoredRecord extends RecordName {
    readonly value: Uint8Array;
    /** Version of the transaction that wrote the record. */
    readonly version: number;
}

/** A record that must still have `expectedVersion`; 0 means that it must not exist. */
export interface RecordExpectation extends RecordName {
    readonly expectedVersion: number;
}

export interface RecordWrite extends RecordName {
    readonly value: Uint8Array;
}

/** All writes and removals take effect together, if all expectations hold. */
export interface RecordTransaction {
    readonly expectations: readonly RecordExpectation[];
    readonly writes: readonly RecordWrite[];
    readonly removals: readonly RecordName[];
}

/** Outcome of a transaction that the store has answered. */
export type CommitOutcome =
    | {
        readonly committed: true;
        readonly version: number;
        /**
         * Set if the transaction was sent more than once, so that it may be carried out again while its expectations
         * hold.
         */
        readonly mayRepeat?: boolean;
    }
    /** `current` holds the records named by the expectations as they are now; missing ones are left out. */
    | { readonly committed: false; readonly current: readonly StoredRecord[]; };

export interface ListRequest {
    readonly table: string;
    readonly partition: string;
    /** First key of the listing; all keys by default. */
    readonly from?: string;
    /** First key after the listing. */
    readonly to?: string;
}

/** One page in the order of keys. */
export interface RecordPage {
    readonly records: readonly StoredRecord[];
    readonly more: boolean;
    /** Version of the store that the page shows. */
    readonly version: number;
}

/** A record that was written, or removed if it has no value. */
export interface RecordChange extends RecordName {
    readonly value: Uint8Array | undefined;
    readonly version: number;
}

/** Changes in their order, or the notice that the store no longer keeps them. */
export type ChangeBatch =
    | { readonly kept: true; readonly changes: readonly RecordChange[]; readonly version: number; }
    | { readonly kept: false; };

export interface ChangeRequest {
    readonly table: string;
    /** Version after which changes are wanted. */
    readonly after: number;
    /** Longest wait for a first change. */
    readonly waitMilliseconds: number;
}

/**
 * Access to the records. Errors: `store_unavailable` when the call certainly had no effect, `store_outcome_unknown`
 * when a transaction may have taken effect or may still do so while its expectations hold.
 */
export interface RecordStore {
    commit(transaction: RecordTransaction): Promise<Result<CommitOutcome, ServiceError>>;
    list(request: ListRequest): Promise<Result<RecordPage, ServiceError>>;
    changes(request: ChangeRequest): Promise<Result<ChangeBatch, ServiceError>>;
}

/** Reads all pages of a partition; the version is that of the first page, from which a feed of changes can continue. */
export async function listAll(
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
        // The smallest key above the last one.
        from = `${last.key}\0`;
    }
}
