/**
 * Work on lost workers while the owner changes. Guards against LOST: lasting tasks must run again within 9 s, and the
 * wait for leases that may still be valid on a lost worker must not begin anew with each owner.
 */
import { expect } from "chai";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const LASTING = "00a1.0.0.0";

describe("tasks on lost workers", () => {
    let cell: Cell;
    let owner: Coordinator;

    beforeEach(async () => {
        cell = new Cell();
        cell.leaseMilliseconds = 10_000;
        cell.workers.add("w1").taskDurationMilliseconds = undefined;
        owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceTime(2_000);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        cell.listWorkers();
    });

    afterEach(() => cell.dispose());

    function loseWorker(): void {
        cell.workers.workers.get("w1")!.isReachable = false;
    }

    async function replaceKilledOwner(node: string, milliseconds: number): Promise<void> {
        owner[Symbol.dispose]();
        await cell.advanceTime(milliseconds);
        owner = await cell.claim(node);
    }

    // Guards against LOST: without a change of the owner, they waited for a lease of 10 s.
    it("start elsewhere within 8 s when the platform permits long leases", async () => {
        loseWorker();
        await cell.advanceTime(8_000);
        expect(cell.startsOf(LASTING).map(({ worker }) => worker)).to.deep.equal(["w1", "w2"]);
    });

    // Guards against LOST: the next owner waited for 8 s and a whole lease from its own claim.
    it("start elsewhere within 9 s when the owner is killed at the same time", async () => {
        loseWorker();
        await replaceKilledOwner("two", 3_000);
        await cell.advanceTime(6_000);
        expect(cell.startsOf(LASTING).map(({ worker }) => worker)).to.deep.equal(["w1", "w2"]);
    });

    // Guards against LOST: each further owner began the wait anew.
    it("start elsewhere within 9 s when one owner after another is killed", async () => {
        loseWorker();
        await cell.advanceTime(2_000);
        await replaceKilledOwner("two", 1_300);
        await cell.advanceTime(500);
        await replaceKilledOwner("three", 1_300);
        await cell.advanceTime(500);
        await replaceKilledOwner("four", 1_300);
        await cell.advanceTime(2_000);
        expect(cell.startsOf(LASTING).map(({ worker }) => worker)).to.deep.equal(["w1", "w2"]);
    });
});
