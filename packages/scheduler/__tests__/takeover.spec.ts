/**
 * Owners that pause, die or hand over while their jobs run. Guards against tasks that run twice, exceed a limit or are
 * lost because the new owner doesn't know yet what the previous one started, or the previous one resumes.
 */
import { ErrorKind } from "@tanagerlink/errors";
import { FailureDomainState, JobState } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { requestMethod } from "../src/peerMethods.ts";
import { SchedulerCell, SHARD, size } from "./support/schedulerCell.ts";

/** Sum of the owner lease, its margin, polls and the confirmation window. */
const TAKEOVER_BOUND_MILLISECONDS = 18_000;

describe("takeover of a shard", () => {
    it("starts nothing twice when an owner pauses past its lease and resumes under a successor", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.record({
                    pauseAfter: fc.integer({ min: 0, max: 4_000 }),
                    pause: fc.constantFrom(5_000, 9_000, 14_000, 40_000),
                    unreachable: fc.option(fc.nat(2), { nil: undefined }),
                }),
                async ({ pauseAfter, pause, unreachable }) => {
                    const cell = new SchedulerCell({ limit: 6 });
                    const first = await cell.startWithWorkers(3);
                    const second = cell.addProcess();
                    second.links.selectOutcome = worker => worker === `worker${unreachable}` ? "unreachable" : "normal";
                    const idempotent = await cell.submit(first, { tasks: 9, runMilliseconds: 6_000 });
                    const nonIdempotent = await cell.submit(first, {
                        tasks: 5,
                        idempotent: false,
                        runMilliseconds: 5_000,
                    });
                    await cell.timers.advance(pauseAfter);
                    first.process.pause();
                    await cell.timers.advance(pause);
                    first.process.resume();
                    await cell.timers.advance(30_000);
                    second.links.selectOutcome = () => "normal";
                    await cell.timers.advance(120_000);
                    cell.checkInvariants([nonIdempotent]);
                    const owner = second.ownership.ownedShards().length > 0 ? second : first;
                    expect(await cell.state(owner, idempotent)).to.equal(JobState.Succeeded);
                    expect(await cell.state(owner, nonIdempotent)).to.be.oneOf([
                        JobState.Succeeded,
                        JobState.OutcomeUnknown,
                    ]);
                },
            ),
            { numRuns: 12 },
        );
    });

    it("does not report missing executors before a new owner has loaded them", async () => {
        const cell = new SchedulerCell();
        cell.table.faults.delayMilliseconds = 1_000;
        const owner = cell.addProcess();
        while (owner.ownership.ownedShards().length === 0) {
            await cell.timers.advance(100);
        }
        const request = { id: "r1", service: "records", team: "team", remainingMilliseconds: 10_000 };
        const dispatchRequest = async (): Promise<string> =>
            (await owner.peers.call(owner.id, requestMethod, { shard: SHARD, request })).match(
                () => "answered",
                error => error.kind,
            );
        expect(await dispatchRequest()).to.equal(ErrorKind.ShardNotReady);
        await cell.timers.advance(10_000);
        expect(await dispatchRequest()).not.to.equal(ErrorKind.ShardNotReady);
    });

    it("brings every job to an end when an owner dies at any moment during the starts", async () => {
        await fc.assert(
            fc.asyncProperty(fc.integer({ min: 0, max: 150 }), fc.boolean(), async (killDelay, isTableSlow) => {
                const cell = new SchedulerCell();
                const first = await cell.startWithWorkers(3);
                const idempotent = await cell.submitAndStart(first, { tasks: 4, runMilliseconds: 8_000 });
                cell.table.faults.delayMilliseconds = isTableSlow ? 20 : 0;
                const nonIdempotent = await cell.submit(first, { tasks: 4, idempotent: false, runMilliseconds: 8_000 });
                await cell.timers.advance(killDelay);
                first.process.kill();
                const second = cell.addProcess();
                await cell.timers.advance(80_000);
                expect(await cell.state(second, idempotent)).to.equal(JobState.Succeeded);
                expect(await cell.state(second, nonIdempotent)).to.be.oneOf([
                    JobState.Succeeded,
                    JobState.OutcomeUnknown,
                ]);
                cell.checkInvariants([nonIdempotent]);
            }),
            { numRuns: 15 },
        );
    });

    it("does not restart tasks that may run on a worker which has not reported to the new owner yet", async () => {
        const cell = new SchedulerCell({ limit: 4 });
        const first = await cell.startWithWorkers(3, size(2_000));
        const job = await cell.submitAndStart(first, { tasks: 4, runMilliseconds: 25_000 });
        const silentWorker = cell.attempts(job)[0]!.worker;
        first.process.kill();
        const second = cell.addProcess();
        second.links.selectOutcome = worker => worker === silentWorker ? "request_lost" : "normal";
        await cell.timers.advance(TAKEOVER_BOUND_MILLISECONDS);
        const other = await cell.submit(second, { tasks: 4, name: "other", runMilliseconds: 1_000 });
        await cell.timers.advance(3_000);
        expect(cell.attempts(other), "tasks that may still run count towards the limit").to.have.lengthOf(0);
        await cell.timers.advance(80_000);
        expect(await cell.state(second, job)).to.equal(JobState.Succeeded);
        expect(await cell.state(second, other)).to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });

    it("waits for a worker of the stored roster that is missing from its VM list", async () => {
        const cell = new SchedulerCell();
        const first = await cell.startWithWorkers(3);
        const job = await cell.submitAndStart(first, { runMilliseconds: 600_000 });
        const unlistedWorker = cell.attempts(job)[0]!.worker;
        cell.vms = cell.vms.filter(vm => vm.id !== unlistedWorker);
        cell.addProcess();
        first.process.pause();
        await cell.timers.advance(60_000);
        cell.checkInvariants();
        expect(cell.attempts(job)).to.have.lengthOf(2);
    });

    it("restarts nothing while its VM list is still empty", async () => {
        const cell = new SchedulerCell();
        const first = await cell.startWithWorkers(3);
        const job = await cell.submitAndStart(first, { idempotent: false, runMilliseconds: 25_000 });
        const { vms } = cell;
        cell.vms = [];
        first.process.kill();
        const second = cell.addProcess();
        await cell.timers.advance(13_000);
        cell.vms = vms;
        second.service.onTargetsChanged();
        await cell.timers.advance(40_000);
        expect(await cell.state(second, job)).to.equal(JobState.Succeeded);
        cell.checkInvariants([job]);
    });

    it("restarts a task that was adopted and then lost", async () => {
        const cell = new SchedulerCell();
        const first = await cell.startWithWorkers(2);
        const job = await cell.submitAndStart(first, { runMilliseconds: 60_000 });
        first.process.kill();
        const second = cell.addProcess();
        await cell.timers.advance(TAKEOVER_BOUND_MILLISECONDS);
        cell.worker(cell.attempts(job)[0]!.worker).restart();
        await cell.timers.advance(80_000);
        expect(await cell.state(second, job)).to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });

    it("counts the capacity and unit of a running task whose job was cancelled before the takeover", async () => {
        const cell = new SchedulerCell({ limit: 1 });
        const first = await cell.startWithWorkers(1, size(1_000));
        const cancelled = await cell.submitAndStart(first, { runMilliseconds: 600_000 });
        first.links.selectOutcome = (_worker, call) => call === "stop" ? "request_lost" : "normal";
        void first.service.cancel(cancelled);
        await cell.timers.advance(500);
        first.process.kill();
        const second = cell.addProcess();
        const stopsReachableAt = cell.timers.now() + 22_000;
        second.links.selectOutcome = (_worker, call) =>
            call === "stop" && cell.timers.now() < stopsReachableAt ? "unreachable" : "normal";
        await cell.timers.advance(15_000);
        const next = await cell.submit(second, { runMilliseconds: 1_000 });
        await cell.timers.advance(40_000);
        expect(await cell.state(second, next)).to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });

    it("counts a running task that has no job record until it is stopped", async () => {
        const cell = new SchedulerCell({ limit: 1 });
        const owner = await cell.startWithWorkers(1, size(1_000));
        const { bootId, epoch } = cell.worker("worker0");
        let isStopReachable = false;
        owner.links.selectOutcome = (_worker, call) => call === "stop" && !isStopReachable ? "unreachable" : "normal";
        const report = cell.worker("worker0").attach(epoch);
        cell.worker("worker0").start({
            epoch,
            bootId,
            job: "north.0.foreign",
            task: 0,
            attempt: 1,
            team: "alder",
            size: size(1_000),
            leaseMilliseconds: 600_000,
            lastReport: "sequence" in report ? report.sequence : 0,
            payload: "",
        });
        await cell.timers.advance(2_500);
        const job = await cell.submit(owner, { runMilliseconds: 1_000 });
        await cell.timers.advance(10_000);
        const stops = owner.links.calls.filter(({ call }) => call === "stop").length;
        expect(stops, "repeated stops are bounded").to.be.below(10);
        isStopReachable = true;
        await cell.timers.advance(10_000);
        expect(await cell.state(owner, job)).to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });

    it("does not acknowledge the failure of a non-idempotent task before it is durable", async () => {
        const cell = new SchedulerCell();
        const first = await cell.startWithWorkers(1);
        const job = await cell.submitAndStart(first, { idempotent: false, runMilliseconds: 1_000, exitCode: 1 });
        cell.table.faults.down = true;
        await cell.timers.advance(4_500);
        first.process.kill();
        cell.table.faults.down = false;
        const second = cell.addProcess();
        await cell.timers.advance(40_000);
        cell.checkInvariants([job]);
        expect(await cell.state(second, job)).to.equal(JobState.Failed);
    });

    it("makes pending ends durable before a planned handover", async () => {
        const cell = new SchedulerCell();
        const first = await cell.startWithWorkers(1);
        const second = cell.addProcess();
        const jobs = [await cell.submit(first), await cell.submit(first)];
        cell.table.faults.delayMilliseconds = 1_600;
        const earlier = first.service.cancel(jobs[0]!);
        await cell.timers.advance(100);
        const later = first.service.cancel(jobs[1]!);
        await cell.timers.advance(50);
        const released = first.ownership.releaseAll(10_000);
        const answers = [await cell.advanceUntilSettled(earlier), await cell.advanceUntilSettled(later)];
        expect(answers.map(answer => answer.isOk())).to.deep.equal([true, true]);
        await cell.advanceUntilSettled(released);
        cell.table.faults.delayMilliseconds = 0;
        await cell.timers.advance(10_000);
        expect(second.ownership.ownedShards().map(owned => owned.shard)).to.deep.equal([SHARD]);
        for (const job of jobs) {
            expect(await cell.state(second, job)).to.equal(JobState.Cancelled);
        }
        cell.checkInvariants();
    });
});

