/**
 * Wrong addresses in the platform's list after a change of the owner. Guards against TWICE: the new owner does not know
 * at which address a worker has answered, and must not take another worker's answer for the end of the attempts there.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { expect } from "chai";
import { err } from "neverthrow";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const WRONG_ADDRESS = "192.0.2.9:9";
const LASTING = "00a1.0.0.0";

describe("wrong address of a worker after a change of the owner", () => {
    it("does not end the attempts on the worker before their lease", async () => {
        const cell = new Cell();
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
        const owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceTime(2_000);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        worker.entry = { ...worker.entry, address: WRONG_ADDRESS };
        const requestReport = cell.workers.requestReport.bind(cell.workers);
        cell.workers.requestReport = (target, request) =>
            target.address === WRONG_ADDRESS
                ? Promise.resolve(err(serviceError(ErrorKind.StaleBoot, "another worker responds")))
                : requestReport(target, request);
        owner[Symbol.dispose]();
        await cell.advanceTime(1_300);
        await cell.claim("two");
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 1, 20_000);
        worker.tick();
        expect([...worker.running.keys()], "still running on w1 at the second start").to.deep.equal([]);
        cell.dispose();
    });
});
