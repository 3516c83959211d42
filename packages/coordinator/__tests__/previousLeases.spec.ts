/**
 * Guards against TWICE: leases of previous owners must have expired, on the slowest clock, when a successor counts them
 * as expired. Guards against LOST: it must not wait for longer than they can last.
 */
import { expect } from "chai";
import { initialLeaseTerms, leaseTermsFor } from "../src/leaseTerms.ts";
import type { OwnerRecord } from "../src/ownerRecord.ts";
import { PreviousLeases } from "../src/previousLeases.ts";

const SEEN_AT = 10_000;
const CLAIMED_AT = 13_000;
const MAXIMUM_LEASE = 10_000;

describe("leases of previous owners on a silent worker", () => {
    function expireAt(overrides: Partial<OwnerRecord>): number {
        const previousOwner: OwnerRecord = {
            node: "other",
            incarnation: "other-1",
            epoch: 3,
            renewals: 5,
            leaseTerms: leaseTermsFor(24, MAXIMUM_LEASE),
            ...overrides,
        };
        return new PreviousLeases({
            node: "self",
            claimedAt: CLAIMED_AT,
            previousOwner,
            previousOwnerSeenAt: SEEN_AT,
            maximumLeaseMilliseconds: MAXIMUM_LEASE,
        }).expireAt("w1");
    }

    it("last for the stated authority and one lease after the last renewal was seen", () => {
        expect(expireAt({})).to.equal(SEEN_AT + 2_500 + 5_100 + 200);
    });

    it("last as long as the record says if it lists the worker", () => {
        expect(expireAt({ remainingLeases: { w1: 1_200 } })).to.equal(SEEN_AT + 1_200 + 200);
        expect(expireAt({ remainingLeases: { w2: 1_200 } })).to.equal(SEEN_AT + 2_500 + 5_100 + 200);
    });

    it("last for one lease after the release of the cell", () => {
        expect(expireAt({ node: "", remainingLeases: {} })).to.equal(SEEN_AT + 5_100 + 200);
    });

    it("last for the authority of its own predecessor if the owner released the cell before its recovery", () => {
        expect(expireAt({ node: "" })).to.equal(SEEN_AT + 2_500 + 5_100 + 200);
    });

    it("last for one lease after the claim if the owner's process has been replaced on the same node", () => {
        expect(expireAt({ node: "self" })).to.equal(SEEN_AT + 2_500 + 5_100 + 200);
        const late = {
            node: "self",
            renewals: 1,
            leaseTerms: { leaseMilliseconds: 5_000, authorityMilliseconds: 9_000 },
        };
        expect(expireAt(late)).to.equal(CLAIMED_AT + 5_100 + 200);
        expect(expireAt({ ...late, renewals: 0 })).to.equal(SEEN_AT + 9_000 + 5_100 + 200);
    });

    it("last for 8 s and the longest lease after the claim if the record is from an earlier version", () => {
        expect(expireAt({ leaseTerms: undefined })).to.equal(CLAIMED_AT + 8_000 + 10_200 + 200);
    });

    it("last no longer than workers permit, and a report longer in large fleets", () => {
        expect(leaseTermsFor(400, MAXIMUM_LEASE).leaseMilliseconds).to.equal(6_000);
        expect(leaseTermsFor(24, 3_000).leaseMilliseconds).to.equal(3_000);
        expect(initialLeaseTerms(MAXIMUM_LEASE).leaseMilliseconds).to.equal(5_000);
    });
});
