/**
 * Guards against a burst of urgent jobs of a team whose limit its own long batch tasks have filled: the urgent jobs then
 * wait for the end of these tasks although the workers have room.
 */
import type { Resources } from "@tanagerlink/model";
import { expect } from "chai";
import { TeamUsage } from "../src/teamUsage.ts";

const LIMIT_CORES = 100;

function cores(count: number): Resources {
    return { processorMillis: count * 1_000, memoryMebibytes: 0, accelerators: 0 };
}

describe("usage of a team", () => {
    let now: number;
    let usage: TeamUsage;

    beforeEach(() => {
        now = 0;
        usage = new TeamUsage(() => now);
        usage.setRules(new Map([["red", { weight: 1, limit: cores(LIMIT_CORES) }]]));
    });

    it("by batch work leaves as much of the limit as urgent work has used lately", () => {
        usage.add("red", cores(30), true);
        usage.subtract("red", cores(30), true);
        expect(usage.allowsBesideUrgent("red", cores(70))).to.equal(true);
        expect(usage.allowsBesideUrgent("red", cores(71))).to.equal(false);
        usage.add("red", cores(70), false);
        expect(usage.allows("red", cores(30))).to.equal(true);
        expect(usage.allows("red", cores(31))).to.equal(false);
    });

    it("by urgent work that runs is not reserved a second time", () => {
        usage.add("red", cores(30), true);
        expect(usage.allowsBesideUrgent("red", cores(70))).to.equal(true);
        expect(usage.allowsBesideUrgent("red", cores(71))).to.equal(false);
    });

    it("by urgent work is forgotten over time, and never takes more than half of the limit from batch work", () => {
        usage.add("red", cores(90), true);
        usage.subtract("red", cores(90), true);
        expect(usage.allowsBesideUrgent("red", cores(50))).to.equal(true);
        expect(usage.allowsBesideUrgent("red", cores(51))).to.equal(false);
        now = 60_000;
        expect(usage.allowsBesideUrgent("red", cores(99))).to.equal(true);
    });

    it("is unlimited without a team or a limit", () => {
        usage.add("blue", cores(1_000), true);
        expect(usage.allowsBesideUrgent("blue", cores(1_000))).to.equal(true);
        expect(usage.allowsBesideUrgent(undefined, cores(1_000))).to.equal(true);
    });
});
