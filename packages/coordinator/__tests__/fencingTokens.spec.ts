/**
 * Guards against orders of a previous owner, or of a former incarnation of a worker, that the worker does not refuse.
 */
import { expect } from "chai";
import { FencingTokens, isTokenOf, nextEpoch } from "../src/fencingTokens.ts";

describe("fencing tokens", () => {
    it("rise with each epoch, and within it after calls that were meant for one incarnation", () => {
        const epoch = nextEpoch(7);
        const tokens = new FencingTokens(epoch);
        const first = tokens.current;
        expect(first).to.be.above(7);
        tokens.advance();
        expect(tokens.current, "without such calls").to.equal(first);
        tokens.recordBoundCall();
        expect(tokens.mustAdvance).to.equal(true);
        tokens.advance();
        expect(tokens.mustAdvance).to.equal(false);
        expect(tokens.current).to.equal(first + 1);
        expect(new FencingTokens(nextEpoch(epoch)).current).to.be.above(epoch);
    });

    // An owner of an earlier version uses the epoch after the last one as its only token.
    it("never exceed the epoch, so that a successor of an earlier version is not refused", () => {
        const epoch = nextEpoch(7);
        const tokens = new FencingTokens(epoch);
        for (let count = 0; count < 1_000_010; count++) {
            tokens.recordBoundCall();
            tokens.advance();
        }
        expect(tokens.current).to.equal(epoch);
        expect(tokens.mustAdvance, "cannot fence any more").to.equal(true);
        expect(isTokenOf(epoch, tokens.current)).to.equal(true);
        expect(isTokenOf(epoch, epoch + 1)).to.equal(false);
    });
});
