/**
 * Moves of waiting jobs between shards. Guards against jobs that are lost, started twice or no longer found by their
 * identifier after a move, also when owners are killed and responses of the table are lost while it is being written.
 */
import { FailureDomainState, JobState } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { type CellProcess, SchedulerCell, size } from "./support/schedulerCell.ts";

/** Two shards with capacity for one task each; the first is occupied for ten minutes. */
async function createBusyCell(): Promise<{ readonly cell: SchedulerCell; readonly owner: CellProcess; }> {
    const cell = new SchedulerCell({ shards: 2 });
    const owner = await cell.startWithWorkers(2, size(1_000));
    const busy = await cell.submitTo("north/0", { runMilliseconds: 600_000, idempotent: false });
    await cell.timers.advance(2_000);
    expect(cell.attempts(busy).map(({ worker }) => worker)).to.deep.equal(["worker0"]);
    return { cell, owner };
}

describe("moves of waiting jobs", () => {
    it("moves a job to a shard with free capacity, where its identifier still finds and cancels it", async () => {
        const { cell, owner } = await createBusyCell();
        const moved = await cell.submitTo("north/0", { runMilliseconds: 20_000 });
        await cell.timers.advance(14_000);
        expect(cell.attempts(moved).map(({ worker }) => worker)).to.deep.equal(["worker1"]);
        expect(await cell.status(owner, moved)).to.include({ state: JobState.Running, shard: "north/1" });
        const cancelled = await cell.advanceUntilSettled(owner.service.cancel(moved));
        expect(cancelled._unsafeUnwrap().state).to.equal(JobState.Cancelled);
        cell.checkInvariants();
    });

    it("returns the moved job for a repeated submission", async () => {
        const { cell, owner } = await createBusyCell();
        const options = { runMilliseconds: 20_000, key: "once" };
        const moved = await cell.submitTo("north/0", options);
        await cell.timers.advance(14_000);
        const repeated = (await cell.advanceUntilSettled(cell.sendSubmission(owner, options)))._unsafeUnwrap();
        expect(repeated).to.include({ id: moved, shard: "north/1", repeated: true });
    });

    it("keeps jobs in their shard if no shard of an active failure domain has free capacity", async () => {
        const { cell, owner } = await createBusyCell();
        await cell.submitTo("north/1", { runMilliseconds: 600_000 });
        await cell.timers.advance(2_000);
        const waiting = await cell.submitTo("north/0", { runMilliseconds: 1_000 });
        const { north } = cell.configuration.failureDomains;
        cell.configure({ failureDomains: { north: { ...north!, state: FailureDomainState.Out } } });
        await cell.timers.advance(14_000);
        expect(await cell.status(owner, waiting)).to.include({ state: JobState.Queued, shard: "north/0" });
    });

    it("neither loses nor duplicates a job when owners are killed and table responses are lost at any step", async () => {
        const schedule = fc.record({
            killed: fc.constantFrom("north/0", "north/1"),
            at: fc.integer({ min: 4_000, max: 11_000 }),
            lost: fc.nat(6),
            lostAt: fc.integer({ min: 4_000, max: 11_000 }),
            delay: fc.constantFrom(0, 40, 400),
        });
        await fc.assert(
            fc.asyncProperty(schedule, async ({ killed, at, lost, lostAt, delay }) => {
                const { cell } = await createBusyCell();
                cell.addProcess();
                cell.addProcess();
                await cell.timers.advance(70_000);
                const jobs: string[] = [];
                for (let index = 0; index < 5; index++) {
                    jobs.push(await cell.submitTo("north/0", { runMilliseconds: 3_000, idempotent: index > 1 }));
                }
                cell.table.faults.delayMilliseconds = delay;
                await cell.timers.advance(Math.min(at, lostAt));
                cell.table.faults.loseAnswers = at < lostAt ? 0 : lost;
                cell.ownerOf(killed).process.kill();
                await cell.timers.advance(Math.abs(at - lostAt));
                cell.table.faults.loseAnswers = lost;
                await cell.timers.advance(60_000);
                cell.table.faults.delayMilliseconds = 0;
                await cell.timers.advance(90_000);
                const owner = cell.ownerOf("north/0");
                for (const job of jobs) {
                    expect(await cell.state(owner, job)).to.equal(JobState.Succeeded);
                    expect(cell.attempts(job), "runs").to.have.lengthOf(1);
                }
                cell.checkInvariants(jobs);
            }),
            // Regression: a job was lost when responses to the confirmation of its arrival were lost for over 3 s.
            { numRuns: 10, examples: [[{ killed: "north/0", at: 7_450, lost: 5, lostAt: 4_750, delay: 400 }]] },
        );
    });
});
