import { expect } from "chai";
import { AdaptiveTimeout } from "../src/adaptiveTimeout.ts";

describe("adaptive timeout", () => {
    const options = { shortestMilliseconds: 400, longestMilliseconds: 2_400 };

    it("notices silent connections early while answers are fast", () => {
        const timeout = new AdaptiveTimeout(options);
        timeout.answered(10);
        expect(timeout.milliseconds).to.equal(400);
    });

    it("waits for a service that has become slow, up to its bound", () => {
        const timeout = new AdaptiveTimeout(options);
        timeout.answered(10);
        timeout.timedOut();
        expect(timeout.milliseconds).to.equal(800);
        timeout.answered(600);
        expect(timeout.milliseconds).to.equal(2_400);
        timeout.timedOut();
        expect(timeout.milliseconds).to.equal(2_400);
    });

    it("returns to its shortest limit once answers are fast again", () => {
        const timeout = new AdaptiveTimeout(options);
        timeout.answered(600);
        Array.from({ length: 30 }, () => timeout.answered(10));
        expect(timeout.milliseconds).to.equal(400);
    });
});
