/**
 * Entries of workers that another writer has changed for a while. The tests guard against tasks that are stranded, or
 * run twice, on a live worker meanwhile.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { err } from "neverthrow";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob } from "./support/samples.ts";

const WRONG_ADDRESS = "192.0.2.9:1";

describe("wrong entries of workers", () => {
    let cell: Cell;
    let owner: Coordinator;

    beforeEach(async () => {
        cell = new Cell();
        cell.workers.add("w1");
        owner = await cell.claim("one");
        await cell.advanceTime(500);
    });

    afterEach(() => cell.dispose());

    function isWrong({ address }: { readonly address: string; }): boolean {
        return address === WRONG_ADDRESS;
    }

    function setAddress(address: string): void {
        const worker = cell.workers.workers.get("w1")!;
        worker.entry = { ...worker.entry, address };
        cell.listWorkers();
    }

    // Guards against LOST: an order that threw left its attempt without an outcome, and its task was never started again.
    it("leave no task behind when orders fail with an unexpected error", async () => {
        const { workers } = cell;
        const [start, stop] = [workers.start.bind(workers), workers.stop.bind(workers)];
        let isBroken = true;
        workers.start = async (worker, order) => {
            if (isBroken) {
                throw new TypeError("Invalid URL");
            }
            return await start(worker, order);
        };
        workers.stop = async (worker, order) => {
            if (isBroken) {
                throw new TypeError("Invalid URL");
            }
            return await stop(worker, order);
        };
        await cell.submit(owner, sampleJob("00a1"));
        await cell.advanceTime(2_000);
        isBroken = false;
        await cell.advanceTime(5_000);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
    });

    // Guards against TWICE: the tasks of a live worker were given up since another one answers at the address in its entry.
    it("do not end the tasks of a worker when another one answers at the wrong address", async () => {
        const { workers } = cell;
        const requestReport = workers.requestReport.bind(workers);
        workers.requestReport = async (worker, request) =>
            isWrong(worker)
                ? err(serviceError(ErrorKind.StaleBoot, "another worker responds"))
                : await requestReport(worker, request);
        workers.workers.get("w1")!.taskDurationMilliseconds = 3_000;
        await cell.submit(owner, sampleJob("00a1"));
        await cell.advanceTime(500);
        workers.add("w2");
        const { address } = workers.workers.get("w1")!.entry;
        setAddress(WRONG_ADDRESS);
        await cell.advanceTime(1_500);
        setAddress(address);
        await cell.advanceTime(3_000);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
    });
});
