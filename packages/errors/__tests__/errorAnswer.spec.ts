/** Guards against errors that reach a caller without a status, or that report work of unknown outcome as not run. */
import { expect } from "chai";
import { errorAnswers, ErrorKind, Outcome } from "../src/index.ts";

describe("errorAnswers", () => {
    it("defines a response for each kind, so that no error reaches a caller without a status", () => {
        expect(Object.keys(errorAnswers).sort()).to.deep.equal(Object.values(ErrorKind).sort());
    });

    it("does not report work as not run for kinds whose outcome is unknown", () => {
        for (const kind of [ErrorKind.OutcomeUnknown, ErrorKind.StoreOutcomeUnknown, ErrorKind.Internal]) {
            expect(errorAnswers[kind].outcome, kind).to.equal(Outcome.Unknown);
        }
    });
});
