/**
 * Guards against TWICE: leases of previous owners must have expired, on the slowest clock, when a successor counts them
 * as expired. Guards against LOST: it must not wait for longer than they can last.
 */
import { expect } from "chai";
import { initialLeaseTerms, leaseTermsFor } from "../src/leaseTerms.ts";
import type { OwnerRecord } from "../src/ownerRecord.ts";
import { type InheritedLeases, inheritLeases } from "../src/previousLeases.ts";

const SEEN_AT = 10_000;
const CLAIMED_AT = 13_000;
const MAXIMUM_LEASE = 10_000;
const PASSED = CLAIMED_AT - SEEN_AT;
const LEASE = 5_100 + 200;

describe("leases that a claim inherits", () => {
    function inherit(overrides: Partial<OwnerRecord>): InheritedLeases {
        const previousOwner: OwnerRecord = {
            node: "other",
            incarnation: "other-1",
            epoch: 3,
            renewals: 5,
            leaseTerms: leaseTermsFor(24, MAXIMUM_LEASE),
            ...overrides,
        };
        return inheritLeases({
            node: "self",
            claimedAt: CLAIMED_AT,
            previousOwner,
            previousOwnerSeenAt: SEEN_AT,
            maximumLeaseMilliseconds: MAXIMUM_LEASE,
        });
    }

    it("last for the stated authority and one lease after the last renewal was seen", () => {
        expect(inherit({}).otherLeasesMilliseconds).to.equal(2_500 + LEASE - PASSED);
    });

    it("last as long as the record says on the workers that it lists", () => {
        const { remainingLeases } = inherit({ remainingLeases: { w1: 4_200, w2: 1_200 } });
        expect(remainingLeases).to.deep.equal({ w1: 4_200 - PASSED, w2: 0 });
    });

    // Guards against TWICE: a worker that the owner reached may hold a longer lease, for its former incarnation.
    it("last as long as the record says on workers under longer leases, and as those on others at least", () => {
        const { remainingLeases } = inherit({ remainingLeases: { w1: 4_200 }, longerLeases: { w2: 9_500, w3: 6_000 } });
        expect(remainingLeases).to.deep.equal({
            w1: 4_200 - PASSED,
            w2: 9_500 - PASSED,
            w3: 2_500 + LEASE - PASSED,
        });
    });

    it("last for one lease after the release of the cell", () => {
        expect(inherit({ node: "", remainingLeases: {} }).otherLeasesMilliseconds).to.equal(LEASE - PASSED);
    });

    it("are those of its own predecessors if the owner has granted none", () => {
        const leaseTerms = initialLeaseTerms(MAXIMUM_LEASE);
        expect(inherit({ leaseTerms, otherLeasesMilliseconds: 7_000 }).otherLeasesMilliseconds).to.equal(
            7_000 - PASSED,
        );
        expect(inherit({ leaseTerms, node: "", otherLeasesMilliseconds: 7_000 }).otherLeasesMilliseconds)
            .to.equal(7_000 - PASSED);
    });

    it("are the longer ones of the owner and its predecessors", () => {
        expect(inherit({ otherLeasesMilliseconds: 17_000 }).otherLeasesMilliseconds).to.equal(17_000 - PASSED);
        expect(inherit({ otherLeasesMilliseconds: 1_000 }).otherLeasesMilliseconds).to.equal(2_500 + LEASE - PASSED);
    });

    it("last for one lease after the claim at most if the owner's process has been replaced on the same node", () => {
        const leaseTerms = { leaseMilliseconds: 5_000, authorityMilliseconds: 9_000 };
        expect(inherit({ node: "self", leaseTerms }).otherLeasesMilliseconds).to.equal(LEASE);
        expect(inherit({ leaseTerms }).otherLeasesMilliseconds).to.equal(9_000 + LEASE - PASSED);
    });

    it("last for 8 s and the longest lease after the claim if the record is from an earlier version", () => {
        expect(inherit({ leaseTerms: undefined }).otherLeasesMilliseconds).to.equal(8_000 + 10_200 + 200);
        expect(inherit({ leaseTerms: undefined, node: "" }).otherLeasesMilliseconds).to.equal(10_200 + 200);
    });

    it("last no longer than workers permit, and a report longer in large fleets", () => {
        expect(leaseTermsFor(400, MAXIMUM_LEASE).leaseMilliseconds).to.equal(6_000);
        expect(leaseTermsFor(24, 3_000).leaseMilliseconds).to.equal(3_000);
    });
});
