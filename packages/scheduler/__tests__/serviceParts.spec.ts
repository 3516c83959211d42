/**
 * Service jobs that are split over failure domains: placement, status, cancellation and retention of their parts.
 * Guards against parts that are lost, started twice or left running when a process is unreachable, an owner changes or
 * responses of the table are lost between the acceptance of the job and the arrival of its parts.
 */
import { errorAnswers, ErrorKind, Outcome } from "@tanagerlink/errors";
import { FailureDomainState, type JobRecord, JobState, WorkClass } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { type CellProcess, type JobOptions, SchedulerCell } from "./support/schedulerCell.ts";

const DOMAINS = ["north", "south", "west"];
const SERVICE: JobOptions = { workClass: WorkClass.Service, tasks: 5 };

interface DomainCell {
    readonly cell: SchedulerCell;
    readonly north: CellProcess;
    readonly south: CellProcess;
    readonly west: CellProcess;
}

/** Creates three failure domains with one process, one shard and two workers each. */
async function createDomainCell(explanationMilliseconds = 3_600_000): Promise<DomainCell> {
    const cell = new SchedulerCell({ domains: DOMAINS });
    const [north, south, west] = await cell.startInEachDomain(2, { explanationMilliseconds });
    return { cell, north: north!, south: south!, west: west! };
}

function runningDomainsOf(cell: SchedulerCell, job: string): string[] {
    const runningAttempts = cell.record.attempts.filter(attempt =>
        belongsTo(attempt.job, job) && attempt.endedAt === undefined
    );
    const domains = runningAttempts.map(({ worker }) => cell.vms.find(({ id }) => id === worker)!.failureDomain);
    return domains.sort();
}

/** Whether the identifier is that of the job or of one of its parts. */
function belongsTo(id: string, job: string): boolean {
    return id === job || id.includes(`.${job.slice(job.lastIndexOf(".") + 1)}-p`);
}

function rowsOf(cell: SchedulerCell, job: string): string[] {
    return cell.table.rows().map(({ key }) => key).filter(key => belongsTo(key.slice(key.lastIndexOf("/") + 1), job));
}

function setDomainState(cell: SchedulerCell, domain: string, state: FailureDomainState): void {
    const known = cell.configuration.failureDomains;
    cell.configure({ failureDomains: { ...known, [domain]: { ...known[domain]!, state } } });
}

