/**
 * Guards against lost and overwritten progress: changes reported as stored too early, transactions that are executed
 * late or twice, and writes after the loss of ownership.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { JobRun, JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { err } from "neverthrow";
import { PROGRESS_TABLE } from "../src/index.ts";
import { Journal } from "../src/journal.ts";
import { leaseTermsFor } from "../src/leaseTerms.ts";
import {
    decodeOwnerRecord,
    encodeJson,
    OWNER_PARTITION,
    ownerRecordName,
    type VersionedOwnerRecord,
} from "../src/ownerRecord.ts";
import { sampleClaim, sampleJob } from "./support/samples.ts";

interface Fixture {
    readonly store: MemoryRecordStore;
    readonly timers: ManualTimers;
    readonly journal: Journal;
    readonly isOwnershipLost: () => boolean;
}

/** Timers of a machine whose monotonic clock stands still while it is suspended. */
class SuspendableTimers extends ManualTimers {
    suspendedMilliseconds = 0;

    override wallClock(): number {
        return super.wallClock() + this.suspendedMilliseconds;
    }
}

async function openJournal(timers = new ManualTimers()): Promise<Fixture> {
    const store = new MemoryRecordStore();
    const written = await store.commit({
        expectations: [],
        writes: [{ ...ownerRecordName, value: encodeJson(sampleClaim.record) }],
        removals: [],
    });
    const version = written._unsafeUnwrap().committed ? 1 : 0;
    let isOwnershipLost = false;
    const claim: VersionedOwnerRecord = { ...sampleClaim, version };
    const journal = new Journal({
        store,
        timers,
        logger: silentLogger,
        claim,
        describeLeases: () => ({ leaseTerms: leaseTermsFor(1, 6_000) }),
        renewalMilliseconds: 1_000,
        onOwnershipLost: () => isOwnershipLost = true,
        onRefused: () => undefined,
    });
    return { store, timers, journal, isOwnershipLost: () => isOwnershipLost };
}

function createJob(id: string): JobRun {
    return new JobRun(sampleJob(id), 0, 0);
}

/** Waits until all transactions that the store does not hold are finished. */
async function settle(timers?: ManualTimers): Promise<void> {
    for (let turn = 0; turn < 10; turn++) {
        await new Promise(resolve => setImmediate(resolve));
        await timers?.advance(60);
    }
}

