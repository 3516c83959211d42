/**
 * Leases while the store is slow and loses responses. Guards against lapses: the owner is alive, its transactions are
 * executed, and no other process claims the cell.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { expect } from "chai";
import fc from "fast-check";
import { err } from "neverthrow";
import { Cell } from "./support/cell.ts";
import { takeLeasesOnReceipt } from "./support/leasesOnReceipt.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const WORKERS = 10;
const LOSS_PERCENT = 35;
const TIMEOUT_MILLISECONDS = 1_600;

describe("lasting tasks, while the store takes 250 to 400 ms and loses 35 % of its responses", () => {
    it("keep running for 60 s", async () => {
        const delays = fc.sample(fc.record({ delay: fc.integer({ min: 250, max: 400 }), loss: fc.nat(99) }), {
            seed: 1,
            numRuns: 1_000,
        });
        const cell = new Cell();
        cell.leaseMilliseconds = 10_000;
        takeLeasesOnReceipt(cell.workers);
        for (let index = 0; index < WORKERS; index++) {
            const capacity = { processorMillis: 1_000, memoryMebibytes: 4_000, accelerators: 0 };
            cell.workers.add(`w${index}`, { capacity }).taskDurationMilliseconds = undefined;
        }
        const owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ count: WORKERS, lasting: true })] }));
        await cell.advanceTime(4_000);
        expect(cell.workers.starts).to.have.length(WORKERS);
        const commit = cell.store.commit.bind(cell.store);
        cell.store.commit = async transaction => {
            const { delay, loss } = delays.shift()!;
            await new Promise<void>(resolve => void cell.timers.after(delay, resolve));
            const outcome = await commit(transaction);
            if (loss < LOSS_PERCENT) {
                await new Promise<void>(resolve => void cell.timers.after(TIMEOUT_MILLISECONDS - delay, resolve));
                return err(serviceError(ErrorKind.StoreOutcomeUnknown, "no response"));
            }
            return outcome;
        };
        await cell.advanceTime(60_000);
        const first = [...cell.workers.workers.values()].filter(({ running }) =>
            [...running.values()].some(({ order }) => order.attempt === 1)
        );
        expect(first.length, "workers on which the first attempt runs on").to.equal(WORKERS);
        cell.dispose();
    });
});
