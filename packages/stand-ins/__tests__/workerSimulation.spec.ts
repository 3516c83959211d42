/**
 * Tests the simulated worker. Guards against a simulation that is more forgiving than a real worker, which would hide
 * expired leases, stale epochs and repeated starts from the tests that use it.
 */
import type { TaskStart, WorkerCapabilities } from "@tanagerlink/targets";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { SimulatedWorker, WorkerRecord } from "../src/index.ts";

const size = { processorMillis: 1_000, memoryMebibytes: 512, accelerators: 0 };

function simulate(capabilities: Partial<WorkerCapabilities> = {}) {
    const timers = new ManualTimers();
    const record = new WorkerRecord();
    const sharedState = { timers, record, progress: new Map<string, number>(), defaultRunMilliseconds: undefined };
    const worker = new SimulatedWorker({ id: "w1", capacity: size, capabilities }, sharedState);
    /** Attaches, as an owner does before it starts tasks or renews leases, and returns the sequence of the report. */
    const attach = (epoch = 1): number => {
        const report = worker.attach(epoch);
        return "sequence" in report ? report.sequence : 0;
    };
    const start = (changes: Partial<TaskStart> = {}): object =>
        worker.start({
            epoch: 1,
            lastReport: attach(changes.epoch),
            bootId: worker.bootId,
            job: "j1",
            task: 0,
            attempt: 1,
            team: "survey",
            size,
            leaseMilliseconds: 1_000,
            payload: "",
            ...changes,
        });
    return { timers, record, worker, attach, start };
}

describe("SimulatedWorker", () => {
    it("stops a task whose lease is not renewed, unless it has no lease timer", async () => {
        for (const leaseTimer of [true, false]) {
            const { timers, record, worker, attach, start } = simulate({ leaseTimer });
            start();
            await timers.advance(900);
            const renew = [{ job: "j1", task: 0, attempt: 1 }];
            worker.heartbeat({ epoch: 1, bootId: worker.bootId, lastReport: attach(), renew, acknowledge: [] });
            await timers.advance(900);
            expect(worker.runningCount()).to.equal(1);
            await timers.advance(200);
            expect(record.attempts[0]!.endedAt).to.equal(leaseTimer ? 1_900 : undefined);
        }
    });

    it("counts a renewal from the report that it refers to, so that a delayed one expires when its owner expects it", async () => {
        const { timers, worker, attach, start } = simulate();
        start();
        const staleSequence = attach();
        await timers.advance(900);
        const renew = [{ job: "j1", task: 0, attempt: 1 }];
        worker.heartbeat({ epoch: 1, bootId: worker.bootId, lastReport: staleSequence, renew, acknowledge: [] });
        await timers.advance(200);
        expect(worker.runningCount()).to.equal(0);
    });

    it("runs a repeated start twice only without deduplication, and accepts lower epochs only without fencing", () => {
        const strict = simulate();
        strict.start({ epoch: 2 });
        strict.start({ epoch: 2 });
        expect(strict.start({ epoch: 1, job: "j2" })).to.include({ error: "stale_epoch", epoch: 2 });
        expect(strict.record.attempts.length).to.equal(1);
        const permissive = simulate({ deduplication: false, fencing: false });
        permissive.start({ epoch: 2 });
        permissive.start({ epoch: 1 });
        expect([permissive.record.attempts.length, permissive.record.overlaps().length]).to.deep.equal([2, 1]);
        expect(permissive.record.overcommits.length).to.equal(1);
    });

    it("loses tasks, epoch and boot identifier on a restart, and continues from a checkpoint", async () => {
        const { timers, record, worker, start } = simulate();
        const payload = JSON.stringify({ runMilliseconds: 800 });
        start({ payload });
        await timers.advance(300);
        worker.checkpoint(1, { job: "j1", task: 0, attempt: 1 });
        start({ payload, attempt: 2 });
        await timers.advance(500);
        expect(record.attempts.map(({ end }) => end)).to.deep.equal(["stopped", "succeeded"]);
        start({ job: "j2" });
        const { bootId } = worker;
        worker.restart();
        expect(record.attempts[2]!.end).to.equal("lost");
        expect(worker.attach(0)).to.deep.include({ epoch: 0, tasks: [] });
        expect(start({ bootId })).to.include({ error: "stale_boot" });
    });
});
