/**
 * Guards against two owners at once and against claims while the owner still renews: a renewal that arrives late, or
 * missing changes of the records, must not count as the expiry of the owner's claim.
 */
import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { Election } from "../src/election.ts";
import { nextEpoch } from "../src/fencingTokens.ts";
import { decodeOwnerRecord, encodeJson, ownerRecordName, type VersionedOwnerRecord } from "../src/ownerRecord.ts";

const durations = { expiry: 2_600, unlinked: 1_200, maximumChangesAge: 1_500 };

class Candidate {
    readonly wonClaims: VersionedOwnerRecord[] = [];
    isLinked = true;
    receivesChanges = true;
    readonly election: Election;

    constructor(node: string, store: MemoryRecordStore, timers: ManualTimers, rank = 0) {
        this.election = new Election({
            node,
            incarnation: `${node}-1`,
            store,
            timers,
            logger: silentLogger,
            durations: {
                expiryMilliseconds: durations.expiry,
                unlinkedExpiryMilliseconds: durations.unlinked,
                maximumChangesAgeMilliseconds: durations.maximumChangesAge,
            },
            rank: () => rank,
            changesReceivedAt: () => this.receivesChanges ? timers.now() : -Infinity,
            isLinked: () => this.isLinked,
            isEligible: () => this.wonClaims.length === 0,
            maximumLeaseMilliseconds: () => 6_000,
            onWon: claim => this.wonClaims.push(claim),
        });
    }

    /** Passes on the stored owner record, as a process that follows the changes does. */
    follow(store: MemoryRecordStore): void {
        const record = store.read(ownerRecordName);
        if (record !== undefined) {
            this.election.observe(decodeOwnerRecord(record)._unsafeUnwrap());
        }
    }
}

describe("election of the owner", () => {
    let store: MemoryRecordStore;
    let timers: ManualTimers;

    beforeEach(async () => {
        store = new MemoryRecordStore();
        timers = new ManualTimers();
        const record = { node: "other", incarnation: "other-1", epoch: 3, renewals: 0 };
        await store.commit({
            expectations: [],
            writes: [{ ...ownerRecordName, value: encodeJson(record) }],
            removals: [],
        });
    });

    // Guards against TWICE: an owner that is not ready, or does not know when its claim was stored, renews leases.
    it("states no authority over leases in a claim, and the leases that it inherits", async () => {
        const candidate = new Candidate("one", store, timers);
        candidate.follow(store);
        await timers.advance(3_000);
        const { leaseTerms, otherLeasesMilliseconds } = candidate.wonClaims[0]!.record;
        expect(leaseTerms).to.deep.equal({ leaseMilliseconds: 5_000, authorityMilliseconds: 0 });
        expect(otherLeasesMilliseconds).to.be.above(8_000);
        candidate.election[Symbol.dispose]();
    });

    it("claims the cell only after the owner's claim has expired", async () => {
        const candidate = new Candidate("one", store, timers);
        candidate.follow(store);
        await timers.advance(2_500);
        expect(candidate.wonClaims).to.have.length(0);
        await timers.advance(300);
        expect(candidate.wonClaims.map(({ record }) => record.epoch)).to.deep.equal([nextEpoch(3)]);
        candidate.election[Symbol.dispose]();
    });

    it("does not claim the cell while the owner itself reports confirmed renewals", async () => {
        const candidate = new Candidate("one", store, timers);
        candidate.follow(store);
        for (let second = 0; second < 6; second++) {
            await timers.advance(1_000);
            candidate.election.recordConfirmation(3, timers.now() - 900);
        }
        expect(candidate.wonClaims).to.have.length(0);
        await timers.advance(1_000);
        candidate.election.recordConfirmation(2, timers.now());
        await timers.advance(900);
        expect(candidate.wonClaims, "a confirmation of an earlier epoch does not count").to.have.length(1);
        candidate.election[Symbol.dispose]();
    });

    it("claims the cell earlier when the link to the owner is down as well", async () => {
        const candidate = new Candidate("one", store, timers);
        candidate.follow(store);
        candidate.isLinked = false;
        await timers.advance(1_500);
        expect(candidate.wonClaims).to.have.length(1);
        candidate.election[Symbol.dispose]();
    });

    it("does not treat a claim as expired while it receives no changes of the records itself", async () => {
        const candidate = new Candidate("one", store, timers);
        candidate.follow(store);
        candidate.receivesChanges = false;
        candidate.isLinked = false;
        await timers.advance(10_000);
        expect(candidate.wonClaims).to.have.length(0);
        candidate.election[Symbol.dispose]();
    });

    it("lets only one of several candidates win", async () => {
        const candidates = ["one", "two", "three"].map(node => new Candidate(node, store, timers));
        candidates.forEach(candidate => candidate.follow(store));
        await timers.advance(3_000);
        expect(candidates.flatMap(({ wonClaims }) => wonClaims)).to.have.length(1);
        candidates.forEach(({ election }) => election[Symbol.dispose]());
    });

    it("detects that its claim succeeded when the response was lost", async () => {
        const candidate = new Candidate("one", store, timers);
        candidate.follow(store);
        store.fault = CommitFault.ResponseLost;
        await timers.advance(2_800);
        store.fault = CommitFault.None;
        await timers.advance(1_000);
        expect(candidate.wonClaims.map(({ record }) => [record.node, record.epoch])).to.deep.equal([[
            "one",
            nextEpoch(3),
        ]]);
        candidate.election[Symbol.dispose]();
    });
});
