/**
 * Lasting tasks whose workers crash after changes of the owner. Guards against LOST: a task that has run for over 10 s is
 * not suspected of the crash, and its job must not fail, also if the present owner has not seen it run for that long.
 */
import { JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const LASTING = "00a1.0.0.0";

describe("lasting task that has run for over 10 s", () => {
    for (const changesOwner of [false, true]) {
        it(`is not given up when its workers crash${changesOwner ? " 1 s after a change of the owner" : ""}`, async () => {
            const cell = new Cell();
            ["w1", "w2", "w3"].forEach(id => cell.workers.add(id).taskDurationMilliseconds = undefined);
            let owner = await cell.claim("n0");
            await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true })] }));
            for (let round = 1; round <= 6; round++) {
                await cell.advanceTime(15_000);
                if (changesOwner) {
                    owner[Symbol.dispose]();
                    await cell.advanceTime(2_700);
                    owner = await cell.claim(`n${round}`);
                }
                await cell.advanceTime(1_000);
                expect(owner.jobState("00a1"), `in round ${round}`).to.equal(JobState.Running);
                const running = [...cell.workers.workers.values()].filter(worker => worker.running.has(LASTING));
                expect(running, `runs in round ${round}`).to.have.length(1);
                running[0]!.crash(500);
            }
            await cell.advanceTime(15_000);
            expect(owner.jobState("00a1")).to.equal(JobState.Running);
            cell.dispose();
        });
    }
});
