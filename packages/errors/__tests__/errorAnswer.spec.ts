import { expect } from "chai";
import { errorAnswers, ErrorKind, Outcome } from "../src/index.ts";

describe("errorAnswers", () => {
    it("has an answer for each kind, so that no failure reaches a caller without a status", () => {
        expect(Object.keys(errorAnswers).sort()).to.deep.equal(Object.values(ErrorKind).sort());
    });

    it("never claims that work was not run for kinds whose outcome is unknown", () => {
        for (const kind of [ErrorKind.OutcomeUnknown, ErrorKind.StoreOutcomeUnknown, ErrorKind.Internal]) {
            expect(errorAnswers[kind].outcome, kind).to.equal(Outcome.Unknown);
        }
    });
});
