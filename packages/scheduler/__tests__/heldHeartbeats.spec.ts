/**
 * Workers hold the response to a heartbeat until something changes. Guards against changes and faults that are noticed
 * later than with periodic heartbeats because they occur during a hold, and against more messages than a hold needs.
 */
import { JobState } from "@tanagerlink/model";
import { expect } from "chai";
import { type CellProcess, SchedulerCell, size } from "./support/schedulerCell.ts";

async function createCell(
    holds: boolean,
    workers: number,
    capacity = size(4_000),
): Promise<[SchedulerCell, CellProcess]> {
    const cell = new SchedulerCell();
    cell.holdsHeartbeats = holds;
    return [cell, await cell.startWithWorkers(workers, capacity)];
}

const countHeartbeats = ({ links }: CellProcess, since: number): number =>
    links.calls.filter(({ call, at }) => call === "heartbeat" && at >= since).length;

/** Time from the event to the start of a second job that waits for the capacity of the first one. */
async function reactionMilliseconds(
    holds: boolean,
    event: (cell: SchedulerCell, job: string) => void,
): Promise<number> {
    const [cell, owner] = await createCell(holds, 1, size(1_000));
    const first = await cell.submitAndStart(owner, { runMilliseconds: 33_333 });
    const second = await cell.submit(owner, { runMilliseconds: 1_000 });
    await cell.timers.advance(9_100);
    const at = cell.timers.now();
    event(cell, first);
    await cell.timers.advance(40_000);
    expect(await cell.state(owner, second)).to.equal(JobState.Succeeded);
    cell.checkInvariants();
    return cell.attempts(second)[0]!.startedAt - at;
}

describe("held heartbeats", () => {
    for (const holds of [true, false]) {
        it(`renews leases of unchanged workers with the expected number of heartbeats (holds: ${holds})`, async () => {
            const [cell, owner] = await createCell(holds, 3);
            const job = await cell.submitAndStart(owner, { tasks: 6 });
            await cell.timers.advance(10_000);
            const since = cell.timers.now();
            await cell.timers.advance(120_000);
            const perWorker = countHeartbeats(owner, since) / 3;
            expect(perWorker).to.be.within(holds ? 12 : 58, holds ? 16 : 62);
            expect(cell.attempts(job), "no lease has expired").to.have.lengthOf(6);
        });
    }

    it("notices an unexpected end immediately instead of at the end of the period", async () => {
        const restartWorker = (cell: SchedulerCell): void => {
            cell.worker("worker0").restart();
        };
        expect(await reactionMilliseconds(true, restartWorker)).to.be.at.most(
            await reactionMilliseconds(false, restartWorker),
        );
        const [cell, owner] = await createCell(true, 1, size(1_000));
        const first = await cell.submitAndStart(owner, { runMilliseconds: 33_333 });
        const second = await cell.submit(owner, { runMilliseconds: 1_000 });
        await cell.timers.advance(60_000);
        const idleMilliseconds = cell.attempts(second)[0]!.startedAt - cell.attempts(first)[0]!.endedAt!;
        expect(idleMilliseconds).to.be.below(1_000);
    });

    it("starts nothing on a worker that began to leave during a hold", async () => {
        const [cell, owner] = await createCell(true, 2);
        await cell.timers.advance(9_000);
        cell.worker("worker0").leaving = true;
        await cell.timers.advance(50);
        const job = await cell.submitAndStart(owner, { tasks: 4 });
        expect(cell.attempts(job).map(attempt => attempt.worker)).to.deep.equal(Array(4).fill("worker1"));
    });

    it("restarts a task promptly when its worker restarts while it holds a heartbeat", async () => {
        const [cell, owner] = await createCell(true, 1);
        const job = await cell.submitAndStart(owner, { runMilliseconds: 100_000 });
        await cell.timers.advance(9_000);
        cell.worker("worker0").restart();
        await cell.timers.advance(3_000);
        expect(cell.attempts(job)).to.have.lengthOf(2);
        cell.checkInvariants();
    });

    for (const holds of [true, false]) {
        it(`places no work on a worker that has been unresponsive for 7 s (holds: ${holds})`, async () => {
            const [cell, owner] = await createCell(holds, 2);
            await cell.timers.advance(9_000);
            owner.links.selectOutcome = worker => worker === "worker0" ? "request_lost" : "normal";
            await cell.timers.advance(7_000);
            const job = await cell.submit(owner, { tasks: 4 });
            await cell.timers.advance(500);
            expect(cell.attempts(job).map(attempt => attempt.worker)).to.deep.equal(Array(4).fill("worker1"));
        });
    }

    for (const release of ["normal", "request_lost"] as const) {
        it(`keeps starting through an outage of the table that begins during holds (release: ${release})`, async () => {
            const [cell, owner] = await createCell(true, 5, size(1_000));
            const job = await cell.submit(owner, { tasks: 100, runMilliseconds: 3_000 });
            await cell.timers.advance(10_000);
            owner.links.selectOutcome = (_worker, call) => call === "release" ? release : "normal";
            cell.table.faults.down = true;
            const before = cell.timers.now();
            const started = (): number => cell.attempts(job).length;
            for (let second = 0; second < 10; second++) {
                const count = started();
                await cell.timers.advance(4_500);
                expect(started(), `started after ${cell.timers.now() - before} ms`).to.be.greaterThan(count);
            }
            cell.table.faults.down = false;
            await cell.timers.advance(30_000);
            expect(await cell.state(owner, job)).to.equal(JobState.Succeeded);
            cell.checkInvariants();
        });
    }

    it("confirms the epoch at short intervals during an outage, even on workers without changes", async () => {
        const [cell, owner] = await createCell(true, 5);
        const [owned] = owner.ownership.ownedShards();
        await cell.timers.advance(11_000);
        cell.table.faults.down = true;
        for (let second = 0; second < 30; second++) {
            await cell.timers.advance(1_000);
            expect(owner.ownership.mayStart(owned!.shard, owned!.epoch), `after ${second + 1} s`).to.equal(true);
        }
        cell.table.faults.down = false;
        await cell.timers.advance(5_000);
        const since = cell.timers.now();
        await cell.timers.advance(60_000);
        expect(countHeartbeats(owner, since) / 5, "heartbeats are held again after the outage").to.be.at.most(10);
    });

    it("ends the hold of a paused owner when its successor attaches, which notifies the paused one", async () => {
        const [cell, owner] = await createCell(true, 3);
        cell.addProcess();
        await cell.timers.advance(5_000);
        const currentOwner = cell.processes.find(({ ownership }) => ownership.ownedShards().length > 0) ?? owner;
        currentOwner.process.pause();
        await cell.timers.advance(25_000);
        currentOwner.process.resume();
        await cell.timers.advance(200);
        expect(currentOwner.ownership.ownedShards()).to.have.lengthOf(0);
        cell.checkInvariants();
    });
});
