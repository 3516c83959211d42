/**
 * Runs the coordinator against workers and a store in memory. The tests guard against tasks that run twice, are lost or
 * exceed a limit when responses are lost, workers cannot be reached, the store fails or the owner changes.
 */
import { CommitFault } from "@tanagerlink/platform";
import { EndKind, JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { isTokenOf } from "../src/fencingTokens.ts";
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

    it("runs the steps of a job in order and shows it as completed only after that is stored", async () => {
        cell.workers.add("w1");
        const coordinator = await cell.claim("one");
        const steps = [sampleStep({ count: 3 }), sampleStep({ count: 2, after: [0] })];
        await cell.submit(coordinator, sampleJob("00a1", { steps }));
        await cell.advanceTime(250);
        expect(cell.workers.starts.map(({ task }) => task)).to.have.members(["00a1.0.0.0", "00a1.0.0.1", "00a1.0.0.2"]);
        await cell.advanceTime(200);
        cell.store.holdCommits();
        await cell.advanceTime(500);
        expect(coordinator.jobState("00a1")).to.equal(JobState.Running);
        cell.store.releaseCommits();
        await cell.advanceTime(200);
        expect(coordinator.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.workers.starts).to.have.length(5);
    });

    it("keeps ended jobs over a change of owner, does not rerun them and removes them after their retention", async () => {
        cell.workers.add("w1");
        const first = await cell.claim("one");
        const job = sampleJob("00a1");
        await cell.submit(first, job);
        await cell.advanceTime(1_000);
        expect(first.jobState("00a1")).to.equal(JobState.Completed);
        first[Symbol.dispose]();
        const second = await cell.claim("two");
        expect(second.jobState("00a1")).to.equal(JobState.Completed);
        second.accept(job);
        second.cancel("00a1");
        await cell.advanceTime(1_000);
        expect(second.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.workers.starts).to.have.length(1);
        await cell.timers.advance(121_000);
        await cell.advanceTime(500);
        expect(second.jobState("00a1")).to.equal(undefined);
        expect(cell.store.read({ table: JOBS_TABLE, partition: partitionOf("00a1"), key: "00a1" })).to.equal(undefined);
    });

    it("acknowledges an ended attempt only after it is stored", async () => {
        const worker = cell.workers.add("w1");
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.advanceTime(200);
        cell.store.fault = CommitFault.Unavailable;
        await cell.advanceTime(1_500);
        expect(worker.running.size).to.equal(0);
        expect(worker.acknowledgedEnd).to.equal(0);
        cell.store.fault = CommitFault.None;
        await cell.advanceTime(1_500);
        expect(worker.acknowledgedEnd).to.equal(1);
    });

    it("starts no task while the attempt cannot be stored", async () => {
        cell.workers.add("w1");
        const coordinator = await cell.claim("one");
        await cell.advanceTime(100);
        cell.store.fault = CommitFault.Unavailable;
        coordinator.accept(sampleJob("00a1"));
        await cell.advanceTime(1_000);
        expect(cell.workers.starts).to.have.length(0);
    });

    it("does not run a task twice after the response to its start was lost", async () => {
        const worker = cell.workers.add("w1");
        worker.startFault = StartFault.ResponseLost;
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.advanceTime(3_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        expect(coordinator.jobState("00a1")).to.equal(JobState.Completed);
    });

    // Guards against TWICE: a task that runs on a worker which restarted unnoticed was ended and started elsewhere.
    it("does not run a task twice that the next incarnation of its worker has started", async () => {
        const worker = cell.workers.add("w0");
        worker.taskDurationMilliseconds = undefined;
        const coordinator = await cell.claim("one");
        await cell.advanceTime(500);
        worker.entry = { ...worker.entry, boot: 2 };
        await cell.submit(coordinator, sampleJob("00a0"));
        await cell.advanceTime(5_000);
        expect(cell.startsOf("00a0.0.0.0")).to.have.length(1);
    });

    it("prevents a delayed start from being executed before it starts the task on another worker", async () => {
        const delayed = cell.workers.add("w1");
        delayed.startFault = StartFault.Delayed;
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.advanceTime(200);
        const other = cell.workers.add("w2");
        other.taskDurationMilliseconds = undefined;
        coordinator.setWorkers(cell.workers.entries);
        delayed.startFault = StartFault.None;
        delayed.taskDurationMilliseconds = undefined;
        await cell.advanceTime(3_000);
        delayed.executeDelayedStarts();
        await cell.advanceTime(500);
        const running = [...cell.workers.workers.values()].filter(worker => worker.running.has("00a1.0.0.0"));
        expect(running).to.have.length(1);
    });

    it("restarts a task of an unreachable worker only after its lease has expired", async () => {
        const unreachable = cell.workers.add("w1");
        unreachable.taskDurationMilliseconds = undefined;
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.advanceTime(500);
        cell.workers.add("w2");
        coordinator.setWorkers(cell.workers.entries);
        unreachable.isReachable = false;
        await cell.advanceTime(4_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        await cell.advanceUntil(() => cell.startsOf("00a1.0.0.0").length > 1, 4_000);
        unreachable.tick();
        expect(unreachable.running.size).to.equal(0);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w1", "w2"]);
    });

    it("keeps running attempts over a change of owner and fences out the previous owner", async () => {
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = 2_000;
        const first = await cell.claim("one");
        await cell.submit(first, sampleJob("00a1"));
        await cell.advanceTime(500);
        const second = await cell.claim("two");
        await cell.advanceTime(200);
        first.accept(sampleJob("00b2"));
        await cell.advanceTime(4_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        expect(second.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.startsOf("00b2.0.0.0")).to.have.length(0);
        expect(first.isReady).to.equal(false);
    });

    it("does not restart a task under a new owner while an unreachable worker may still run it", async () => {
        const unreachable = cell.workers.add("w1");
        unreachable.taskDurationMilliseconds = undefined;
        const first = await cell.claim("one");
        await cell.submit(first, sampleJob("00a1"));
        await cell.advanceTime(500);
        unreachable.isReachable = false;
        cell.workers.add("w2");
        const second = await cell.claim("two");
        await cell.submit(second, sampleJob("00b2"));
        await cell.advanceTime(7_000);
        expect(second.jobState("00b2")).to.equal(JobState.Completed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        await cell.advanceUntil(() => cell.startsOf("00a1.0.0.0").length > 1, 9_000);
        unreachable.tick();
        expect(unreachable.running.size).to.equal(0);
        expect(cell.startsOf("00a1.0.0.0").at(-1)).to.include({ worker: "w2", attempt: 2 });
    });

    it("counts failed attempts over a change of owner and fails the job after the maximum", async () => {
        const worker = cell.workers.add("w1");
        cell.workers.add("w2").endKind = EndKind.Failed;
        worker.endKind = EndKind.Failed;
        const first = await cell.claim("one");
        await cell.submit(first, sampleJob("00a1"));
        await cell.advanceTime(400);
        const second = await cell.claim("two");
        await cell.advanceTime(8_000);
        expect(second.jobState("00a1")).to.equal(JobState.Failed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(2);
    });

    it("retries a task on the only permitted worker after it has failed there", async () => {
        const only = cell.workers.add("w1");
        cell.workers.add("w2");
        cell.isAllowed = worker => worker === "w1";
        only.endKind = EndKind.Failed;
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1", { queue: "hinted" }));
        await cell.advanceTime(400);
        only.endKind = EndKind.Done;
        await cell.advanceTime(3_000);
        expect(coordinator.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w1", "w1"]);
    });

    it("never exceeds the capacity of a worker, counting attempts that are being stopped", async () => {
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1", { steps: [sampleStep({ count: 10 })] }));
        await cell.advanceTime(500);
        expect(worker.running.size).to.equal(4);
        worker.isReachable = false;
        coordinator.cancel("00a1");
        await cell.submit(coordinator, sampleJob("00b2", { steps: [sampleStep({ count: 4 })] }));
        await cell.advanceTime(1_000);
        expect(cell.workers.starts).to.have.length(4);
    });

    it("keeps a team within its upper limit", async () => {
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
        const limit = { processorMillis: 2_500, memoryMebibytes: 0, accelerators: 0 };
        cell.policy = { ...cell.policy, teams: new Map([["red", { weight: 1, limit }]]) };
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1", { steps: [sampleStep({ count: 4 })] }));
        await cell.advanceTime(500);
        expect(worker.running.size).to.equal(2);
    });

    it("starts all members of a gang with one attempt number or none", async () => {
        cell.workers.add("w1").taskDurationMilliseconds = undefined;
        const coordinator = await cell.claim("one");
        const steps = [sampleStep({ count: 6, gang: true })];
        await cell.submit(coordinator, sampleJob("00a1", { steps }));
        await cell.advanceTime(500);
        expect(cell.workers.starts).to.have.length(0);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        coordinator.setWorkers(cell.workers.entries);
        await cell.advanceTime(500);
        expect(cell.workers.starts).to.have.length(6);
        expect(new Set(cell.workers.starts.map(({ attempt }) => attempt))).to.deep.equal(new Set([1]));
    });

    it("starts each occurrence of a job when due, even while an earlier one runs", async () => {
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = 3_000;
        const coordinator = await cell.claim("one");
        const recurrence = { times: 3, firstAt: cell.timers.wallClock() + 1_000, intervalMilliseconds: 1_000 };
        await cell.submit(coordinator, sampleJob("00a1", { recurrence }));
        await cell.advanceTime(900);
        expect(cell.workers.starts).to.have.length(0);
        await cell.advanceTime(600);
        expect(cell.workers.starts.map(({ task }) => task)).to.deep.equal(["00a1.0.0.0"]);
        await cell.advanceTime(2_000);
        expect(cell.workers.starts.map(({ task }) => task)).to.deep.equal(["00a1.0.0.0", "00a1.1.0.0", "00a1.2.0.0"]);
        await cell.advanceTime(4_000);
        expect(coordinator.jobState("00a1")).to.equal(JobState.Completed);
    });

    it("respects required labels and the maximum of tasks of a step per worker", async () => {
        cell.workers.add("w1").taskDurationMilliseconds = undefined;
        cell.workers.add("w2", { labels: ["b", "r1-1"] }).taskDurationMilliseconds = undefined;
        const coordinator = await cell.claim("one");
        const labelled = sampleStep({ requiredLabel: "b" });
        const limitedPerWorker = sampleStep({ count: 4, maximumPerWorker: 1 });
        await cell.submit(coordinator, sampleJob("00a1", { steps: [labelled, limitedPerWorker] }));
        await cell.advanceTime(500);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w2"]);
        const spread = cell.workers.starts.filter(({ task }) => task.startsWith("00a1.0.1."));
        expect(spread.map(({ worker }) => worker)).to.have.members(["w1", "w2"]);
    });

    it("stops the attempts of a cancelled job and starts no further tasks", async () => {
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1", { steps: [sampleStep({ count: 8 })] }));
        await cell.advanceTime(500);
        coordinator.cancel("00a1");
        await cell.advanceTime(1_000);
        expect(worker.running.size).to.equal(0);
        expect(cell.workers.starts).to.have.length(4);
        expect(coordinator.jobState("00a1")).to.equal(JobState.Cancelled);
    });

    it("starts no task in an evacuated failure domain or on a leaving worker", async () => {
        cell.workers.add("w1", { failureDomain: "south" });
        cell.workers.add("w2", { leaving: true });
        cell.policy = { ...cell.policy, evacuated: new Set(["south"]) };
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.advanceTime(1_000);
        expect(cell.workers.starts).to.have.length(0);
    });

    it("restarts a lasting task from its checkpoint on another worker after its worker starts to leave", async () => {
        const leaving = cell.workers.add("w1");
        leaving.taskDurationMilliseconds = undefined;
        const coordinator = await cell.claim("one");
        const steps = [sampleStep({ lasting: true, checkpoints: true })];
        await cell.submit(coordinator, sampleJob("00a1", { steps }));
        await cell.advanceTime(500);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        const entries = cell.workers.entries;
        entries.set("w1", { ...leaving.entry, leaving: true });
        coordinator.setWorkers(entries);
        await cell.advanceTime(1_500);
        expect(cell.workers.starts.at(-1)).to.include({ worker: "w2", attempt: 2, checkpoint: "saved" });
    });

    it("starts other steps although the placement of one fails with an unexpected error", async () => {
        cell.workers.add("w1");
        cell.isAllowed = () => {
            throw new Error("malformed answer");
        };
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1", { queue: "hinted" }));
        await cell.submit(coordinator, sampleJob("00b2"));
        await cell.advanceTime(500);
        expect(cell.startsOf("00b2.0.0.0")).to.have.length(1);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(0);
        cell.isAllowed = () => true;
        await cell.advanceTime(1_500);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
    });

    it("keeps its session with a worker whose report causes an unexpected error", async () => {
        const worker = cell.workers.add("w1");
        const { requestReport } = worker;
        const coordinator = await cell.claim("one");
        await cell.submit(coordinator, sampleJob("00a1"));
        await cell.advanceTime(100);
        worker.requestReport = () => {
            throw new Error("malformed report");
        };
        await cell.advanceTime(1_000);
        worker.requestReport = requestReport;
        await cell.advanceTime(1_000);
        expect(coordinator.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
    });

    it("lets an urgent job use room that a batch job holds while its hint call is in flight", async () => {
        cell.workers.add("w1");
        const rules = cell.policy.queues.get("hinted");
        cell.policy = {
            ...cell.policy,
            queues: new Map([
                ...cell.policy.queues,
                ...(rules === undefined ? [] : [["batch", { ...rules, priority: 2 }] as const]),
            ]),
        };
        cell.areHintsSilent = true;
        const coordinator = await cell.claim("one");
        const large = sampleStep({ size: { processorMillis: 3_000, memoryMebibytes: 100, accelerators: 0 } });
        await cell.submit(coordinator, sampleJob("00a1", { queue: "batch", priority: 2, steps: [large] }));
        await cell.advanceTime(100);
        await cell.submit(coordinator, sampleJob("00b2", { steps: [large] }));
        await cell.advanceTime(200);
        expect(cell.startsOf("00b2.0.0.0")).to.have.length(1);
    });

    it("has a start refused that its owner, paused after the record of the start, sends after a takeover", async () => {
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
        worker.startFault = StartFault.Delayed;
        const paused = await cell.claim("one");
        await cell.submit(paused, sampleJob("00a1"));
        await cell.advanceTime(100);
        worker.startFault = StartFault.None;
        const successor = await cell.claim("two");
        await cell.advanceTime(3_000);
        expect(cell.workers.starts.map(({ fencingToken }) => isTokenOf(successor.epoch, fencingToken)))
            .to.deep.equal([true]);
        worker.executeDelayedStarts();
        await cell.advanceTime(1_000);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
        expect(worker.running.size).to.equal(1);
    });

    it("has a start refused that its owner sends after a pause to a worker which no other owner has reached", async () => {
        const worker = cell.workers.add("w1");
        worker.startFault = StartFault.Delayed;
        const paused = await cell.claim("one");
        await cell.submit(paused, sampleJob("00a1"));
        await cell.advanceTime(100);
        worker.isReachable = false;
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        await cell.claim("two");
        await cell.advanceTime(16_000);
        expect(cell.startsOf("00a1.0.0.0").map(({ worker }) => worker)).to.deep.equal(["w2"]);
        worker.executeDelayedStarts();
        await cell.advanceTime(500);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(1);
    });
});
