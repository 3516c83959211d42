/**
 * Workers that get no new tasks since tasks fail or stall on them. The tests guard against LOST: work that fails, or is
 * slow by itself, takes sound workers out of use for everybody.
 */
import { EndKind, JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const WORKERS = ["w1", "w2", "w3", "w4", "w5", "w6"];

describe("quarantine", () => {
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

    function setTasks({ durationMilliseconds, endKind = EndKind.Done, percentMilliseconds = 1 }: {
        durationMilliseconds: number | undefined;
        endKind?: EndKind;
        percentMilliseconds?: number;
    }): void {
        for (const worker of cell.workers.workers.values()) {
            worker.taskDurationMilliseconds = durationMilliseconds;
            worker.endKind = endKind;
            worker.percentMilliseconds = percentMilliseconds;
        }
    }

    // One job of many hopeless tasks, whose failures at the same moment each prolonged the quarantine.
    for (const jobs of [1, 5]) {
        it(`leaves workers to others while the tasks of ${jobs} jobs fail everywhere`, async () => {
            setTasks({ durationMilliseconds: 300, endKind: EndKind.Failed });
            for (let index = 0; index < jobs; index++) {
                await cell.submit(owner, sampleJob(`0${index}b1`, { steps: [sampleStep({ count: 36 })] }));
                await cell.advanceTime(300);
            }
            await cell.advanceTime(1_500);
            setTasks({ durationMilliseconds: 300 });
            await cell.submit(owner, sampleJob("00d1", { steps: [sampleStep({ count: 2 })] }));
            await cell.advanceTime(500);
            expect(cell.startsOf("00d1.0.0.0")).to.have.length(1);
        });
    }

    // Long tasks without an estimate, whose percents take 4 s, were begun anew for ever.
    for (const percentMilliseconds of [4_000, 30_000]) {
        it(`lets tasks go on whose percents take ${percentMilliseconds} ms each, and leaves workers to others`, async () => {
            setTasks({ durationMilliseconds: 100 * percentMilliseconds, percentMilliseconds });
            const steps = [sampleStep({ count: 6, estimateMilliseconds: 0, maximumPerWorker: 1 })];
            await cell.submit(owner, sampleJob("00a1", { steps }));
            for (let index = 0; index < 8; index++) {
                await cell.advanceTime(4_000);
                const id = `0${index}d1`;
                await cell.submit(owner, sampleJob(id));
                await cell.advanceTime(500);
                expect(cell.startsOf(`${id}.0.0.0`)).to.have.length(1);
            }
            await cell.advanceTime(60_000);
            const before = cell.startsOf("00a1.0.0.0").length;
            await cell.advanceTime(100_000);
            expect(cell.startsOf("00a1.0.0.0")).to.have.length(before);
        }).timeout(60_000);
    }

    // Guards what quarantines are for.
    it("keeps tasks off a worker that fails all of them, for longer and longer", async () => {
        const broken = cell.workers.workers.get("w1")!;
        broken.endKind = EndKind.Failed;
        for (let index = 0; index < 100; index++) {
            const id = (0x1000 + index).toString(16);
            await cell.submit(owner, sampleJob(id, { steps: [sampleStep({ count: 4 })] }));
            await cell.advanceTime(200);
        }
        await cell.advanceTime(2_000);
        expect(cell.workers.starts.filter(({ worker }) => worker === "w1")).to.have.length.below(30);
        expect(owner.jobState("1000")).to.equal(JobState.Completed);
    });
});
