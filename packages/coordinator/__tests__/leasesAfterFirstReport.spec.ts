/**
 * Leases of previous owners on workers that have answered the new owner once. Guards against TWICE: workers shorten no
 * lease, so that the new owner must not end attempts there before the leases of all owners have expired.
 */
import { expect } from "chai";
import { decodeOwnerRecord, encodeJson, ownerRecordName } from "../src/ownerRecord.ts";
import { Cell } from "./support/cell.ts";
import type { FakeWorker } from "./support/fakeWorkers.ts";
import { takeLeasesOnReceipt } from "./support/leasesOnReceipt.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const LASTING = "00a1.0.0.0";

describe("leases of previous owners on a worker that is lost after its first report", () => {
    let cell: Cell;
    let worker: FakeWorker;

    beforeEach(() => {
        cell = new Cell();
        cell.leaseMilliseconds = 10_000;
        takeLeasesOnReceipt(cell.workers);
        worker = cell.workers.add("w1");
        worker.taskDurationMilliseconds = undefined;
    });

    afterEach(() => cell.dispose());

    async function startLastingTask(): Promise<void> {
        const owner = await cell.claim("one");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ lasting: true })] }));
        await cell.advanceTime(2_000);
        cell.workers.add("w2").taskDurationMilliseconds = undefined;
        cell.listWorkers();
    }

    /** Replaces the owner record by one of an earlier version. */
    async function stateNoTerms(): Promise<void> {
        const { record, version } = decodeOwnerRecord(cell.store.read(ownerRecordName)!)._unsafeUnwrap();
        const { node, incarnation, epoch, renewals } = record;
        await cell.store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: version }],
            writes: [{ ...ownerRecordName, value: encodeJson({ node, incarnation, epoch, renewals: renewals + 1 }) }],
            removals: [],
        });
    }

    async function expectExpiredAtSecondStart(): Promise<void> {
        await cell.advanceUntil(() => cell.startsOf(LASTING).length > 1, 25_000);
        expect(cell.startsOf(LASTING).map(start => start.worker)).to.deep.equal(["w1", "w2"]);
        worker.tick();
        expect([...worker.running.keys()], "still running on w1 at the second start").to.deep.equal([]);
    }

    // Guards against TWICE: the owner may not extend the lease of a listed worker, and takes it for expired.
    it("are waited for if the record lists the worker, which has got no lease from the new owner", async () => {
        await startLastingTask();
        worker.isReachable = false;
        await cell.advanceTime(1_200);
        const second = await cell.claim("two");
        worker.isReachable = true;
        // The store confirms no record without the worker before it is lost again.
        await cell.advanceUntil(
            () => JSON.stringify(second.describe()).includes('"id":"w1","listed":true,"reachable":true'),
            1_000,
        );
        worker.isReachable = false;
        await expectExpiredAtSecondStart();
    });

    // Guards against TWICE: workers keep the 10 s that an owner of an earlier version has granted.
    it("are waited for if they are longer than those of the new owner", async () => {
        await startLastingTask();
        await stateNoTerms();
        // As granted by an owner of an earlier version.
        worker.requestReport({
            fencingToken: 1,
            acknowledgedEnd: 0,
            leaseUntil: worker.clock + 10_000,
            waitMilliseconds: 0,
        });
        await cell.claim("two");
        await cell.advanceTime(300);
        worker.isReachable = false;
        await expectExpiredAtSecondStart();
    });

    // Guards against TWICE: the leases of an owner of 400 workers last 1 s longer than the first ones of its successor.
    it("are waited for if the previous owner had granted longer ones for the size of the fleet", async () => {
        for (let index = 0; index < 400; index++) {
            cell.workers.add(`x${index}`, { service: "other" });
        }
        await startLastingTask();
        // The previous owner renews the lease right before its successor takes the cell.
        let leaseEnd = 0;
        const requestReport = cell.workers.requestReport;
        cell.workers.requestReport = (target, request) => {
            leaseEnd = target.id === "w1" ? Math.max(leaseEnd, request.leaseUntil ?? 0) : leaseEnd;
            return requestReport(target, request);
        };
        await cell.advanceUntil(() => leaseEnd - worker.clock > 5_970, 10_000);
        expect(leaseEnd - worker.clock).to.be.above(5_970);
        await cell.claim("two");
        await cell.advanceTime(100);
        worker.isReachable = false;
        await expectExpiredAtSecondStart();
    });
});
