import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { CommitFault, MemoryRecordStore } from "@tanagerlink/platform";
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import { err, type Result } from "neverthrow";
import type { QueueDefinition } from "../src/cellConfiguration.ts";
import { CellEntry, type JobRequest } from "../src/cellEntry.ts";

/** Callers wait three seconds; a machine that cannot serve them must tell them in less than half of it. */
const LATEST_REFUSAL_MILLISECONDS = 1_500;

const queue: QueueDefinition = {
    name: "urgent",
    host: "queues.example",
    pathPrefix: "/urgent/",
    open: false,
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

describe("service to callers without an owner", () => {
    let store: MemoryRecordStore;
    let timers: ManualTimers;
    let entry: CellEntry;
    let lost = false;
    let answers: boolean;

    beforeEach(() => {
        lost = false;
        answers = false;
        store = new MemoryRecordStore();
        timers = new ManualTimers();
        entry = new CellEntry({
            store,
            storeLost: () => lost,
            storeAnswers: () => answers,
            timers,
            logger: silentLogger,
            peers: { call: () => Promise.resolve(err(serviceError(ErrorKind.PeerUnreachable, "none"))) },
            configuration: () => undefined,
            coordinator: () => undefined,
            owner: () => undefined,
        });
    });

    async function submit(): Promise<{ readonly result: Result<void, ServiceError>; readonly milliseconds: number; }> {
        let answered: Result<void, ServiceError> | undefined;
        void entry.submit(queue, "red", job).then(result => answered = result);
        for (;;) {
            await timers.advance(10);
            if (answered !== undefined) {
                return { result: answered, milliseconds: timers.now() };
            }
        }
    }

    it("accepts a job whose write was carried out although its answer was lost", async () => {
        store.fault = CommitFault.AnswerLost;
        const running = submit();
        store.fault = CommitFault.None;
        expect((await running).result.isOk()).to.equal(true);
        expect((await entry.state("00a1"))._unsafeUnwrap()).to.equal(JobState.Queued);
    });

    it("says that a job was not accepted only if that is certain", async () => {
        store.fault = CommitFault.Unavailable;
        const { result, milliseconds } = await submit();
        expect(result._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect(milliseconds).to.be.at.most(LATEST_REFUSAL_MILLISECONDS);
    });

    it("does not hold a caller to its deadline while the outcome of a write is not known", async () => {
        store.fault = CommitFault.Late;
        const { result, milliseconds } = await submit();
        expect(result._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreOutcomeUnknown);
        expect(milliseconds).to.be.at.most(LATEST_REFUSAL_MILLISECONDS);
        store.fault = CommitFault.None;
        store.deliverLate();
        expect((await submit()).result.isOk()).to.equal(true);
    });

    it("goes on settling a write while the store answers other calls, within the callers' three seconds", async () => {
        answers = true;
        store.fault = CommitFault.Late;
        timers.after(2_000, () => {
            store.fault = CommitFault.None;
            store.deliverLate();
        });
        const { result, milliseconds } = await submit();
        expect(result.isOk()).to.equal(true);
        expect(milliseconds).to.be.within(2_000, 2_700);
    });

    it("refuses at once, and truly, while the store is known to be lost", async () => {
        lost = true;
        const { result, milliseconds } = await submit();
        expect(result._unsafeUnwrapErr().kind).to.equal(ErrorKind.StoreUnavailable);
        expect(milliseconds).to.be.at.most(10);
        lost = false;
        expect((await entry.state("00a1"))._unsafeUnwrapErr().kind).to.equal(ErrorKind.JobNotFound);
    });

    it("keeps a cancellation for the next owner", async () => {
        await submit();
        expect((await entry.cancel("00a1")).isOk()).to.equal(true);
        expect((await entry.state("00a1"))._unsafeUnwrap()).to.equal(JobState.Cancelled);
        expect((await entry.cancel("00b2"))._unsafeUnwrapErr().kind).to.equal(ErrorKind.JobNotFound);
    });
});
