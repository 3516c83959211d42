import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { err, type Result } from "neverthrow";
import type { QueueDefinition } from "../src/cellConfiguration.ts";
import { CellEntry, type JobRequest } from "../src/cellEntry.ts";

/** Callers time out after three seconds; a process that cannot serve them must refuse in less than half of that. */
const MAXIMUM_REFUSAL_MILLISECONDS = 1_500;

const queue: QueueDefinition = {
    name: "urgent",
    host: "queues.example",
    pathPrefix: "/urgent/",
    isPublic: false,
    service: "records",
    priority: 0,
    maximumAttempts: 2,
    hinted: false,
    hintMilliseconds: 0,
    hintValidityMilliseconds: 2_000,
};

const job: JobRequest = {
    id: "00a1",
    payload: "",
    steps: [{
        count: 1,
        size: { processorMillis: 1, memoryMebibytes: 0, accelerators: 0 },
        estimateMilliseconds: 0,
        after: [],
        checkpoints: false,
        gang: false,
        sameRack: false,
        speculative: false,
        lasting: false,
        fills: false,
    }],
};

/**
 * Without an owner, each process accepts jobs by its own writes to the store. Guards against refusing a job that was
 * stored, accepting one that was not, and keeping callers waiting beyond their time limit.
 */
describe("service to callers without an owner", () => {
    let store: MemoryRecordStore;
    let timers: ManualTimers;
    let entry: CellEntry;
    let isStoreLost = false;
    let isStoreResponding: boolean;

    beforeEach(() => {
        isStoreLost = false;
        isStoreResponding = false;
        store = new MemoryRecordStore();
        timers = new ManualTimers();
        entry = new CellEntry({
            store,
            isStoreLost: () => isStoreLost,
            isStoreResponding: () => isStoreResponding,
            timers,
            logger: silentLogger,
            peers: { call: () => Promise.resolve(err(serviceError(ErrorKind.PeerUnreachable, "none"))) },
            configuration: () => undefined,
            coordinator: () => undefined,
            owner: () => undefined,
        });
    });

    async function submit(): Promise<{ readonly result: Result<void, ServiceError>; readonly milliseconds: number; }> {
        let response: Result<void, ServiceError> | undefined;
        void entry.submit(queue, "red", job).then(result => response = result);
        for (;;) {
            await timers.advance(10);
            if (response !== undefined) {
                return { result: response, milliseconds: timers.now() };
            }
        }
    }

    it("accepts a job whose write was carried out but whose response was lost", async () => {
        store.fault = CommitFault.ResponseLost;
        const running = submit();
        store.fault = CommitFault.None;
        expect((await running).result.isOk()).to.equal(true);
        expect((await entry.jobState("00a1"))._unsafeUnwrap()).to.equal(JobState.Queued);
    });

    it("reports a job as not accepted only if the write was certainly not carried out", async () => {
        store.fault = CommitFault.Unavailable;
        const { result, milliseconds } = await submit();
        expect(result._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect(milliseconds).to.be.at.most(MAXIMUM_REFUSAL_MILLISECONDS);
    });

    it("refuses before the caller's time limit while the outcome of a write is unknown", async () => {
        store.fault = CommitFault.Delayed;
        const { result, milliseconds } = await submit();
        expect(result._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
        expect(milliseconds).to.be.at.most(MAXIMUM_REFUSAL_MILLISECONDS);
        store.fault = CommitFault.None;
        store.executeDelayedCommits();
        expect((await submit()).result.isOk()).to.equal(true);
    });

    it("continues to retry a write with unknown outcome while the store responds, within the callers' three seconds", async () => {
        isStoreResponding = true;
        store.fault = CommitFault.Delayed;
        timers.after(2_000, () => {
            store.fault = CommitFault.None;
            store.executeDelayedCommits();
        });
        const { result, milliseconds } = await submit();
        expect(result.isOk()).to.equal(true);
        expect(milliseconds).to.be.within(2_000, 2_700);
    });

    it("refuses at once, without writing, while the store is known to be lost", async () => {
        isStoreLost = true;
        const { result, milliseconds } = await submit();
        expect(result._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect(milliseconds).to.be.at.most(10);
        isStoreLost = false;
        expect((await entry.jobState("00a1"))._unsafeUnwrapErr().kind).to.equal(ErrorKind.JobNotFound);
    });

    // Guards against LOST: a job was accepted whose record every owner skips as invalid.
    it("refuses a job that the owner could not read, and accepts one with very many occurrences", async () => {
        const [step] = job.steps;
        const recurrence = { times: 50_000, firstAt: 0, intervalMilliseconds: 1 };
        const invalidJobs: JobRequest[] = [
            { ...job, steps: Array.from({ length: 201 }, () => step!) },
            { ...job, recurrence: { ...recurrence, intervalMilliseconds: -1 } },
        ];
        for (const invalid of invalidJobs) {
            const refused = await entry.submit(queue, "red", invalid);
            expect(refused._unsafeUnwrapErr().kind).to.equal(ErrorKind.InvalidRequest);
        }
        expect((await entry.submit(queue, "red", { ...job, recurrence })).isOk()).to.equal(true);
    });

    it("reports at once that the store refuses a job", async () => {
        store.commit = () => Promise.resolve(err(serviceError(ErrorKind.StoreRefused, "too large")));
        const { result, milliseconds } = await submit();
        expect(result._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreRefused);
        expect(milliseconds).to.be.at.most(10);
    });

    it("keeps a cancellation for the next owner", async () => {
        await submit();
        expect((await entry.cancel("00a1")).isOk()).to.equal(true);
        expect((await entry.jobState("00a1"))._unsafeUnwrap()).to.equal(JobState.Cancelled);
        expect((await entry.cancel("00b2"))._unsafeUnwrapErr().kind).to.equal(ErrorKind.JobNotFound);
    });
});
