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

    // Guards against TWICE: a previous owner without the store still renews leases that its successor takes for expired.
    for (const takeoverMilliseconds of [1_300, 2_700, 5_000]) {
        it(`start elsewhere only once a replaced owner renews no lease, ${takeoverMilliseconds} ms later`, async () => {
            const worker = cell.workers.workers.get("w1")!;
            worker.reachableEpoch = owner.epoch;
            cell.nodesWithoutStore.add("one");
            await cell.advanceTime(takeoverMilliseconds);
            await cell.claim("two");
            await expectExpiredAtSecondStart();
        });
    }

    // Guards against TWICE: an owner renews the lease of a worker that the record has listed as lost to its successor.
    it("start elsewhere only after the lease that a returning worker has got", async () => {
        const worker = cell.workers.workers.get("w1")!;
        loseWorker();
        await cell.advanceTime(2_000);
        cell.nodesWithoutStore.add("one");
        worker.isReachable = true;
        worker.reachableEpoch = owner.epoch;
        await cell.advanceTime(2_700);
        await cell.claim("two");
        await expectExpiredAtSecondStart();
    });

    // Guards against LOST: a worker that was silent for a moment gets no lease any more.
    it("keep running on a worker that returns before its lease has expired", async () => {
        loseWorker();
        await cell.advanceTime(3_000);
        cell.workers.workers.get("w1")!.isReachable = true;
        await cell.advanceTime(20_000);
        expect(cell.startsOf(LASTING)).to.have.length(1);
        expect(cell.workers.workers.get("w1")!.running.has(LASTING)).to.equal(true);
    });

    // Guards against TWICE: an attempt that was stored long ago starts after a successor has ended it.
    it("are not started by an owner whose renewal the store has confirmed too late", async () => {
        cell.workers.workers.forEach(worker => worker.taskDurationMilliseconds = 300);
        cell.storeDelayMilliseconds = 3_000;
        await cell.submit(owner, sampleJob("00a2"));
        await cell.advanceTime(9_000);
        expect(cell.startsOf("00a2.0.0.0")).to.have.length(0);
        cell.storeDelayMilliseconds = 0;
        await cell.advanceTime(4_000);
        expect(cell.startsOf("00a2.0.0.0")).to.have.length(1);
    });

    async function expectExpiredAtSecondStart(): Promise<void> {
        const worker = cell.workers.workers.get("w1")!;
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 1, 20_000);
        expect(cell.startsOf(LASTING).map(start => start.worker)).to.deep.equal(["w1", "w2"]);
        worker.tick();
        expect(worker.running.size).to.equal(0);
    }
});