describe("journal", () => {
    it("does not report a change as stored when a later change of the same job replaces it before it is written", async () => {
        const { store, journal } = await openJournal();
        const [first, second] = [createJob("a"), createJob("b")];
        store.holdCommits();
        journal.recordChange(second);
        await settle();
        // The transaction with the second job is in flight.
        journal.recordChange(first);
        let stored = false;
        void journal.waitUntilStored().then(() => stored = true);
        journal.recordChange(second);
        journal.recordChange(first);
        store.releaseCommits();
        store.holdCommits();
        await settle();
        expect(store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" })).to.equal(undefined);
        expect(stored).to.equal(false);
        store.releaseCommits();
        await settle();
        expect(stored).to.equal(true);
        journal[Symbol.dispose]();
    });

    it("continues after a lost response, and a delayed transaction cannot overwrite a newer record", async () => {
        const { store, timers, journal, isOwnershipLost } = await openJournal();
        const changed = createJob("a");
        store.fault = CommitFault.Delayed;
        journal.recordChange(changed);
        await settle();
        store.fault = CommitFault.None;
        changed.state = JobState.Completed;
        journal.recordChange(changed);
        await settle(timers);
        expect(await journal.waitUntilStored()).to.equal(true);
        store.executeDelayedCommits();
        const record = store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" });
        expect(JSON.parse(Buffer.from(record?.value ?? []).toString())).to.have.property("state", JobState.Completed);
        expect(isOwnershipLost()).to.equal(false);
        journal[Symbol.dispose]();
    });

    it("prevents a duplicate transaction from overwriting a newer record", async () => {
        const { store, timers, journal, isOwnershipLost } = await openJournal();
        const changed = createJob("a");
        store.fault = CommitFault.Repeated;
        journal.recordChange(changed);
        await settle();
        store.fault = CommitFault.None;
        changed.state = JobState.Completed;
        journal.recordChange(changed);
        await settle(timers);
        store.executeDelayedCommits();
        const record = store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" });
        expect(JSON.parse(Buffer.from(record?.value ?? []).toString())).to.have.property("state", JobState.Completed);
        expect(isOwnershipLost()).to.equal(false);
        journal[Symbol.dispose]();
    });

    it("writes a change that is recorded in the same turn as the response to a transaction", async () => {
        const { store, journal } = await openJournal();
        journal.recordChange(createJob("a"));
        await journal.waitUntilStored();
        journal.recordChange(createJob("b"));
        await settle();
        expect(store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "b" })).not.to.equal(undefined);
        journal[Symbol.dispose]();
    });

    // Guards against TWICE: a suspended owner renews leases that its successor takes for expired.
    it("ends the authority over leases 2.5 s after the last stored renewal, also while the machine is suspended", async () => {
        const timers = new SuspendableTimers();
        const { journal } = await openJournal(timers);
        await timers.advance(1_000);
        await settle();
        expect(journal.leaseAuthority.canExtend("w1")).to.equal(true);
        timers.suspendedMilliseconds = 2_600;
        expect(journal.leaseAuthority.canExtend("w1")).to.equal(false);
        await timers.advance(1_000);
        await settle();
        expect(journal.leaseAuthority.canExtend("w1")).to.equal(true);
        journal[Symbol.dispose]();
    });

    it("recognizes its own owner record when the response to a renewal was lost", async () => {
        const { store, timers, journal, isOwnershipLost } = await openJournal();
        store.fault = CommitFault.ResponseLost;
        await timers.advance(1_000);
        await settle();
        store.fault = CommitFault.None;
        journal.recordChange(createJob("a"));
        await settle(timers);
        expect(await journal.waitUntilStored()).to.equal(true);
        expect(isOwnershipLost()).to.equal(false);
        journal[Symbol.dispose]();
    });

    it("writes nothing after another process has claimed the cell", async () => {
        const { store, timers, journal, isOwnershipLost } = await openJournal();
        const current = store.read(ownerRecordName);
        await store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: current?.version ?? 0 }],
            writes: [{ ...ownerRecordName, value: encodeJson({ ...sampleClaim.record, node: "two", epoch: 8 }) }],
            removals: [],
        });
        journal.recordChange(createJob("a"));
        const stored = journal.waitUntilStored();
        await settle(timers);
        expect(await stored).to.equal(false);
        expect(isOwnershipLost()).to.equal(true);
        expect(store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" })).to.equal(undefined);
    });

    it("releases the cell with an owner record that names no process", async () => {
        const { store, timers, journal } = await openJournal();
        journal.recordChange(createJob("a"));
        const released = journal.release();
        await settle(timers);
        await released;
        const record = store.read(ownerRecordName);
        expect(record).not.to.equal(undefined);
        expect(record === undefined ? undefined : decodeOwnerRecord(record)._unsafeUnwrap().record.node).to.equal("");
    });

    // Guards against a job that fails since the store refuses to remove the record of another one.
    it("does not blame a job for a removal in the same transaction that the store refuses", async () => {
        const { store, timers, journal } = await openJournal();
        const commit = store.commit.bind(store);
        store.commit = async transaction =>
            transaction.removals.length > 0
                ? err(serviceError(ErrorKind.StoreRefused, "no such row"))
                : await commit(transaction);
        journal.remove([{ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "other" }]);
        journal.recordChange(createJob("a"));
        await settle(timers);
        expect(store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" })).not.to.equal(undefined);
        expect(await journal.waitUntilStored()).to.equal(true);
        journal[Symbol.dispose]();
    });
});
