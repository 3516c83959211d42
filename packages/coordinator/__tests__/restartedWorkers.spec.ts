/**
 * Workers that start again under their id. No call names the incarnation that it is meant for, so that a value agreed with
 * one incarnation can reach the next: at once, while the owner has not noticed the restart, or late, or from an earlier
 * owner.
 */
import { EndKind } from "@tanagerlink/workflow";
import { expect } from "chai";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import { type FakeWorker, StartFault } from "./support/fakeWorkers.ts";
import { takeLeasesOnReceipt } from "./support/leasesOnReceipt.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const TASK = "00b1.0.0.0";
const LONGEST_LEASE_MILLISECONDS = 10_000;
/** Time in which a killed owner is replaced. */
const TAKEOVER_MILLISECONDS = 2_700;

describe("a worker that starts again under its id", () => {
    let cell: Cell;
    let owner: Coordinator;
    let worker: FakeWorker;

    beforeEach(async () => {
        cell = new Cell();
        cell.leaseMilliseconds = LONGEST_LEASE_MILLISECONDS;
        takeLeasesOnReceipt(cell.workers);
        worker = cell.workers.add("w1");
        owner = await cell.claim("one");
        // The clock of the first incarnation is ahead of every lease that the next one can grant.
        await cell.advanceTime(20_000);
    });

    afterEach(() => cell.dispose());

    /** Runs short tasks one after another, so that the end numbers of the worker are ahead of those of its successor. */
    async function runShortTasks(count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            await cell.submit(owner, sampleJob(`00a${index}`));
            await cell.advanceTime(500);
        }
        expect(worker.acknowledgedEnd).to.equal(count);
    }

    /** Submits a job whose task runs on the worker until it is stopped. */
    async function startLastingTask(id: string): Promise<void> {
        worker.taskDurationMilliseconds = undefined;
        await cell.submit(owner, sampleJob(id, { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceUntil(() => worker.running.has(`${id}.0.0.0`), 2_000);
    }

    function crashSilently(downMilliseconds: number): void {
        worker.timesOut = true;
        worker.registrationMilliseconds = 800;
        worker.crash(downMilliseconds);
    }

    /** Cuts the worker off; it runs on. Its tasks may be started on another one. */
    function cutOff(): void {
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        cell.listWorkers();
        worker.isReachable = false;
    }

    async function replaceOwner(): Promise<void> {
        owner[Symbol.dispose]();
        await cell.advanceTime(TAKEOVER_MILLISECONDS);
        owner = await cell.claim("two");
    }

    async function expectExpiredAtSecondStart(task = TASK): Promise<void> {
        await cell.advanceUntil(() => cell.startsOf(task).length > 1, 30_000);
        expect(cell.startsOf(task).map(start => start.worker)).to.deep.equal(["w1", "w2"]);
        worker.tick();
        expect([...worker.running.keys()], "still running on w1 at the second start").to.deep.equal([]);
    }

    describe("while the owner waits for a report", () => {
        beforeEach(async () => {
            await runShortTasks(3);
            await startLastingTask("00c1");
            await cell.advanceTime(1_500);
            worker.taskDurationMilliseconds = 300;
        });

        // Guards against TWICE: the new incarnation forgets an end whose number the owner knows from the former one.
        it("does not run a task again that the new incarnation has done", async () => {
            crashSilently(300);
            await cell.advanceTime(350);
            await cell.submit(owner, sampleJob("00b1"));
            await cell.advanceTime(6_000);
            expect(cell.startsOf(TASK)).to.have.length(1);
            expect(owner.jobState("00b1")).to.equal("completed");
        });

        // Guards against TWICE: same, while the response to the start is lost, so that its clock does not show the restart.
        it("does not run a task again whose start got no response from the new incarnation", async () => {
            crashSilently(300);
            await cell.advanceTime(350);
            worker.startFault = StartFault.ResponseLost;
            await cell.submit(owner, sampleJob("00b1"));
            await cell.advanceTime(600);
            worker.startFault = StartFault.None;
            await cell.advanceTime(6_000);
            expect(cell.startsOf(TASK)).to.have.length(1);
            expect(owner.jobState("00b1")).to.equal("completed");
        });

        // Guards against TWICE: same, when the report request is executed late, after the task is done.
        it("does not run a task again if the new incarnation executes the request late", async () => {
            worker.delaysCalls = true;
            crashSilently(300);
            await cell.advanceTime(2_000);
            worker.delaysCalls = false;
            await cell.advanceTime(1_500);
            await cell.submit(owner, sampleJob("00b1"));
            await cell.advanceUntil(() => worker.running.has(TASK), 15_000);
            await cell.advanceTime(290);
            worker.tick();
            worker.executeDelayedCalls();
            await cell.advanceTime(6_000);
            expect(cell.startsOf(TASK)).to.have.length(1);
            expect(owner.jobState("00b1")).to.equal("completed");
        });

        // Guards against TWICE: the owner counts a late lease that was meant for the former incarnation as its own.
        it("keeps a lease that the new incarnation took from the request, and the owner counts with it", async () => {
            worker.delaysCalls = true;
            crashSilently(300);
            await cell.advanceTime(350);
            worker.executeDelayedCalls();
            worker.delaysCalls = false;
            await cell.advanceTime(2_000);
            await startLastingTask("00b1");
            await cell.advanceUntil(() => worker.running.has(TASK), 15_000);
            await cell.advanceTime(300);
            cutOff();
            await expectExpiredAtSecondStart();
        });
    });

    describe("while nothing runs on it", () => {
        // Guards against TWICE: a lease on the clock of the former incarnation is as long as the new one grants.
        it("gets no lease on the clock of the former incarnation", async () => {
            await runShortTasks(1);
            worker.crash(1_000);
            await cell.advanceTime(1_700);
            await startLastingTask("00b1");
            await cell.advanceTime(1_000);
            cutOff();
            await expectExpiredAtSecondStart();
        });

        // Guards against TWICE: a start that the owner sends before it knows of the restart has the same effect.
        it("keeps the lease of a start that was meant for the former incarnation, and the owner counts with it", async () => {
            await runShortTasks(1);
            crashSilently(300);
            await cell.advanceTime(400);
            await startLastingTask("00b1");
            await cell.advanceTime(300);
            cutOff();
            await expectExpiredAtSecondStart();
        });

        // Guards against TWICE: same, while the response to the start is lost.
        it("keeps the lease of a start without a response, and the owner counts with it", async () => {
            await runShortTasks(1);
            crashSilently(300);
            await cell.advanceTime(400);
            worker.startFault = StartFault.ResponseLost;
            await startLastingTask("00b1");
            await cell.advanceTime(600);
            worker.startFault = StartFault.None;
            cutOff();
            await expectExpiredAtSecondStart();
        });
    });

    describe("and whose owner is killed soon after", () => {
        // Guards against TWICE: the owner record states shorter leases than the new incarnation has.
        it("gets no lease on the clock of the former incarnation", async () => {
            await runShortTasks(1);
            worker.crash(1_000);
            await cell.advanceTime(1_300);
            await startLastingTask("00b1");
            cutOff();
            await replaceOwner();
            await expectExpiredAtSecondStart();
        });

        // Guards against TWICE: same, for a start that was sent before the owner knew of the restart.
        it("keeps the lease of a start that was meant for the former incarnation, and the successor waits for it", async () => {
            await runShortTasks(1);
            crashSilently(300);
            await cell.advanceTime(400);
            await startLastingTask("00b1");
            await cell.advanceTime(500);
            cutOff();
            await replaceOwner();
            await expectExpiredAtSecondStart();
        });

        // Guards against TWICE: same, when the successor is killed too, and knows the lease from the record only.
        it("keeps that lease, and the successor of the successor waits for it", async () => {
            await runShortTasks(1);
            crashSilently(300);
            await cell.advanceTime(400);
            await startLastingTask("00b1");
            await cell.advanceTime(500);
            cutOff();
            await replaceOwner();
            await replaceOwner();
            await expectExpiredAtSecondStart();
        });

        // Guards against TWICE: same, when the owner ends before it has noticed the restart.
        it("keeps the lease of a start by an owner that never knew of the restart", async () => {
            await runShortTasks(1);
            crashSilently(300);
            await cell.advanceTime(400);
            await startLastingTask("00b1");
            owner[Symbol.dispose]();
            await cell.advanceTime(1_000);
            cutOff();
            await replaceOwner();
            await expectExpiredAtSecondStart();
        });

        // Guards against TWICE: the new owner starts a task on a worker whose lease its predecessor has extended unawares.
        it("counts with the lease that the predecessor gave the new incarnation unawares", async () => {
            await runShortTasks(3);
            await startLastingTask("00c1");
            await cell.advanceTime(1_500);
            cell.workers.add("w0").taskDurationMilliseconds = undefined;
            cell.listWorkers();
            worker.delaysCalls = true;
            crashSilently(300);
            await cell.advanceTime(350);
            owner[Symbol.dispose]();
            await cell.advanceTime(TAKEOVER_MILLISECONDS - 100);
            worker.executeDelayedCalls();
            worker.delaysCalls = false;
            owner = await cell.claim("two");
            cell.workers.workers.get("w0")!.entry = { ...cell.workers.workers.get("w0")!.entry, leaving: true };
            cell.listWorkers();
            await startLastingTask("00b1");
            await cell.advanceUntil(() => worker.running.has(TASK), 10_000);
            await cell.advanceTime(300);
            cutOff();
            await expectExpiredAtSecondStart();
        });
    });

    // Guards against TWICE: the new incarnation executes a start that was meant for the former one.
    it("refuses a late start that was meant for the former incarnation", async () => {
        worker.delaysCalls = true;
        worker.taskDurationMilliseconds = undefined;
        await cell.submit(owner, sampleJob("00b1", { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceTime(300);
        crashSilently(300);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        cell.listWorkers();
        worker.delaysCalls = false;
        await cell.advanceUntil(() => cell.startsOf(TASK).length > 0, 10_000);
        worker.executeDelayedCalls();
        await cell.advanceTime(100);
        expect(cell.startsOf(TASK).map(start => start.worker)).to.deep.equal(["w2"]);
    });

    // Guards against ROUTE: a start that waited for the store is sent although the worker has returned as another kind.
    for (const isRestart of [true, false]) {
        const cause = isRestart ? "it returned" : "its record was written again";
        it(`gets no start that was placed before ${cause} without the required label`, async () => {
            worker.entry = { ...worker.entry, labels: ["a", "b"] };
            cell.listWorkers();
            cell.store.holdCommits();
            const requiring = sampleStep({ requiredLabel: "b", lasting: true });
            owner.accept(sampleJob("00b1", { steps: [requiring] }));
            await cell.advanceTime(100);
            worker.entry = { ...worker.entry, labels: ["a"] };
            if (isRestart) {
                worker.crash(50);
                await cell.advanceTime(800);
            }
            cell.listWorkers();
            cell.store.releaseCommits();
            await cell.advanceTime(1_000);
            expect(cell.startsOf(TASK)).to.deep.equal([]);
        });
    }

    // Guards against reports of the former incarnation that arrive after the restart is known.
    it("is not taken for the former incarnation because of a report that arrives late", async () => {
        await startLastingTask("00c1");
        const requestReport = cell.workers.requestReport.bind(cell.workers);
        let isFirst = true;
        cell.workers.requestReport = async (target, request) => {
            const report = await requestReport(target, request);
            if (isFirst && target.id === "w1" && report.isOk()) {
                isFirst = false;
                worker.taskDurationMilliseconds = 300;
                worker.crash(50);
                await new Promise<void>(resolve => void cell.timers.after(400, resolve));
            }
            return report;
        };
        await cell.advanceUntil(() => !isFirst, 2_000);
        await cell.advanceTime(700);
        worker.endKind = EndKind.Done;
        await cell.submit(owner, sampleJob("00b1"));
        await cell.advanceTime(6_000);
        expect(cell.startsOf(TASK)).to.have.length(1);
        expect(owner.jobState("00b1")).to.equal("completed");
    });
});
