import { CommitFault } from "@tanagerlink/platform";
import { EndKind, JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { JOBS_TABLE, partitionOf } from "../src/jobTables.ts";
import { Cell } from "./support/cell.ts";
import { StartFault } from "./support/fakeWorkers.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

describe("coordinator", () => {
    let cell: Cell;

    beforeEach(() => {
        cell = new Cell();
    });

    afterEach(() => cell.dispose());

    it("runs the steps of a job in their order and shows it as completed once that is stored", async () => {
        cell.workers.add("w1");
        const coordinator = await cell.take("one");
        const steps = [sampleStep({ count: 3 }), sampleStep({ count: 2, after: [0] })];
        await cell.submit(coordinator, sampleJob("00a1", { steps }));
        await cell.run(250);
        expect(cell.workers.starts.map(({ task }) => task)).to.have.members(["00a1.0.0.0", "00a1.0.0.1", "00a1.0.0.2"]);
        await cell.run(200);
        cell.store.holdCommits();
        await cell.run(500);
        expect(coordinator.state("00a1")).to.equal(JobState.Running);
        cell.store.releaseCommits();
        await cell.run(200);
        expect(coordinator.state("00a1")).to.equal(JobState.Completed);
        expect(cell.workers.starts).to.have.length(5);
    });

    it("knows ended jobs after a change of owner, runs none of them again and forgets them after their retention", async () => {
        cell.workers.add("w1");
        const first = await cell.take("one");
        const job = sampleJob("00a1");
        await cell.submit(first, job);
        await cell.run(1_000);
        expect(first.state("00a1")).to.equal(JobState.Completed);
        first[Symbol.dispose]();
        const second = await cell.take("two");
        expect(second.state("00a1")).to.equal(JobState.Completed);
        second.accept(job);
        second.cancel("00a1");
        await cell.run(1_000);
        expect(second.state("00a1")).to.equal(JobState.Completed);
        expect(cell.workers.starts).to.have.length(1);
        await cell.timers.advance(121_000);
        await cell.run(500);
        expect(second.state("00a1")).to.equal(undefined);
        expect(cell.store.read({ table: JOBS_TABLE, partition: partitionOf("00a1"), key: "00a1" })).to.equal(undefined);
    });

    it("acknowledges an end only after it is stored", async () => {
        const worker = cell.workers.add("w1");
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.run(200);
        cell.store.fault = CommitFault.Unavailable;
        await cell.run(1_500);
        expect(worker.running.size).to.equal(0);
        expect(worker.acknowledged).to.equal(0);
        cell.store.fault = CommitFault.None;
        await cell.run(1_500);
        expect(worker.acknowledged).to.equal(1);
    });

    it("starts nothing while the start cannot be recorded", async () => {
        cell.workers.add("w1");
        const coordinator = await cell.take("one");
        await cell.run(100);
        cell.store.fault = CommitFault.Unavailable;
        coordinator.accept(sampleJob("00a1"));
        await cell.run(1_000);
        expect(cell.workers.starts).to.have.length(0);
    });

    it("settles a start whose answer was lost without running the task twice", async () => {
        const worker = cell.workers.add("w1");
        worker.startFault = StartFault.AnswerLost;
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.run(3_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        expect(coordinator.state("00a1")).to.equal(JobState.Completed);
    });

    it("bars a start that is carried out late before it starts the task elsewhere", async () => {
        const slow = cell.workers.add("w1");
        slow.startFault = StartFault.Late;
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.run(200);
        const other = cell.workers.add("w2");
        other.duration = undefined;
        coordinator.setWorkers(cell.workers.entries);
        slow.startFault = StartFault.None;
        slow.duration = undefined;
        await cell.run(3_000);
        slow.deliverLate();
        await cell.run(500);
        const running = [...cell.workers.workers.values()].filter(worker => worker.running.has("00a1.0.0.0"));
        expect(running).to.have.length(1);
    });

    it("starts a task of an unreachable worker again only after its lease has ended", async () => {
        const lost = cell.workers.add("w1");
        lost.duration = undefined;
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.run(500);
        cell.workers.add("w2");
        coordinator.setWorkers(cell.workers.entries);
        lost.reachable = false;
        await cell.run(5_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        await cell.run(3_000);
        lost.tick();
        expect(lost.running.size).to.equal(0);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w1", "w2"]);
    });

    it("lets a new owner go on with what runs, and fences the former owner out", async () => {
        const worker = cell.workers.add("w1");
        worker.duration = 2_000;
        const first = await cell.take("one");
        await cell.submit(first, sampleJob("00a1"));
        await cell.run(500);
        const second = await cell.take("two");
        await cell.run(200);
        first.accept(sampleJob("00b2"));
        await cell.run(4_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        expect(second.state("00a1")).to.equal(JobState.Completed);
        expect(cell.startsOf("00b2.0.0.0")).to.have.length(0);
        expect(first.isReady).to.equal(false);
    });

    it("waits under a new owner for a worker that may still run a recorded task", async () => {
        const cutOff = cell.workers.add("w1");
        cutOff.duration = undefined;
        const first = await cell.take("one");
        await cell.submit(first, sampleJob("00a1"));
        await cell.run(500);
        cutOff.reachable = false;
        cell.workers.add("w2");
        const second = await cell.take("two");
        await cell.submit(second, sampleJob("00b2"));
        await cell.run(8_000);
        expect(second.state("00b2")).to.equal(JobState.Completed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        await cell.run(8_000);
        expect(cell.startsOf("00a1.0.0.0").at(-1)).to.include({ worker: "w2", attempt: 2 });
    });

    it("counts failed ends durably and fails the job after its attempts", async () => {
        const worker = cell.workers.add("w1");
        cell.workers.add("w2").endKind = EndKind.Failed;
        worker.endKind = EndKind.Failed;
        const first = await cell.take("one");
        await cell.submit(first, sampleJob("00a1"));
        await cell.run(400);
        const second = await cell.take("two");
        await cell.run(8_000);
        expect(second.state("00a1")).to.equal(JobState.Failed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(2);
    });

    it("runs a task again on the only permitted worker after it has failed there", async () => {
        const only = cell.workers.add("w1");
        cell.workers.add("w2");
        cell.allowed = worker => worker === "w1";
        only.endKind = EndKind.Failed;
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1", { queue: "hinted" }));
        await cell.run(400);
        only.endKind = EndKind.Done;
        await cell.run(3_000);
        expect(coordinator.state("00a1")).to.equal(JobState.Completed);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w1", "w1"]);
    });

    it("never puts more on a worker than its capacity, counting what is being stopped", async () => {
        const worker = cell.workers.add("w1");
        worker.duration = undefined;
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1", { steps: [sampleStep({ count: 10 })] }));
        await cell.run(500);
        expect(worker.running.size).to.equal(4);
        worker.reachable = false;
        coordinator.cancel("00a1");
        await cell.submit(coordinator, sampleJob("00b2", { steps: [sampleStep({ count: 4 })] }));
        await cell.run(1_000);
        expect(cell.workers.starts).to.have.length(4);
    });

    it("keeps a team within its upper limit", async () => {
        const worker = cell.workers.add("w1");
        worker.duration = undefined;
        const limit = { processorMillis: 2_500, memoryMebibytes: 0, accelerators: 0 };
        cell.policy = { ...cell.policy, teams: new Map([["red", { weight: 1, limit }]]) };
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1", { steps: [sampleStep({ count: 4 })] }));
        await cell.run(500);
        expect(worker.running.size).to.equal(2);
    });

    it("starts a gang as a whole under one attempt or not at all", async () => {
        cell.workers.add("w1").duration = undefined;
        const coordinator = await cell.take("one");
        const steps = [sampleStep({ count: 6, gang: true })];
        await cell.submit(coordinator, sampleJob("00a1", { steps }));
        await cell.run(500);
        expect(cell.workers.starts).to.have.length(0);
        cell.workers.add("w2").duration = undefined;
        coordinator.setWorkers(cell.workers.entries);
        await cell.run(500);
        expect(cell.workers.starts).to.have.length(6);
        expect(new Set(cell.workers.starts.map(({ attempt }) => attempt))).to.deep.equal(new Set([1]));
    });

    it("runs each occurrence of a job at its time, also while an earlier one still runs", async () => {
        const worker = cell.workers.add("w1");
        worker.duration = 3_000;
        const coordinator = await cell.take("one");
        const recurrence = { times: 3, firstAt: cell.timers.wallClock() + 1_000, intervalMilliseconds: 1_000 };
        await cell.submit(coordinator, sampleJob("00a1", { recurrence }));
        await cell.run(900);
        expect(cell.workers.starts).to.have.length(0);
        await cell.run(600);
        expect(cell.workers.starts.map(({ task }) => task)).to.deep.equal(["00a1.0.0.0"]);
        await cell.run(2_000);
        expect(cell.workers.starts.map(({ task }) => task)).to.deep.equal(["00a1.0.0.0", "00a1.1.0.0", "00a1.2.0.0"]);
        await cell.run(4_000);
        expect(coordinator.state("00a1")).to.equal(JobState.Completed);
    });

    it("keeps to required labels, and to the most tasks of a step on one worker", async () => {
        cell.workers.add("w1").duration = undefined;
        cell.workers.add("w2", { labels: ["b", "r1-1"] }).duration = undefined;
        const coordinator = await cell.take("one");
        const labelled = sampleStep({ requiredLabel: "b" });
        const apart = sampleStep({ count: 4, maximumPerWorker: 1 });
        await cell.submit(coordinator, sampleJob("00a1", { steps: [labelled, apart] }));
        await cell.run(500);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w2"]);
        const spread = cell.workers.starts.filter(({ task }) => task.startsWith("00a1.0.1."));
        expect(spread.map(({ worker }) => worker)).to.have.members(["w1", "w2"]);
    });

    it("stops what a cancelled job runs and starts nothing more of it", async () => {
        const worker = cell.workers.add("w1");
        worker.duration = undefined;
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1", { steps: [sampleStep({ count: 8 })] }));
        await cell.run(500);
        coordinator.cancel("00a1");
        await cell.run(1_000);
        expect(worker.running.size).to.equal(0);
        expect(cell.workers.starts).to.have.length(4);
        expect(coordinator.state("00a1")).to.equal(JobState.Cancelled);
    });

    it("starts nothing in an evacuated failure domain or on a leaving worker", async () => {
        cell.workers.add("w1", { failureDomain: "south" });
        cell.workers.add("w2", { leaving: true });
        cell.policy = { ...cell.policy, evacuated: new Set(["south"]) };
        const coordinator = await cell.take("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.run(1_000);
        expect(cell.workers.starts).to.have.length(0);
    });

    it("starts a lasting task again with its checkpoint after its worker has begun to leave", async () => {
        const leaving = cell.workers.add("w1");
        leaving.duration = undefined;
        const coordinator = await cell.take("one");
        const steps = [sampleStep({ lasting: true, checkpoints: true })];
        await cell.submit(coordinator, sampleJob("00a1", { steps }));
        await cell.run(500);
        cell.workers.add("w2").duration = undefined;
        const entries = cell.workers.entries;
        entries.set("w1", { ...leaving.entry, leaving: true });
        coordinator.setWorkers(entries);
        await cell.run(1_500);
        expect(cell.workers.starts.at(-1)).to.include({ worker: "w2", attempt: 2, checkpoint: "saved" });
    });
});
