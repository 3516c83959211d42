/**
 * Shards of a failure domain that has lost all entry processes are adopted by processes of another failure domain,
 * until the first one has processes again. Guards against tasks that are lost or run twice when ownership passes back
 * and forth while workers keep running, and against jobs moved away before the tasks of the lost owner are known.
 */
import { FailureDomainState, JobState, Reason } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { type CellProcess, SchedulerCell, SHARD, size } from "./support/schedulerCell.ts";

/** Sum of the adoption delay, polls, attachment of the workers and the confirmation window. */
const ADOPTION_BOUND_MILLISECONDS = 26_000;

/** Failure domain north with three workers and one process, south with one process and the given number of workers. */
async function createTwoDomainCell(
    southWorkers = 0,
): Promise<{ cell: SchedulerCell; north: CellProcess; south: CellProcess; }> {
    const cell = new SchedulerCell({ domains: ["north", "south"] });
    cell.addWorkers(3, size(2_000));
    cell.addWorkers(southWorkers, size(64_000), {}, "south");
    const north = cell.addProcess();
    const south = cell.addProcess({}, "south");
    await cell.timers.advance(8_000);
    return { cell, north, south };
}

function shardsOf({ ownership }: CellProcess): string[] {
    return ownership.ownedShards().map(({ shard }) => shard).sort();
}

