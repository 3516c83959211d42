import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { JobRun, JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { Journal, PROGRESS_TABLE } from "../src/journal.ts";
import { decodeOwner, encodeRecord, OWNER_PARTITION, ownerRecordName, type SeenOwner } from "../src/ownerRecord.ts";
import { sampleClaim, sampleJob } from "./support/samples.ts";

interface Fixture {
    readonly store: MemoryRecordStore;
    readonly timers: ManualTimers;
    readonly journal: Journal;
    readonly wasDeposed: () => boolean;
}

async function openJournal(): Promise<Fixture> {
    const store = new MemoryRecordStore();
    const timers = new ManualTimers();
    const written = await store.commit({
        expectations: [],
        writes: [{ ...ownerRecordName, value: encodeRecord(sampleClaim.record) }],
        removals: [],
    });
    const version = written._unsafeUnwrap().committed ? 1 : 0;
    let deposed = false;
    const claim: SeenOwner = { ...sampleClaim, version };
    const journal = new Journal({
        store,
        timers,
        logger: silentLogger,
        claim,
        renewalMilliseconds: 1_000,
        deposed: () => deposed = true,
    });
    return { store, timers, journal, wasDeposed: () => deposed };
}

function job(id: string): JobRun {
    return new JobRun(sampleJob(id), 0, 0);
}

/** Lets transactions that are not held finish. */
async function settle(timers?: ManualTimers): Promise<void> {
    for (let turn = 0; turn < 10; turn++) {
        await new Promise(resolve => setImmediate(resolve));
        await timers?.advance(60);
    }
}

describe("journal", () => {
    it("does not report a change as stored while a later change of the same job replaces it unwritten", async () => {
        const { store, journal } = await openJournal();
        const [first, second] = [job("a"), job("b")];
        store.holdCommits();
        journal.note(second);
        await settle();
        // The transaction with the second job is on its way.
        journal.note(first);
        let stored = false;
        void journal.stored().then(() => stored = true);
        journal.note(second);
        journal.note(first);
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

    it("goes on after a lost answer, and a late transaction cannot replace a newer record", async () => {
        const { store, timers, journal, wasDeposed } = await openJournal();
        const changed = job("a");
        store.fault = CommitFault.Late;
        journal.note(changed);
        await settle();
        store.fault = CommitFault.None;
        changed.state = JobState.Completed;
        journal.note(changed);
        await settle(timers);
        expect(await journal.stored()).to.equal(true);
        store.deliverLate();
        const record = store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" });
        expect(JSON.parse(Buffer.from(record?.value ?? []).toString())).to.have.property("state", JobState.Completed);
        expect(wasDeposed()).to.equal(false);
        journal[Symbol.dispose]();
    });

    it("keeps a second copy of a transaction from replacing a newer record", async () => {
        const { store, timers, journal, wasDeposed } = await openJournal();
        const changed = job("a");
        store.fault = CommitFault.Repeated;
        journal.note(changed);
        await settle();
        store.fault = CommitFault.None;
        changed.state = JobState.Completed;
        journal.note(changed);
        await settle(timers);
        store.deliverLate();
        const record = store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" });
        expect(JSON.parse(Buffer.from(record?.value ?? []).toString())).to.have.property("state", JobState.Completed);
        expect(wasDeposed()).to.equal(false);
        journal[Symbol.dispose]();
    });

    it("writes a change at once that is noted in the turn in which a transaction is answered", async () => {
        const { store, journal } = await openJournal();
        journal.note(job("a"));
        await journal.stored();
        journal.note(job("b"));
        await settle();
        expect(store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "b" })).not.to.equal(undefined);
        journal[Symbol.dispose]();
    });

    it("recognizes its own owner record when the answer to a renewal was lost", async () => {
        const { store, timers, journal, wasDeposed } = await openJournal();
        store.fault = CommitFault.AnswerLost;
        await timers.advance(1_000);
        await settle();
        store.fault = CommitFault.None;
        journal.note(job("a"));
        await settle(timers);
        expect(await journal.stored()).to.equal(true);
        expect(wasDeposed()).to.equal(false);
        journal[Symbol.dispose]();
    });

    it("records nothing once another process has taken the cell", async () => {
        const { store, timers, journal, wasDeposed } = await openJournal();
        const current = store.read(ownerRecordName);
        await store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: current?.version ?? 0 }],
            writes: [{ ...ownerRecordName, value: encodeRecord({ ...sampleClaim.record, node: "two", epoch: 8 }) }],
            removals: [],
        });
        journal.note(job("a"));
        const stored = journal.stored();
        await settle(timers);
        expect(await stored).to.equal(false);
        expect(wasDeposed()).to.equal(true);
        expect(store.read({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: "a" })).to.equal(undefined);
    });

    it("gives the cell back with an owner record that names no process", async () => {
        const { store, timers, journal } = await openJournal();
        journal.note(job("a"));
        const released = journal.release();
        await settle(timers);
        await released;
        const record = store.read(ownerRecordName);
        expect(record).not.to.equal(undefined);
        expect(record === undefined ? undefined : decodeOwner(record)._unsafeUnwrap().record.node).to.equal("");
    });
});