describe("service jobs over several failure domains", () => {
    it("runs parts of nearly equal size in all failure domains and reports them as one job", async () => {
        const { cell, south } = await createDomainCell();
        const job = await cell.submit(south, { ...SERVICE, payload: JSON.stringify({ secret: "x".repeat(1_000) }) });
        await cell.timers.advance(6_000);
        expect(runningDomainsOf(cell, job)).to.deep.equal(["north", "north", "south", "south", "west"].sort());
        const status = await cell.status(south, job);
        expect(status).to.deep.include({ state: JobState.Running, tasks: { running: 5 } });
        expect(status.parts?.map(({ shard }) => shard).sort()).to.deep.equal(["north/0", "south/0", "west/0"]);
        const placed = status.decisions.filter(({ reason }) => reason.startsWith("placed")).map(({ task }) => task);
        expect(placed.sort(), "task indices are those of the whole job").to.deep.equal([0, 1, 2, 3, 4]);
        const row = cell.table.rows().find(({ key }) => key === `job/south/0/${job}`)?.value as { record: JobRecord; };
        expect(row.record.specification.payload, "only the parts keep the payload").to.equal("");
        cell.checkInvariants();
    });

    it("creates at most one part per task, and none in domains that are out, excluded or too small", async () => {
        const { cell, north } = await createDomainCell();
        const parts = async (options: JobOptions): Promise<string[] | undefined> => {
            const status = (await cell.advanceUntilSettled(cell.sendSubmission(north, { ...SERVICE, ...options })))
                ._unsafeUnwrap();
            return status.parts?.map(({ shard }) => shard).sort();
        };
        expect(await parts({ tasks: 2 })).to.have.lengthOf(2);
        expect(await parts({ failureDomains: ["south", "west"] })).to.deep.equal(["south/0", "west/0"]);
        for (const options of [{ tasks: 1 }, { allAtOnce: true }, { workClass: WorkClass.Batch, queue: "batch" }]) {
            expect(await parts(options), JSON.stringify(options)).to.equal(undefined);
        }
        expect(await parts({ failureDomains: ["south"] })).to.equal(undefined);
        cell.addWorkers(2, { processorMillis: 9_000, memoryMebibytes: 9_000, accelerators: 0 }, {}, "west");
        cell.addWorkers(2, { processorMillis: 9_000, memoryMebibytes: 9_000, accelerators: 0 }, {}, "south");
        await cell.timers.advance(3_000);
        const large = { processorMillis: 8_000, memoryMebibytes: 100, accelerators: 0 };
        expect(await parts({ size: large })).to.deep.equal(["south/0", "west/0"]);
        setDomainState(cell, "west", FailureDomainState.Out);
        expect(await parts({})).to.deep.equal(["north/0", "south/0"]);
    });

    it("returns the first job and its parts for a repeated submission elsewhere, and creates no others", async () => {
        const { cell, north, west } = await createDomainCell();
        const job = await cell.submit(north, { ...SERVICE, key: "once" });
        await cell.timers.advance(6_000);
        setDomainState(cell, "south", FailureDomainState.Out);
        const repeated = (await cell.advanceUntilSettled(cell.sendSubmission(west, { ...SERVICE, key: "once" })))
            ._unsafeUnwrap();
        expect(repeated).to.deep.include({ id: job, repeated: true, state: JobState.Running, tasks: { running: 5 } });
        expect(repeated.parts).to.have.lengthOf(3);
        expect(cell.table.rows().filter(({ key }) => key.startsWith("job/"))).to.have.lengthOf(4);
        const other = await cell.advanceUntilSettled(cell.sendSubmission(west, { ...SERVICE, tasks: 4, key: "once" }));
        expect(other._unsafeUnwrapErr().kind).to.equal(ErrorKind.IdempotencyKeyConflict);
    });

    it("moves a part whose failure domain is taken out before the part arrives", async () => {
        const { cell, north, west } = await createDomainCell();
        west.process.pause();
        const job = await cell.submit(north, SERVICE);
        setDomainState(cell, "west", FailureDomainState.Out);
        west.process.resume();
        await cell.timers.advance(30_000);
        expect(runningDomainsOf(cell, job)).to.have.lengthOf(5).and.not.to.include("west");
        const status = await cell.status(north, job);
        expect(status).to.deep.include({ state: JobState.Running, tasks: { running: 5 } });
        expect(status.parts?.map(({ shard }) => shard)).not.to.include("west/0");
        expect((await cell.advanceUntilSettled(north.service.cancel(job)))._unsafeUnwrap().state).to.equal(
            JobState.Cancelled,
        );
        await cell.timers.advance(10_000);
        expect(runningDomainsOf(cell, job)).to.deep.equal([]);
    });

    it("does not start a part that moved to another shard while its arrival was being confirmed", async () => {
        const cell = new SchedulerCell({ domains: ["north", "west"] });
        ["north", "west"].forEach(domain => cell.addWorkers(2, undefined, {}, domain));
        const north = cell.addProcess({}, "north");
        await cell.timers.advance(7_000);
        const part = await cell.submitTo("north/0", { ...SERVICE, tasks: 1, failureDomains: ["west", "north"] });
        await cell.advanceUntilSettled(north.service.cancel(part));
        const { record } = cell.table.rows().find(({ key }) => key === `job/north/0/${part}`)!.value as {
            record: JobRecord;
        };
        const id = "west.0.whole-p1";
        const moving = { ...record, id, shard: "west/0", acceptedEpoch: 0, state: JobState.Queued, partOf: part };
        const writes = [
            { key: `job/west/0/${id}`, expectedVersion: 0, value: { record: moving } },
            { key: `arrival/west/0/${id}`, expectedVersion: 0, value: {} },
        ];
        await cell.table.transact({ id: "split", conditions: [], writes });
        setDomainState(cell, "west", FailureDomainState.Out);
        cell.addProcess({}, "west");
        while (cell.ownerOf("west/0") === undefined) {
            await cell.timers.advance(100);
        }
        await cell.timers.advance(1_000);
        // With this delay, the arrival is read before the move takes effect and confirmed after it.
        cell.table.faults.delayMilliseconds = 1_500;
        await cell.timers.advance(4_500);
        setDomainState(cell, "west", FailureDomainState.Active);
        await cell.timers.advance(20_000);
        expect(cell.attempts(id).map(({ worker }) => cell.vms.find(vm => vm.id === worker)?.failureDomain))
            .to.deep.equal(["north"]);
        cell.checkInvariants();
    });

    it("delivers a cancellation to a part that was unreachable, also after a change of owner", async () => {
        const { cell, north, south, west } = await createDomainCell();
        cell.addProcess({}, "north");
        await cell.timers.advance(15_000);
        const owner = cell.ownerOf("north/0");
        const job = await cell.submit(owner, SERVICE);
        await cell.timers.advance(6_000);
        west.peers.isPartitioned = true;
        const cancelled = (await cell.advanceUntilSettled(south.service.cancel(job)))._unsafeUnwrap();
        expect(cancelled.state).to.equal(JobState.Cancelled);
        expect(cancelled.parts?.filter(({ unreachable }) => unreachable)).to.have.lengthOf(1);
        owner.process.kill();
        await cell.timers.advance(40_000);
        expect(runningDomainsOf(cell, job), "only the unreachable part is still running").to.deep.equal(["west"]);
        west.peers.isPartitioned = false;
        await cell.timers.advance(15_000);
        expect(runningDomainsOf(cell, job)).to.deep.equal([]);
        const remaining = north.process.isRunning ? north : south;
        expect(await cell.state(remaining, job)).to.equal(JobState.Cancelled);
    });

    it("cancels a part as soon as it arrives if the job was cancelled before the arrival", async () => {
        const { cell, north } = await createDomainCell();
        const { id: job, parts } = (await cell.advanceUntilSettled(cell.sendSubmission(north, SERVICE)))
            ._unsafeUnwrap();
        const early = (await cell.advanceUntilSettled(north.service.cancel(parts![1]!.id)))._unsafeUnwrapErr();
        expect(early.kind, "the part exists, so it is not reported as not found").to.equal(ErrorKind.ShardNotReady);
        expect((await cell.advanceUntilSettled(north.service.cancel(job)))._unsafeUnwrap().state).to.equal(
            JobState.Cancelled,
        );
        await cell.timers.advance(15_000);
        expect(runningDomainsOf(cell, job)).to.deep.equal([]);
        const status = await cell.status(north, job);
        expect(status.finishedAt).to.be.a("number");
        expect(status.parts?.map(({ state }) => state))
            .to.deep.equal(Array.from({ length: 3 }, () => JobState.Cancelled));
    });

    it("derives the state of a job from its parts after a change of owner, and removes them together", async () => {
        const { cell, north, south } = await createDomainCell(60_000);
        cell.addProcess({ explanationMilliseconds: 60_000 }, "north");
        await cell.timers.advance(15_000);
        const owner = cell.ownerOf("north/0");
        const job = await cell.submit(owner, { ...SERVICE, runMilliseconds: 100_000, key: "once" });
        await cell.timers.advance(10_000);
        const west = (await cell.status(south, job)).parts!.find(({ shard }) => shard === "west/0")!;
        await cell.advanceUntilSettled(south.service.cancel(west.id));
        owner.process.kill();
        await cell.timers.advance(85_000);
        expect(await cell.state(south, job)).to.equal(JobState.Running);
        expect(rowsOf(cell, job), "an ended part is kept while others are running").to.have.lengthOf(4);
        await cell.timers.advance(40_000);
        expect(await cell.state(south, job), "one part was cancelled individually").to.equal(JobState.Cancelled);
        expect(rowsOf(cell, job)).to.have.lengthOf(4);
        await cell.timers.advance(80_000);
        expect(rowsOf(cell, job)).to.deep.equal([]);
        expect(cell.table.rows().filter(({ key }) => key.startsWith("submission/"))).to.deep.equal([]);
        expect((await cell.advanceUntilSettled(south.service.status(job)))._unsafeUnwrapErr().kind).to.equal(
            ErrorKind.JobNotFound,
        );
        expect(north.process.isRunning || south.process.isRunning).to.equal(true);
    });

    it("accepts a job once and reports the true outcome despite table faults and a change of owner before arrival", async () => {
        const schedule = fc.record({
            fault: fc.constantFrom("loseAnswers" as const, "loseRequests" as const, "delayEffects" as const),
            count: fc.integer({ min: 0, max: 4 }),
            pauseAt: fc.constantFrom(undefined, 0, 30, 200, 1_500),
            delay: fc.constantFrom(0, 40, 400),
            paused: fc.constantFrom("north/0", "west/0"),
            idempotent: fc.boolean(),
        });
        await fc.assert(
            fc.asyncProperty(schedule, async ({ fault, count, pauseAt, delay, paused, idempotent }) => {
                const options = { ...SERVICE, idempotent, key: "once" };
                const { cell, south } = await createDomainCell();
                cell.addProcess({}, "north");
                cell.addProcess({}, "west");
                await cell.timers.advance(15_000);
                const owner = cell.ownerOf("north/0");
                cell.table.faults.delayMilliseconds = delay;
                const submitted = cell.sendSubmission(owner, options);
                await cell.timers.advance(10);
                cell.table.faults[fault] = count;
                if (pauseAt !== undefined) {
                    await cell.timers.advance(pauseAt);
                    const { process } = cell.ownerOf(paused);
                    process.pause();
                    await cell.timers.advance(20_000);
                    process.resume();
                }
                const first = await cell.advanceUntilSettled(submitted);
                cell.table.faults.delayMilliseconds = 0;
                await cell.timers.advance(40_000);
                const repeated = (await cell.advanceUntilSettled(cell.sendSubmission(south, options)))._unsafeUnwrap();
                if (first.isOk()) {
                    expect(repeated).to.deep.include({ id: first.value.id, repeated: true });
                }
                else if (errorAnswers[first.error.kind].outcome === Outcome.NotRun) {
                    expect(repeated.repeated, `${first.error.kind} guarantees that nothing was accepted`).to.equal(
                        undefined,
                    );
                }
                await cell.timers.advance(30_000);
                const jobs = cell.table.rows().filter(({ key }) => key.startsWith("job/"))
                    .map(({ value }) => (value as { record: JobRecord; }).record);
                expect(jobs.filter(({ movedTo }) => movedTo === undefined)).to.have.lengthOf(4);
                expect(runningDomainsOf(cell, repeated.id)).to.have.lengthOf(5);
                cell.checkInvariants(idempotent ? [] : jobs.map(({ id }) => id));
            }),
            { numRuns: 25 },
        );
    });
});
