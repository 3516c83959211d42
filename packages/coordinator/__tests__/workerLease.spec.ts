import { expect } from "chai";
import { WorkerLease } from "../src/workerLease.ts";

describe("lease of a worker", () => {
    it("counts as ended only when even a slow clock has passed the latest end that was sent", () => {
        const lease = new WorkerLease();
        lease.read(100_000, 0);
        expect(lease.until(0, 6_000)).to.equal(106_000);
        expect(lease.hasLapsed(6_050)).to.equal(false);
        expect(lease.hasLapsed(6_200)).to.equal(false);
        expect(lease.hasLapsed(6_300)).to.equal(true);
    });

    it("is not shortened by a later, shorter lease", () => {
        const lease = new WorkerLease();
        lease.read(0, 0);
        lease.until(0, 6_000);
        lease.until(100, 1_900);
        expect(lease.hasLapsed(3_000)).to.equal(false);
    });

    it("has no end before the first report", () => {
        const lease = new WorkerLease();
        expect(lease.until(0, 6_000)).to.equal(undefined);
        expect(lease.hasLapsed(1_000_000)).to.equal(false);
    });
});