describe("adoption of the shards of a lost failure domain", () => {
    it("keeps non-idempotent tasks and starts waiting ones until the domain takes the shard back", async () => {
        const { cell, north, south } = await createTwoDomainCell();
        const runningJob = await cell.submitAndStart(north, { tasks: 4, idempotent: false, runMilliseconds: 120_000 });
        const waitingJob = await cell.submit(north, { tasks: 8, runMilliseconds: 3_000 });
        north.process.kill();
        await cell.timers.advance(ADOPTION_BOUND_MILLISECONDS);
        expect(shardsOf(south)).to.deep.equal([SHARD, "south/0"]);
        const { decisions } = await cell.status(south, waitingJob);
        expect(decisions.map(({ reason }) => reason)).to.include(Reason.ShardAdopted);
        expect(south.service.fleet.headline(SHARD)).to.include({ owner: south.id, adoptedBy: "south" });
        await cell.timers.advance(30_000);
        expect(await cell.state(south, waitingJob)).to.equal(JobState.Succeeded);
        const returnedProcess = cell.addProcess();
        await cell.timers.advance(20_000);
        expect(shardsOf(south)).to.deep.equal(["south/0"]);
        expect(shardsOf(returnedProcess)).to.deep.equal([SHARD]);
        expect(returnedProcess.service.fleet.headline(SHARD)?.adoptedBy).to.equal(undefined);
        await cell.timers.advance(70_000);
        expect(await cell.state(returnedProcess, runningJob)).to.equal(JobState.Succeeded);
        cell.checkInvariants([runningJob]);
    });

    it("starts and moves nothing while the adopter can't reach a majority of the listed workers", async () => {
        const { cell, north, south } = await createTwoDomainCell(2);
        const job = await cell.submitAndStart(north, { tasks: 6, runMilliseconds: 600_000 });
        const waitingJob = await cell.submitTo(SHARD, { runMilliseconds: 1_000 });
        south.links.selectOutcome = worker => ["worker0", "worker1"].includes(worker) ? "unreachable" : "normal";
        north.process.kill();
        await cell.timers.advance(120_000);
        expect(shardsOf(south)).to.include(SHARD);
        expect(await cell.status(south, waitingJob)).to.include({ shard: SHARD, state: JobState.Queued });
        expect(cell.attempts(job)).to.have.lengthOf(6);
        south.links.selectOutcome = () => "normal";
        await cell.timers.advance(60_000);
        expect(await cell.state(south, waitingJob)).to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });

    it("moves nothing before the confirmation window has passed, even if all workers are attached", async () => {
        const { cell, north, south } = await createTwoDomainCell(1);
        const runningJob = await cell.submitAndStart(north, { tasks: 6, idempotent: false, runMilliseconds: 600_000 });
        const waitingJob = await cell.submitTo(SHARD, { runMilliseconds: 1_000 });
        north.process.kill();
        const { north: lost, ...others } = cell.configuration.failureDomains;
        cell.configure({ failureDomains: { ...others, north: { ...lost!, state: FailureDomainState.Out } } });
        const isInFirstShard = async (): Promise<boolean> => (await cell.status(south, waitingJob)).shard === SHARD;
        for (let step = 0; step < 600 && await isInFirstShard(); step++) {
            await cell.timers.advance(100);
        }
        expect(await isInFirstShard()).to.equal(false);
        expect(south.ownership.mayStart(SHARD, 2)).to.equal(true);
        cell.checkInvariants([runningJob]);
    });

    it("moves jobs away after the leases of workers that are missing from the VM list have expired", async () => {
        const { cell, north, south } = await createTwoDomainCell(1);
        const runningJob = await cell.submitAndStart(north, { tasks: 6, runMilliseconds: 40_000 });
        const waitingJob = await cell.submitTo(SHARD, { runMilliseconds: 1_000 });
        const northWorkers = ["worker0", "worker1", "worker2"];
        south.links.selectOutcome = worker => northWorkers.includes(worker) ? "unreachable" : "normal";
        north.process.kill();
        cell.vms = cell.vms.filter(({ id }) => !northWorkers.includes(id));
        south.service.onTargetsChanged();
        await cell.timers.advance(200_000);
        for (const job of [runningJob, waitingJob]) {
            expect(await cell.status(south, job)).to.include({ state: JobState.Succeeded, shard: "south/0" });
        }
        const reasons = (await cell.status(south, waitingJob)).decisions.map(({ reason }) => reason);
        expect(reasons).to.include.members([Reason.ShardAdopted, Reason.Moved]);
        cell.checkInvariants();
    });

    it("moves a job back to its first shard when the shard that it was moved to is lost", async () => {
        const { cell, north, south } = await createTwoDomainCell(1);
        const fillingJob = await cell.submitAndStart(south, { size: size(64_000), runMilliseconds: 20_000 });
        const movedJob = await cell.submitTo("south/0", { size: size(2_000), runMilliseconds: 30_000 });
        await cell.timers.advance(9_000);
        expect(await cell.status(south, movedJob)).to.include({ shard: SHARD, state: JobState.Running });
        north.process.kill();
        const removedWorkers = cell.vms.filter(({ failureDomain }) => failureDomain === "north").map(({ id }) => id);
        south.links.selectOutcome = worker => removedWorkers.includes(worker) ? "unreachable" : "normal";
        cell.vms = cell.vms.filter(({ id }) => !removedWorkers.includes(id));
        south.service.onTargetsChanged();
        await cell.timers.advance(150_000);
        for (const job of [fillingJob, movedJob]) {
            expect(await cell.status(south, job)).to.include({ shard: "south/0", state: JobState.Succeeded });
        }
        const cancelled = await cell.advanceUntilSettled(south.service.cancel(movedJob));
        expect(cancelled._unsafeUnwrap().state).to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });

    it("moves 25 jobs a second from a shard that can run nothing", async () => {
        const { cell, south } = await createTwoDomainCell(4);
        const { north, ...others } = cell.configuration.failureDomains;
        cell.configure({ failureDomains: { ...others, north: { ...north!, state: FailureDomainState.Out } } });
        const jobs = await Promise.all(
            Array.from({ length: 200 }, () => cell.submitTo(SHARD, { runMilliseconds: 100 })),
        );
        await cell.timers.advance(10_000);
        const shards = await Promise.all(jobs.map(async job => (await cell.status(south, job)).shard));
        expect(shards.filter(shard => shard === "south/0")).to.have.lengthOf(200);
        await cell.timers.advance(10_000);
        for (const job of jobs) {
            expect(await cell.state(south, job)).to.equal(JobState.Succeeded);
            expect(cell.attempts(job), "runs").to.have.lengthOf(1);
        }
        cell.checkInvariants();
    });

    it("loses and duplicates no task when adopters die and processes of the domain return at any moment", async () => {
        const schedule = fc.record({
            returnAt: fc.integer({ min: 0, max: 60_000 }),
            killAt: fc.integer({ min: 15_000, max: 50_000 }),
            paused: fc.boolean(),
            unreachable: fc.nat(3),
        });
        await fc.assert(
            fc.asyncProperty(schedule, async ({ returnAt, killAt, paused, unreachable }) => {
                const { cell, north, south } = await createTwoDomainCell(1);
                const other = cell.addProcess({}, "south");
                other.links.selectOutcome = worker => worker === `worker${unreachable}` ? "unreachable" : "normal";
                const nonIdempotent = await cell.submit(north, {
                    tasks: 5,
                    idempotent: false,
                    runMilliseconds: 25_000,
                });
                const idempotent = await cell.submit(north, { tasks: 9, runMilliseconds: 4_000 });
                await cell.timers.advance(2_000);
                north.process.kill();
                const events = [
                    { at: returnAt, act: () => void cell.addProcess() },
                    { at: killAt, act: () => paused ? south.process.pause() : south.process.kill() },
                ].sort((left, right) => left.at - right.at);
                for (const [index, { at, act }] of events.entries()) {
                    await cell.timers.advance(at - (events[index - 1]?.at ?? 0));
                    act();
                }
                await cell.timers.advance(30_000);
                south.process.resume();
                other.links.selectOutcome = () => "normal";
                await cell.timers.advance(200_000);
                const states = await Promise.all([nonIdempotent, idempotent].map(job => cell.state(other, job)));
                expect(states[0]).to.be.oneOf([JobState.Succeeded, JobState.OutcomeUnknown]);
                expect(states[1]).to.equal(JobState.Succeeded);
                cell.checkInvariants([nonIdempotent]);
            }),
            { numRuns: 12 },
        );
    });
});
