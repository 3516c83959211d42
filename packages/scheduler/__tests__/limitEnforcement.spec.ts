/**
 * Running tasks above a limit that was lowered with `enforce: stop`. Guards against stopping too many, too few or the
 * wrong tasks, which can come about when stop requests are lost, the owner dies or the table is down meanwhile.
 */
import { JobState, LimitEnforcement, Reason, WorkClass } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { SchedulerCell, size } from "./support/schedulerCell.ts";

/** Time in which a lowered limit takes effect without faults. */
const STOP_BOUND_MILLISECONDS = 5_000;
const LONG_RUN = { runMilliseconds: 3_600_000 };

function countRunning(cell: SchedulerCell, job?: string): number {
    return cell.record.attempts.filter(attempt =>
        attempt.endedAt === undefined && (job === undefined || attempt.job === job)
    ).length;
}

function countStopped(cell: SchedulerCell): number {
    return cell.record.attempts.filter(({ end }) => end === "stopped").length;
}

describe("a lowered limit with enforce: stop", () => {
    it("stops the newest tasks above it, which resume from their checkpoints when the limit is raised", async () => {
        const cell = new SchedulerCell({ limit: 10 });
        const process = await cell.startWithWorkers(4);
        const older = await cell.submitAndStart(process, { tasks: 5, runMilliseconds: 60_000 });
        const newer = await cell.submitAndStart(process, { tasks: 5, runMilliseconds: 60_000 });
        await cell.timers.advance(10_000);
        cell.setLimit(5, LimitEnforcement.Stop);
        await cell.timers.advance(STOP_BOUND_MILLISECONDS);
        expect([countRunning(cell, older), countRunning(cell, newer)]).to.deep.equal([5, 0]);
        const { decisions } = await cell.status(process, newer);
        expect(decisions.filter(({ reason }) => reason === Reason.StoppedOverLimit)).to.have.lengthOf(10);
        expect(decisions.find(({ reason }) => reason === Reason.StoppedOverLimit)?.origin).to.equal("cell.yaml:1");
        cell.setLimit(10, LimitEnforcement.Stop);
        await cell.timers.advance(58_000);
        expect(await cell.state(process, newer), "the task kept its progress").to.equal(JobState.Succeeded);
        cell.checkInvariants();
    });

    it("stops nothing with enforce: starts", async () => {
        const cell = new SchedulerCell({ limit: 10 });
        const process = await cell.startWithWorkers(4);
        await cell.submitAndStart(process, { tasks: 10, ...LONG_RUN });
        cell.setLimit(2, LimitEnforcement.Starts);
        await cell.timers.advance(20_000);
        expect([countRunning(cell), countStopped(cell)]).to.deep.equal([10, 0]);
    });

    it("stops batch before services, urgent tasks last, non-idempotent ones never, down to a limit of 0", async () => {
        const cell = new SchedulerCell({ limit: 20 });
        const process = await cell.startWithWorkers(4);
        const nonIdempotent = await cell.submitAndStart(process, { tasks: 2, idempotent: false, ...LONG_RUN });
        const batch = await cell.submitAndStart(process, { tasks: 2, ...LONG_RUN });
        const urgent = await cell.submitAndStart(process, { tasks: 2, workClass: WorkClass.Urgent, ...LONG_RUN });
        const service = await cell.submitAndStart(process, { tasks: 2, workClass: WorkClass.Service, ...LONG_RUN });
        const expected: readonly (readonly [number, readonly number[]])[] = [
            [7, [2, 1, 2, 2]],
            [5, [2, 0, 1, 2]],
            [3, [2, 0, 0, 1]],
            [0, [2, 0, 0, 0]],
        ];
        for (const [limit, runningCounts] of expected) {
            cell.setLimit(limit, LimitEnforcement.Stop);
            await cell.timers.advance(STOP_BOUND_MILLISECONDS);
            const jobs = [nonIdempotent, batch, service, urgent];
            expect(jobs.map(job => countRunning(cell, job)), `limit ${limit}`).to.deep.equal(runningCounts);
        }
        cell.checkInvariants([nonIdempotent]);
    });

    it("stops a gang as a whole, and only if stopping single tasks is not enough", async () => {
        const cell = new SchedulerCell({ limit: 20 });
        const process = await cell.startWithWorkers(4);
        const single = await cell.submitAndStart(process, { tasks: 3, ...LONG_RUN });
        const gang = await cell.submitAndStart(process, { tasks: 4, allAtOnce: true, ...LONG_RUN });
        cell.setLimit(5, LimitEnforcement.Stop);
        await cell.timers.advance(STOP_BOUND_MILLISECONDS);
        expect([countRunning(cell, single), countRunning(cell, gang)]).to.deep.equal([1, 4]);
        cell.setLimit(3, LimitEnforcement.Stop);
        await cell.timers.advance(STOP_BOUND_MILLISECONDS);
        expect(countRunning(cell, gang), "no partial gang").to.equal(0);
        cell.checkInvariants();
    });

    it("does not stop more tasks than the excess when requests and responses are lost", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.infiniteStream(fc.constantFrom("normal" as const, "request_lost" as const, "answer_lost" as const)),
                async outcomes => {
                    const cell = new SchedulerCell({ limit: 12 });
                    const process = await cell.startWithWorkers(4);
                    await cell.submitAndStart(process, { tasks: 12, ...LONG_RUN });
                    process.links.selectOutcome = (_, call) =>
                        call === "checkpoint" ? outcomes.next().value ?? "normal" : "normal";
                    cell.setLimit(7, LimitEnforcement.Stop);
                    await cell.timers.advance(60_000);
                    expect([countRunning(cell), countStopped(cell)]).to.deep.equal([7, 5]);
                    cell.checkInvariants();
                },
            ),
            { numRuns: 15 },
        );
    });

    it("does not stop more tasks than the excess when the owner dies at any moment", async () => {
        await fc.assert(
            fc.asyncProperty(fc.integer({ min: 0, max: 3_000 }), fc.boolean(), async (killDelay, lost) => {
                const cell = new SchedulerCell({ limit: 12 });
                const first = await cell.startWithWorkers(4);
                const second = cell.addProcess();
                await cell.submitAndStart(first, { tasks: 12, ...LONG_RUN });
                let calls = 0;
                first.links.selectOutcome = (_, call) =>
                    lost && call === "checkpoint" && calls++ % 2 === 0
                        ? "request_lost"
                        : "normal";
                cell.setLimit(7, LimitEnforcement.Stop);
                await cell.timers.advance(killDelay);
                first.process.kill();
                await cell.timers.advance(60_000);
                expect(second.ownership.ownedShards()).to.have.lengthOf(1);
                expect([countRunning(cell), countStopped(cell)], `killed after ${killDelay} ms`).to.deep.equal([7, 5]);
                cell.checkInvariants();
            }),
            { numRuns: 15 },
        );
    });

    it("stops nothing for an excess that ending tasks resolve while the table is down", async () => {
        const cell = new SchedulerCell({ limit: 10 });
        const process = await cell.startWithWorkers(4);
        const short = await cell.submitAndStart(process, { tasks: 5, idempotent: false, runMilliseconds: 8_000 });
        const long = await cell.submitAndStart(process, { tasks: 5, ...LONG_RUN });
        cell.table.faults.down = true;
        await cell.timers.advance(4_500);
        cell.setLimit(5, LimitEnforcement.Stop);
        await cell.timers.advance(4_000);
        cell.table.faults.down = false;
        await cell.timers.advance(20_000);
        expect(await cell.state(process, short)).to.equal(JobState.Succeeded);
        expect([countRunning(cell, long), countStopped(cell)]).to.deep.equal([5, 0]);
    });

    it("stops tasks in each shard according to its part of the excess", async () => {
        const cell = new SchedulerCell({ limit: 40, shards: 2 });
        cell.addWorkers(4, size(10_000));
        cell.addProcess();
        cell.addProcess();
        await cell.timers.advance(20_000);
        const [largerJob, smallerJob] = [
            await cell.submitTo("north/0", { tasks: 12, ...LONG_RUN }),
            await cell.submitTo("north/1", { tasks: 6, ...LONG_RUN }),
        ];
        await cell.timers.advance(10_000);
        expect(countRunning(cell), "all tasks run").to.equal(18);
        cell.setLimit(9, LimitEnforcement.Stop);
        await cell.timers.advance(2 * STOP_BOUND_MILLISECONDS);
        expect(countRunning(cell), "the limit is fully used").to.equal(9);
        expect(countRunning(cell, largerJob), "the larger job keeps the larger part").to.be.greaterThan(
            countRunning(cell, smallerJob),
        );
        expect(countRunning(cell, smallerJob)).to.be.greaterThan(0);
        cell.checkInvariants();
    });
});