describe("table outages, urgent work and failure domains that are out", () => {
    it("records ends that happen while the table is down, and acknowledges them once they are durable", async () => {
        const cell = new SchedulerCell();
        const owner = await cell.startWithWorkers(2);
        const job = await cell.submitAndStart(owner, { tasks: 4, runMilliseconds: 5_000 });
        cell.table.faults.down = true;
        await cell.timers.advance(30_000);
        const reported = [...cell.workers.values()].flatMap(worker => worker.attach(worker.epoch));
        expect(reported.flatMap(report => "tasks" in report ? report.tasks : []), "unacknowledged").to.have.lengthOf(4);
        cell.table.faults.down = false;
        await cell.timers.advance(10_000);
        expect(await cell.state(owner, job)).to.equal(JobState.Succeeded);
        expect(JSON.stringify(cell.table.rows())).to.include("succeeded");
        cell.checkInvariants();
    });

    it("responds to cancellations in bounded time while the table is down, without claiming durability", async () => {
        const cell = new SchedulerCell();
        const owner = await cell.startWithWorkers(1);
        const job = await cell.submitAndStart(owner, { runMilliseconds: 600_000 });
        cell.table.faults.down = true;
        for (let attempt = 0; attempt < 2; attempt++) {
            const result = await cell.advanceUntilSettled(owner.service.cancel(job));
            expect(result.isErr() ? result.error.kind : "ok").to.equal("store_outcome_unknown");
        }
    });

    it("starts urgent work within 1.3 s by checkpointing batch work, which continues later", async () => {
        const cell = new SchedulerCell();
        const owner = await cell.startWithWorkers(2);
        const batch = await cell.submitAndStart(owner, { tasks: 8, runMilliseconds: 20_000 });
        await cell.timers.advance(10_000);
        let lostCheckpoints = 1;
        owner.links.selectOutcome = (_worker, call) =>
            call === "checkpoint" && lostCheckpoints-- > 0 ? "request_lost" : "normal";
        const at = cell.timers.now();
        const urgent = await cell.submit(owner, { workClass: "urgent", runMilliseconds: 1_000, size: size(1_000) });
        const second = await cell.submit(owner, { workClass: "urgent", runMilliseconds: 1_000, size: size(1_000) });
        await cell.timers.advance(12_000);
        const delays = [...cell.attempts(urgent), ...cell.attempts(second)].map(attempt => attempt.startedAt - at);
        expect(Math.min(...delays)).to.be.below(1_300);
        await cell.timers.advance(20_000);
        expect(await cell.state(owner, batch)).to.equal(JobState.Succeeded);
        const runMilliseconds = cell.attempts(batch).reduce((sum, run) => sum + run.endedAt! - run.startedAt, 0);
        expect(runMilliseconds, "total run time, with progress kept").to.be.at.most(8 * 20_000 + 10);
        cell.checkInvariants();
    });

    it("starts urgent work in time during a burst of 10,000 cancellations, which all become durable", async () => {
        const cell = new SchedulerCell({ limit: 100 });
        const owner = await cell.startWithWorkers(2);
        await cell.submitAndStart(owner, { tasks: 7, runMilliseconds: 600_000 });
        const submitted = Array.from(
            { length: 10_000 },
            () => cell.sendSubmission(owner, { runMilliseconds: 600_000 }),
        );
        const jobs = (await cell.advanceUntilSettled(Promise.all(submitted))).map(result => result._unsafeUnwrap().id);
        cell.table.faults.delayMilliseconds = 4;
        const cancelled = jobs.map(job => owner.service.cancel(job));
        const at = cell.timers.now();
        const urgent = await cell.submitAndStart(owner, { workClass: "urgent", runMilliseconds: 1_000 });
        expect(cell.attempts(urgent)[0]!.startedAt - at).to.be.below(1_300);
        const answers = await cell.advanceUntilSettled(Promise.all(cancelled));
        expect(answers.filter(answer => answer.isErr())).to.have.lengthOf(0);
        cell.checkInvariants();
    });

    it("starts nothing in a failure domain that was taken out, and resumes when it is active again", async () => {
        const cell = new SchedulerCell();
        const owner = await cell.startWithWorkers(1);
        const job = await cell.submit(owner, { tasks: 12, runMilliseconds: 3_000 });
        const { north } = cell.configuration.failureDomains;
        cell.configure({ failureDomains: { north: { ...north!, state: FailureDomainState.Out } } });
        const outSince = cell.timers.now();
        await cell.timers.advance(20_000);
        expect(cell.attempts(job).every(attempt => attempt.startedAt <= outSince)).to.equal(true);
        cell.configure({ failureDomains: { north: north! } });
        await cell.timers.advance(20_000);
        expect(await cell.state(owner, job)).to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });
});
