/**
 * Leases that a previous owner has granted to a worker which is lost. The tests guard against LOST, when each owner of a
 * rolling restart begins the wait for them anew, and against TWICE, when a wait is too short.
 */
import { expect } from "chai";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

describe("leases of previous owners", () => {
    let cell: Cell;
    let owner: Coordinator;

    beforeEach(async () => {
        cell = new Cell();
        cell.workers.add("w1").taskDurationMilliseconds = undefined;
        owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceTime(1_000);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        cell.listWorkers();
        cell.workers.workers.get("w1")!.isReachable = false;
    });

    afterEach(() => cell.dispose());

    async function handOver(node: string): Promise<void> {
        void owner.release();
        await cell.advanceTime(100);
        owner = await cell.claim(node);
    }

    it("are not waited for anew by each owner of a rolling restart", async () => {
        for (const node of ["two", "three", "four"]) {
            await cell.advanceTime(2_000);
            await handOver(node);
        }
        await cell.advanceTime(2_500);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w1", "w2"]);
    });

    it("are waited for in full by an owner whose predecessor was replaced at once", async () => {
        const lost = cell.workers.workers.get("w1")!;
        lost.isReachable = true;
        await cell.advanceTime(1_000);
        await handOver("two");
        lost.isReachable = false;
        await handOver("three");
        while (cell.startsOf("00a1.0.0.0").length < 2) {
            await cell.advanceTime(100);
        }
        lost.tick();
        expect(lost.running.size).to.equal(0);
    });

    it("are waited for in full after the end of an owner that has released nothing", async () => {
        owner[Symbol.dispose]();
        owner = await cell.claim("two");
        await cell.advanceTime(1_000);
        await handOver("three");
        await cell.advanceTime(6_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        await cell.advanceTime(9_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(2);
    });
});
