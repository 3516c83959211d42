import { expect } from "chai";
import { AdaptiveTimeout } from "../src/adaptiveTimeout.ts";

/**
 * Guards against a time limit that does not follow the service: if it stays long, dead connections are detected late;
 * if it stays short, every call to a service that has become slow times out.
 */
describe("AdaptiveTimeout", () => {
    const options = { shortestMilliseconds: 400, longestMilliseconds: 2_400 };

    it("uses the minimum limit while responses are fast, so that dead connections are detected early", () => {
        const timeout = new AdaptiveTimeout(options);
        timeout.recordResponse(10);
        expect(timeout.milliseconds).to.equal(400);
    });

    it("grows up to its maximum when the service becomes slow", () => {
        const timeout = new AdaptiveTimeout(options);
        timeout.recordResponse(10);
        timeout.recordTimeout();
        expect(timeout.milliseconds).to.equal(800);
        timeout.recordResponse(600);
        expect(timeout.milliseconds).to.equal(2_400);
        timeout.recordTimeout();
        expect(timeout.milliseconds).to.equal(2_400);
    });

    it("returns to its minimum after responses have become fast again", () => {
        const timeout = new AdaptiveTimeout(options);
        timeout.recordResponse(600);
        Array.from({ length: 30 }, () => timeout.recordResponse(10));
        expect(timeout.milliseconds).to.equal(400);
    });
});
