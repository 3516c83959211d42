/** Why a worker gets no new tasks. Guards against a diagnosis that differs from what placement goes by. */
import { silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { Attempt, JobRun } from "@tanagerlink/workflow";
import { expect } from "chai";
import { nextEpoch } from "../src/fencingTokens.ts";
import type { SessionOwner } from "../src/sessionOwner.ts";
import { WorkerExclusion } from "../src/workerExclusion.ts";
import { WorkerSession } from "../src/workerSession.ts";
import { type FakeWorker, FakeWorkers } from "./support/fakeWorkers.ts";
import { sampleJob } from "./support/samples.ts";

describe("exclusion of a worker", () => {
    let timers: ManualTimers;
    let worker: FakeWorker;
    let session: WorkerSession;

    beforeEach(() => {
        timers = new ManualTimers();
        const port = new FakeWorkers(timers);
        worker = port.add("w1");
        const owner: Partial<SessionOwner> = {
            epoch: nextEpoch(),
            workerCount: () => 1,
            leaseMilliseconds: 6_000,
            canExtendLease: () => true,
            previousLeasesExpireAt: () => Infinity,
            listedLeaseExpiresAt: () => -Infinity,
            isLongerLeaseStored: () => false,
            mayHaveMissedStart: () => false,
            onReport: () => undefined,
            onUnexpectedAttempt: () => undefined,
            onEntryChanged: () => undefined,
        };
        session = new WorkerSession({
            entry: worker.entry,
            owner: owner as SessionOwner,
            port,
            timers,
            logger: silentLogger,
            stopMilliseconds: 200,
            maximumLeaseMilliseconds: 10_000,
            workerEntryMilliseconds: 4_000,
        });
    });

    afterEach(() => session.close());

    async function connect(): Promise<void> {
        session.startPolling();
        await timers.advance(100);
        expect(session.exclusion(timers.now())).to.equal(undefined);
    }

    function addAttempt(isTrial: boolean): void {
        const [step] = new JobRun(sampleJob("00a1"), 0, 0).readySteps(0);
        const attempt = new Attempt(step!.tasks[0]!, 1, "w1", 1, timers.now());
        attempt.isTrial = isTrial;
        session.addAttempt(attempt);
    }

    const arrangements: Partial<Record<WorkerExclusion, () => void | Promise<void>>> = {
        [WorkerExclusion.Unlisted]: () => void (session.isListed = false),
        [WorkerExclusion.EntryNotCurrent]: async () => {
            session.updateEntry(worker.entry, timers.now());
            await timers.advance(4_100);
        },
        [WorkerExclusion.UnexpectedAttempts]: async () => {
            worker.taskDurationMilliseconds = undefined;
            const leaseUntil = worker.clock + 60_000;
            const order = { fencingToken: 1, task: "other", attempt: 1, payload: "", leaseUntil, checkpoint: "" };
            worker.executeStart({ ...order, ticket: undefined });
            addAttempt(false);
            session.stop([...session.liveAttempts][0]!);
            await timers.advance(300);
        },
        [WorkerExclusion.Unreachable]: async () => {
            addAttempt(false);
            worker.isReachable = false;
            session.stop([...session.liveAttempts][0]!);
            await timers.advance(300);
        },
        [WorkerExclusion.Leaving]: () => session.updateEntry({ ...worker.entry, leaving: true }),
        [WorkerExclusion.Quarantined]: () => session.health.quarantine(timers.now()),
        [WorkerExclusion.Paused]: () => session.health.recordRefusal(timers.now()),
        [WorkerExclusion.OnTrial]: () => addAttempt(true),
    };

    // Guards against a line that names another cause than the one for which the worker gets no tasks.
    for (const [exclusion, arrange] of Object.entries(arrangements)) {
        it(`says ${exclusion}, and the worker accepts no tasks`, async () => {
            await connect();
            await arrange();
            expect(session.exclusion(timers.now())).to.equal(exclusion);
            expect(session.canAcceptTasks(timers.now())).to.equal(false);
        });
    }

    // Guards against tasks on a worker that may still take orders of the previous owner.
    it("says not_fenced before the first answer", () => {
        expect(session.exclusion(timers.now())).to.equal(WorkerExclusion.NotFenced);
        expect(session.canAcceptTasks(timers.now())).to.equal(false);
    });
});
