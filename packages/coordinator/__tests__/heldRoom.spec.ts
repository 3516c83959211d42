/**
 * Capacity that is kept free for steps that cannot start yet. The tests guard against LOST: work that could run waits
 * without an end, on workers that stay idle.
 */
import type { Resources } from "@tanagerlink/model";
import { JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const WORKERS = ["w1", "w2", "w3", "w4"];

function cores(count: number): Resources {
    return { processorMillis: count * 1_000, memoryMebibytes: 100, accelerators: 0 };
}

describe("room kept for steps that cannot start", () => {
    let cell: Cell;
    let owner: Coordinator;

    beforeEach(async () => {
        cell = new Cell();
        WORKERS.forEach(id =>
            cell.workers.add(id, { capacity: { processorMillis: 16_000, memoryMebibytes: 4_000, accelerators: 0 } })
        );
        owner = await cell.claim("one");
    });

    afterEach(() => cell.dispose());

    function setTaskDuration(milliseconds: number | undefined): void {
        cell.workers.workers.forEach(worker => worker.taskDurationMilliseconds = milliseconds);
    }

    /** Submits one task on each worker and waits until it runs. */
    async function occupy(id: string, size: Resources, lasting: boolean, estimateMilliseconds = 1_000): Promise<void> {
        const step = sampleStep({ count: WORKERS.length, size, lasting, maximumPerWorker: 1, estimateMilliseconds });
        await cell.submit(owner, sampleJob(id, { steps: [step] }));
        await cell.advanceTime(500);
        expect(cell.workers.starts).to.have.length(WORKERS.length);
    }

    async function submitGang(id: string, size: Resources, count = WORKERS.length): Promise<void> {
        await cell.submit(owner, sampleJob(id, { steps: [sampleStep({ count, size, gang: true })] }));
    }

    /** Submits small jobs, one every half second, and returns the longest time that one waited for its first start. */
    async function longestWaitOfSmallJobs(count = 8): Promise<number> {
        const waits: number[] = [];
        for (let index = 0; index < count; index++) {
            const id = `0${index}d1`;
            await cell.submit(owner, sampleJob(id, { steps: [sampleStep({ estimateMilliseconds: 300 })] }));
            let waited = 0;
            while (cell.startsOf(`${id}.0.0.0`).length === 0 && waited < 30_000) {
                await cell.advanceTime(100);
                waited += 100;
            }
            waits.push(waited);
            await cell.advanceTime(500);
        }
        return Math.max(...waits);
    }

    // The reservation counted on the whole capacity of workers whose tasks last.
    it("does not keep other jobs waiting for a gang that finds no room beside lasting tasks", async () => {
        setTaskDuration(undefined);
        await occupy("00a1", cores(4), true);
        await submitGang("00b1", cores(14));
        await cell.advanceTime(4_000);
        expect(await longestWaitOfSmallJobs()).to.be.at.most(100);
    });

    it("does not keep other jobs waiting for a gang that finds no room on one of the workers that it needs", async () => {
        setTaskDuration(undefined);
        const lasting = sampleStep({ size: cores(4), lasting: true });
        await cell.submit(owner, sampleJob("00a1", { steps: [lasting] }));
        await cell.advanceTime(500);
        await submitGang("00b1", cores(14));
        await submitGang("00b2", cores(13));
        await cell.advanceTime(4_000);
        expect(await longestWaitOfSmallJobs()).to.be.at.most(100);
    });

    // Long tasks are in the way as much as lasting ones; their estimate may say otherwise.
    for (const estimateMilliseconds of [0, 500, 400_000]) {
        it(`keeps other jobs waiting for 3 s at most while long tasks are in the way, estimate ${estimateMilliseconds} ms`, async () => {
            setTaskDuration(400_000);
            await occupy("00a1", cores(4), false, estimateMilliseconds);
            await submitGang("00b1", cores(14));
            await cell.advanceTime(4_000);
            await cell.submit(owner, sampleJob("00d1", { steps: [sampleStep({ estimateMilliseconds: 300 })] }));
            await cell.advanceTime(3_000);
            expect(cell.startsOf("00d1.0.0.0")).to.have.length(1);
        });
    }

    // Two gangs that cannot start must not pass the reservation on to each other for good.
    it("lets other jobs start in a busy service after reservations that have led to nothing", async () => {
        setTaskDuration(400_000);
        await occupy("00a1", cores(9), false, 500);
        await submitGang("00b1", cores(14));
        await submitGang("00b2", cores(14));
        await cell.advanceTime(4_000);
        await cell.submit(owner, sampleJob("00d1", { steps: [sampleStep({ estimateMilliseconds: 300 })] }));
        await cell.advanceTime(25_000);
        expect(cell.startsOf("00d1.0.0.0")).to.have.length(1);
    });

    // Guards against starvation of gangs, which the reservation is for.
    it("lets a gang start although small jobs of a busy service keep coming", async () => {
        setTaskDuration(1_500);
        for (let index = 0; index < 60; index++) {
            const id = (0x1000 + index).toString(16);
            const steps = [sampleStep({ count: 13, size: cores(1), estimateMilliseconds: 1_500 })];
            await cell.submit(owner, sampleJob(id, { steps }));
            if (index === 10) {
                await submitGang("00b1", cores(14));
            }
            await cell.advanceTime(300);
        }
        expect(cell.startsOf("00b1.0.0.0").length).to.be.at.least(1);
    });

    // A hint call without a response held the capacity that its step would use.
    it("does not keep jobs of other queues waiting for a step whose hint call gets no response", async () => {
        cell.areHintsSilent = true;
        const steps = [sampleStep({ count: 100, size: cores(1) })];
        await cell.submit(owner, sampleJob("00a1", { queue: "hinted", hinted: true, steps }));
        await cell.advanceTime(4_000);
        expect(await longestWaitOfSmallJobs(2)).to.be.at.most(3_000);
        expect(owner.jobState("00d1")).to.equal(JobState.Completed);
    });

    // Guards against LOST: steps that need hints asked for the same capacity, and their tickets expired unused.
    it("stays held for a step whose hint call is slow, from other steps that need hints", async () => {
        cell.areHintsSilent = true;
        const steps = [sampleStep({ count: 64, size: cores(1) })];
        await cell.submit(owner, sampleJob("00a1", { queue: "hinted", hinted: true, steps }));
        await cell.advanceTime(500);
        const calls = cell.hintCalls;
        cell.areHintsSilent = false;
        for (let index = 0; index < 10; index++) {
            await cell.submit(owner, sampleJob(`0${index}b1`, { queue: "hinted", hinted: true, steps }));
        }
        await cell.advanceTime(4_000);
        expect(cell.hintCalls).to.equal(calls);
    });
});
