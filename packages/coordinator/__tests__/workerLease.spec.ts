/** Guards against treating a lease as expired, and restarting its tasks, while a slow worker may still run them. */
import { expect } from "chai";
import { WorkerLease } from "../src/workerLease.ts";

describe("lease of a worker", () => {
    it("has expired only when even a slow clock has passed the latest end that was sent", () => {
        const lease = new WorkerLease();
        lease.recordClock(100_000, 0);
        expect(lease.issue(0, 6_000)).to.equal(106_000);
        expect(lease.hasExpired(6_050)).to.equal(false);
        expect(lease.hasExpired(6_200)).to.equal(false);
        expect(lease.hasExpired(6_300)).to.equal(true);
    });

    it("is not shortened by a shorter lease issued later", () => {
        const lease = new WorkerLease();
        lease.recordClock(0, 0);
        lease.issue(0, 6_000);
        lease.issue(100, 1_900);
        expect(lease.hasExpired(3_000)).to.equal(false);
    });

    // Guards against a restart that is not noticed, and against one that is seen in a slow clock or an overtaken response.
    it("is on a clock that reads less only if the worker has restarted", () => {
        const lease = new WorkerLease();
        expect(lease.canRead(3, 0)).to.equal(true);
        lease.recordClock(20_000, 50_000);
        expect(lease.canRead(29_800, 60_000), "a slow clock").to.equal(true);
        expect(lease.canRead(29_600, 60_000)).to.equal(false);
        expect(lease.canRead(19_500, 49_500), "a response that was overtaken").to.equal(true);
        expect(lease.canRead(19_300, 49_500)).to.equal(false);
    });

    it("cannot be issued before the first clock reading and does not expire", () => {
        const lease = new WorkerLease();
        expect(lease.issue(0, 6_000)).to.equal(undefined);
        expect(lease.hasExpired(1_000_000)).to.equal(false);
    });
});
