/**
 * Guards against two owners at once and against claims while the owner still renews: a renewal that arrives late, or
 * missing changes of the records, must not count as the expiry of the owner's claim.
 */
import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { Election } from "../src/election.ts";
import { decodeOwner, encodeRecord, ownerRecordName, type VersionedOwnerRecord } from "../src/ownerRecord.ts";

const durations = { expiry: 2_600, unlinked: 1_200, freshness: 1_500 };

class Candidate {
    readonly won: VersionedOwnerRecord[] = [];
    isLinked = true;
    isFresh = true;
    readonly election: Election;

    constructor(node: string, store: MemoryRecordStore, clock: ManualTimers, rank = 0) {
        this.election = new Election({
            node,
            incarnation: `${node}-1`,
            store,
            timers: clock,
            logger: silentLogger,
            durations: {
                expiryMilliseconds: durations.expiry,
                unlinkedExpiryMilliseconds: durations.unlinked,
                freshnessMilliseconds: durations.freshness,
            },
            rank: () => rank,
            changesReceivedAt: () => this.isFresh ? clock.now() : -Infinity,
            isLinked: () => this.isLinked,
            isEligible: () => this.won.length === 0,
            onWon: claim => this.won.push(claim),
        });
    }

    /** Passes on the stored owner record, as a process that follows the changes does. */
    follow(store: MemoryRecordStore): void {
        const record = store.read(ownerRecordName);
        if (record !== undefined) {
            this.election.observe(decodeOwner(record)._unsafeUnwrap());
        }
    }
}

describe("election of the owner", () => {
    let store: MemoryRecordStore;
    let clock: ManualTimers;

    beforeEach(async () => {
        store = new MemoryRecordStore();
        clock = new ManualTimers();
        const record = { node: "other", incarnation: "other-1", epoch: 3, renewals: 0 };
        await store.commit({
            expectations: [],
            writes: [{ ...ownerRecordName, value: encodeRecord(record) }],
            removals: [],
        });
    });

    it("claims the cell only after the owner's claim has expired", async () => {
        const candidate = new Candidate("one", store, clock);
        candidate.follow(store);
        await clock.advance(2_500);
        expect(candidate.won).to.have.length(0);
        await clock.advance(300);
        expect(candidate.won.map(({ record }) => record.epoch)).to.deep.equal([4]);
        candidate.election[Symbol.dispose]();
    });

    it("does not claim the cell while the owner itself reports confirmed renewals", async () => {
        const candidate = new Candidate("one", store, clock);
        candidate.follow(store);
        for (let second = 0; second < 6; second++) {
            await clock.advance(1_000);
            candidate.election.recordConfirmation(3, clock.now() - 900);
        }
        expect(candidate.won).to.have.length(0);
        await clock.advance(1_000);
        candidate.election.recordConfirmation(2, clock.now());
        await clock.advance(900);
        expect(candidate.won, "a confirmation of an earlier epoch does not count").to.have.length(1);
        candidate.election[Symbol.dispose]();
    });

    it("claims the cell earlier when the link to the owner is down as well", async () => {
        const candidate = new Candidate("one", store, clock);
        candidate.follow(store);
        candidate.isLinked = false;
        await clock.advance(1_500);
        expect(candidate.won).to.have.length(1);
        candidate.election[Symbol.dispose]();
    });

    it("does not treat a claim as expired while it receives no changes of the records itself", async () => {
        const candidate = new Candidate("one", store, clock);
        candidate.follow(store);
        candidate.isFresh = false;
        candidate.isLinked = false;
        await clock.advance(10_000);
        expect(candidate.won).to.have.length(0);
        candidate.election[Symbol.dispose]();
    });

    it("lets only one of several candidates win", async () => {
        const candidates = ["one", "two", "three"].map(node => new Candidate(node, store, clock));
        candidates.forEach(candidate => candidate.follow(store));
        await clock.advance(3_000);
        expect(candidates.flatMap(({ won }) => won)).to.have.length(1);
        candidates.forEach(({ election }) => election[Symbol.dispose]());
    });

    it("detects that its claim succeeded when the response was lost", async () => {
        const candidate = new Candidate("one", store, clock);
        candidate.follow(store);
        store.fault = CommitFault.AnswerLost;
        await clock.advance(2_800);
        store.fault = CommitFault.None;
        await clock.advance(1_000);
        expect(candidate.won.map(({ record }) => [record.node, record.epoch])).to.deep.equal([["one", 4]]);
        candidate.election[Symbol.dispose]();
    });
});
