/**
 * Owners that end before their first renewal after the recovery. Their record says what the claim said: their own terms,
 * and only the workers that the record before had listed.
 */
import { expect } from "chai";
import type { Coordinator } from "../src/coordinator.ts";
import { decodeOwnerRecord, encodeJson, ownerRecordName } from "../src/ownerRecord.ts";
import { Cell } from "./support/cell.ts";
import type { FakeWorker } from "./support/fakeWorkers.ts";
import { takeLeasesOnReceipt } from "./support/leasesOnReceipt.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const LASTING = "00a1.0.0.0";

describe("tasks on lost workers, when owners end before their first renewal", () => {
    let cell: Cell;
    let owner: Coordinator;
    let worker: FakeWorker;

    beforeEach(async () => {
        cell = new Cell();
        cell.leaseMilliseconds = 10_000;
        takeLeasesOnReceipt(cell.workers);
        worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
        owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceTime(2_000);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        cell.listWorkers();
    });

    afterEach(() => cell.dispose());

    // Guards against TWICE: the terms of an owner of an earlier version are replaced by those of its first successor.
    it("wait for the leases of an owner of an earlier version", async () => {
        const { record, version } = decodeOwnerRecord(cell.store.read(ownerRecordName)!)._unsafeUnwrap();
        const { node, incarnation, epoch, renewals } = record;
        await cell.store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: version }],
            writes: [{ ...ownerRecordName, value: encodeJson({ node, incarnation, epoch, renewals: renewals + 1 }) }],
            removals: [],
        });
        // From here on, "one" stands for an earlier version: 8 s of authority without the store, leases of 10 s.
        owner[Symbol.dispose]();
        worker.reachableEpoch = epoch;
        const confirmedAt = cell.timers.now();
        const renew = setRenewals();
        await cell.advanceTime(2_700);
        const second = await cell.claim("two");
        second[Symbol.dispose]();
        await cell.advanceTime(1_400);
        await cell.claim("three");
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 1, 30_000);
        renew[Symbol.dispose]();
        expect(cell.startsOf(LASTING).map(start => start.worker)).to.deep.equal(["w1", "w2"]);
        worker.tick();
        expect([...worker.running.keys()], "still running on w1 at the second start").to.deep.equal([]);

        function setRenewals(): Disposable {
            return cell.timers.every(500, () => {
                if (cell.timers.now() - confirmedAt < 8_000) {
                    worker.requestReport({
                        fencingToken: epoch,
                        acknowledgedEnd: 0,
                        leaseUntil: worker.clock + 10_000,
                        waitMilliseconds: 0,
                    });
                }
            });
        }
    });

    // Guards against LOST: the wait begins anew with each owner that is killed within 1 s of its claim.
    it("start elsewhere within 7 s of the end of the last owner that was killed", async () => {
        worker.isReachable = false;
        owner[Symbol.dispose]();
        for (const node of ["two", "three"]) {
            await cell.advanceTime(2_700);
            owner = await cell.claim(node);
            await cell.advanceTime(300);
            owner[Symbol.dispose]();
        }
        const endedAt = cell.timers.now();
        await cell.advanceTime(2_700);
        await cell.claim("four");
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 1, 20_000);
        expect(cell.timers.now() - endedAt, "ms from the end of the last killed owner to the start").to.be.at.most(
            7_000,
        );
    });

    // Guards against LOST: a silent worker is listed up to 2.5 s after its loss, and not at all if its owner ends before.
    it("start elsewhere within 9 s if the owner ends before it has noticed the loss", async () => {
        const requestReport = cell.workers.requestReport;
        let requestedAt = 0;
        // A silent worker is noticed when the report is 500 ms late.
        cell.workers.requestReport = async (target, request) => {
            const sentAt = cell.timers.now();
            const isFirst = target.id === "w1" && requestedAt === 0;
            requestedAt = target.id === "w1" ? sentAt : requestedAt;
            const report = await requestReport(target, request);
            if (isFirst) {
                await new Promise<void>(resolve => void cell.timers.after(600 - cell.timers.now() % 1_000, resolve));
            }
            if (report.isErr()) {
                const milliseconds = sentAt + request.waitMilliseconds + 500 - cell.timers.now();
                await new Promise<void>(resolve => void cell.timers.after(milliseconds, resolve));
            }
            return report;
        };
        // The report is requested 1,400 ms before a renewal of the claim.
        await cell.advanceUntil(() => requestedAt === cell.timers.now() && requestedAt % 1_000 === 600, 5_000);
        const lostAt = cell.timers.now();
        worker.isReachable = false;
        await cell.advanceTime(1_450);
        owner[Symbol.dispose]();
        await cell.advanceTime(2_700);
        await cell.claim("two");
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 1, 20_000);
        expect(cell.timers.now() - lostAt, "ms from the loss to the start").to.be.at.most(9_000);
    });
});
