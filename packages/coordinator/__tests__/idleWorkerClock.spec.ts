/**
 * Leases on a worker whose clock was last read long ago. Guards against TWICE: on a slow clock they last for longer than
 * the owner record states, up to the longest that workers grant.
 */
import { expect } from "chai";
import { Cell } from "./support/cell.ts";
import { takeLeasesOnReceipt } from "./support/leasesOnReceipt.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const LASTING = "00a1.0.0.0";

describe("leases on a worker that was idle for long", () => {
    it("have expired at the second start after a change of the owner", async () => {
        const cell = new Cell();
        cell.leaseMilliseconds = 10_000;
        takeLeasesOnReceipt(cell.workers);
        const worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
        Object.defineProperty(worker, "clock", { get: () => Math.round(cell.timers.now() * 0.98) + 5_000 });
        const start = cell.workers.start.bind(cell.workers);
        // The first report is requested before the response to the start.
        cell.workers.start = async (target, order) => {
            const outcome = await start(target, order);
            await new Promise<void>(resolve => void cell.timers.after(10, resolve));
            return outcome;
        };
        const owner = await cell.claim("one");
        await cell.advanceTime(240_000);
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 0, 1_000);
        await cell.advanceTime(300);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        worker.isReachable = false;
        owner[Symbol.dispose]();
        await cell.advanceTime(2_700);
        await cell.claim("two");
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 1, 25_000);
        expect(cell.startsOf(LASTING).map(start => start.worker)).to.deep.equal(["w1", "w2"]);
        worker.tick();
        expect([...worker.running.keys()], "still running on w1 at the second start").to.deep.equal([]);
        cell.dispose();
    });
});
