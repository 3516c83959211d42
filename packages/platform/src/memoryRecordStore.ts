/** In-memory record store with fault injection, for tests. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import type {
    ChangeBatch,
    ChangeRequest,
    CommitOutcome,
    ListRequest,
    RecordChange,
    RecordName,
    RecordPage,
    RecordStore,
    RecordTransaction,
    StoredRecord,
} from "./recordStore.ts";

/** Fault that is injected into commits. */
export const CommitFault = {
    None: "none",
    /** The commit fails with `store_unavailable` and has no effect. */
    Unavailable: "unavailable",
    /** The commit takes effect, but its response is lost. */
    ResponseLost: "answer_lost",
    /** The response is lost; the commit takes effect only when delayed commits are applied. */
    Delayed: "late",
    /** The commit takes effect and succeeds; it is executed a second time when delayed commits are applied. */
    Repeated: "repeated",
} as const;
export type CommitFault = (typeof CommitFault)[keyof typeof CommitFault];

export class MemoryRecordStore implements RecordStore {
    /** Fault of all further commits. */
    fault: CommitFault = CommitFault.None;
    private readonly records = new Map<string, StoredRecord>();
    private readonly history: RecordChange[] = [];
    private readonly delayedTransactions: RecordTransaction[] = [];
    private readonly heldCommits: (() => void)[] = [];
    private holdsCommits = false;
    private compactedVersion = 0;
    private version = 0;

    /** Version of the newest transaction. */
    get newestVersion(): number {
        return this.version;
    }

    /** Blocks commits until `releaseCommits` is called. */
    holdCommits(): void {
        this.holdsCommits = true;
    }

    releaseCommits(): void {
        this.holdsCommits = false;
        this.heldCommits.splice(0).forEach(release => release());
    }

    /** Executes the delayed commits; those whose expectations no longer hold have no effect. */
    executeDelayedCommits(): void {
        this.delayedTransactions.splice(0).forEach(transaction => this.apply(transaction));
    }

    /** Discards the change history, so that followers must list all records again. */
    dropHistory(): void {
        this.compactedVersion = this.version;
    }

    read(name: RecordName): StoredRecord | undefined {
        return this.records.get(mapKeyOf(name));
    }

    async commit(transaction: RecordTransaction): Promise<Result<CommitOutcome, ServiceError>> {
        if (this.holdsCommits) {
            await new Promise<void>(resolve => this.heldCommits.push(resolve));
        }
        switch (this.fault) {
            case CommitFault.Unavailable:
                return err(serviceError(ErrorKind.StoreUnavailable, "the record store is unavailable"));
            case CommitFault.ResponseLost:
                this.apply(transaction);
                return err(serviceError(ErrorKind.StoreOutcomeUnknown, "the response of the record store was lost"));
            case CommitFault.Delayed:
                this.delayedTransactions.push(transaction);
                return err(serviceError(ErrorKind.StoreOutcomeUnknown, "the response of the record store was lost"));
            case CommitFault.Repeated: {
                this.delayedTransactions.push(transaction);
                const outcome = this.apply(transaction);
                return ok(outcome.committed ? { ...outcome, mayRepeat: true } : outcome);
            }
            default:
                return ok(this.apply(transaction));
        }
    }

    list({ table, partition, from = "", to }: ListRequest): Promise<Result<RecordPage, ServiceError>> {
        if (this.fault === CommitFault.Unavailable) {
            return Promise.resolve(err(serviceError(ErrorKind.StoreUnavailable, "the record store is unavailable")));
        }
        const records = [...this.records.values()].filter(record =>
            record.table === table && record.partition === partition && record.key >= from
            && (to === undefined || record.key < to)
        );
        records.sort((left, right) => left.key < right.key ? -1 : 1);
        return Promise.resolve(ok({ records, more: false, version: this.version }));
    }

    changes({ table, after }: ChangeRequest): Promise<Result<ChangeBatch, ServiceError>> {
        if (after < this.compactedVersion) {
            return Promise.resolve(ok({ kept: false }));
        }
        const changes = this.history.filter(change => change.table === table && change.version > after);
        return Promise.resolve(ok({ kept: true, changes, version: this.version }));
    }

    private apply({ expectations, writes, removals }: RecordTransaction): CommitOutcome {
        const hasConflict = expectations.some(expected =>
            (this.records.get(mapKeyOf(expected))?.version ?? 0) !== expected.expectedVersion
        );
        if (hasConflict) {
            const current = expectations.flatMap(expected => this.records.get(mapKeyOf(expected)) ?? []);
            return { committed: false, current };
        }
        const version = ++this.version;
        for (const write of writes) {
            this.records.set(mapKeyOf(write), { ...write, version });
            this.history.push({ ...write, version });
        }
        for (const name of removals) {
            this.records.delete(mapKeyOf(name));
            this.history.push({ ...name, value: undefined, version });
        }
        return { committed: true, version };
    }
}

function mapKeyOf({ table, partition, key }: RecordName): string {
    return JSON.stringify([table, partition, key]);
}
