/** A record store in memory, for tests. Faults are switched on from outside. */
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

/** What happens to commits. */
export const CommitFault = {
    None: "none",
    /** Nothing is done. */
    Unavailable: "unavailable",
    /** Done, but the answer is lost. */
    AnswerLost: "answer_lost",
    /** The answer is lost; `deliverLate` carries them out. */
    Late: "late",
    /** Done and answered; `deliverLate` carries them out once more. */
    Repeated: "repeated",
} as const;
export type CommitFault = (typeof CommitFault)[keyof typeof CommitFault];

export class MemoryRecordStore implements RecordStore {
    /** Applies to each commit until it is changed. */
    fault: CommitFault = CommitFault.None;
    private readonly records = new Map<string, StoredRecord>();
    private readonly history: RecordChange[] = [];
    private readonly late: RecordTransaction[] = [];
    private readonly held: (() => void)[] = [];
    private holds = false;
    private forgottenUpTo = 0;
    private version = 0;

    /** Lets commits wait until `releaseCommits`. */
    holdCommits(): void {
        this.holds = true;
    }

    releaseCommits(): void {
        this.holds = false;
        this.held.splice(0).forEach(release => release());
    }

    /** Carries out commits whose answers were lost, if their expectations still hold. */
    deliverLate(): void {
        this.late.splice(0).forEach(transaction => this.apply(transaction));
    }

    /** Drops the history, so that followers must list again. */
    forgetHistory(): void {
        this.forgottenUpTo = this.version;
    }

    read(name: RecordName): StoredRecord | undefined {
        return this.records.get(nameOf(name));
    }

    async commit(transaction: RecordTransaction): Promise<Result<CommitOutcome, ServiceError>> {
        if (this.holds) {
            await new Promise<void>(resolve => this.held.push(resolve));
        }
        switch (this.fault) {
            case CommitFault.Unavailable:
                return err(serviceError(ErrorKind.StoreUnavailable, "the store is down"));
            case CommitFault.AnswerLost:
                this.apply(transaction);
                return err(serviceError(ErrorKind.StoreOutcomeUnknown, "the answer was lost"));
            case CommitFault.Late:
                this.late.push(transaction);
                return err(serviceError(ErrorKind.StoreOutcomeUnknown, "the answer was lost"));
            case CommitFault.Repeated: {
                this.late.push(transaction);
                const outcome = this.apply(transaction);
                return ok(outcome.committed ? { ...outcome, mayRepeat: true } : outcome);
            }
            default:
                return ok(this.apply(transaction));
        }
    }

    list({ table, partition, from = "", to }: ListRequest): Promise<Result<RecordPage, ServiceError>> {
        if (this.fault === CommitFault.Unavailable) {
            return Promise.resolve(err(serviceError(ErrorKind.StoreUnavailable, "the store is down")));
        }
        const records = [...this.records.values()].filter(record =>
            record.table === table && record.partition === partition && record.key >= from
            && (to === undefined || record.key < to)
        );
        records.sort((left, right) => left.key < right.key ? -1 : 1);
        return Promise.resolve(ok({ records, more: false, version: this.version }));
    }

    changes({ table, after }: ChangeRequest): Promise<Result<ChangeBatch, ServiceError>> {
        if (after < this.forgottenUpTo) {
            return Promise.resolve(ok({ kept: false }));
        }
        const changes = this.history.filter(change => change.table === table && change.version > after);
        return Promise.resolve(ok({ kept: true, changes, version: this.version }));
    }

    private apply({ expectations, writes, removals }: RecordTransaction): CommitOutcome {
        const differs = expectations.some(expected =>
            (this.records.get(nameOf(expected))?.version ?? 0) !== expected.expectedVersion
        );
        if (differs) {
            const current = expectations.flatMap(expected => this.records.get(nameOf(expected)) ?? []);
            return { committed: false, current };
        }
        const version = ++this.version;
        for (const write of writes) {
            this.records.set(nameOf(write), { ...write, version });
            this.history.push({ ...write, version });
        }
        for (const name of removals) {
            this.records.delete(nameOf(name));
            this.history.push({ ...name, value: undefined, version });
        }
        return { committed: true, version };
    }
}

function nameOf({ table, partition, key }: RecordName): string {
    return JSON.stringify([table, partition, key]);
}
