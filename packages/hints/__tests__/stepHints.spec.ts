/** Guards against starts with tickets that the worker would refuse, since they expired or belong to another boot. */
import { expect } from "chai";
import { StepHints } from "../src/stepHints.ts";

describe("hints of a step", () => {
    const response = { allowed: [{ worker: "w1", ticket: "t1" }] };
    const namedWorkers = [{ id: "w1", boot: 1 }, { id: "w2", boot: 1 }];

    it("keeps allowed and forbidden workers after tickets have expired", () => {
        const hints = new StepHints();
        hints.recordResponse(namedWorkers, response, 2_000, 0);
        expect(hints.ticket({ id: "w1", boot: 1 }, 1_000)).to.equal("t1");
        expect(hints.ticket({ id: "w1", boot: 1 }, 1_900)).to.equal(undefined);
        expect(hints.isAllowed("w1")).to.equal(true);
        expect(hints.isForbidden("w2")).to.equal(true);
        expect(hints.isUnknown("w3")).to.equal(true);
    });

    it("does not use a ticket beyond the validity that the queue defines", () => {
        const hints = new StepHints();
        hints.recordResponse(namedWorkers, response, 1_000, 0);
        expect(hints.ticket({ id: "w1", boot: 1 }, 800)).to.equal("t1");
        expect(hints.ticket({ id: "w1", boot: 1 }, 900)).to.equal(undefined);
    });

    it("does not use a ticket for another incarnation of the worker", () => {
        const hints = new StepHints();
        hints.recordResponse(namedWorkers, response, 2_000, 0);
        expect(hints.ticket({ id: "w1", boot: 2 }, 100)).to.equal(undefined);
    });

    it("discards a ticket that the worker has rejected", () => {
        const hints = new StepHints();
        hints.recordResponse(namedWorkers, response, 2_000, 0);
        hints.discardTicket("w1");
        expect(hints.ticket({ id: "w1", boot: 1 }, 100)).to.equal(undefined);
    });
});
