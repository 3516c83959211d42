/**
 * Guards against best-effort tasks that keep the tail latency of a task on the same worker above its target, and
 * against best-effort tasks that stay throttled without need.
 */
import { ManualTimers } from "@tanagerlink/timers";
import { Attempt, AttemptStatus, JobRun } from "@tanagerlink/workflow";
import { expect } from "chai";
import { BestEffortPacing } from "../src/bestEffortPacing.ts";
import type { WorkerSession } from "../src/workerSession.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

/** Maximum time for which a tail latency may exceed its target. */
const MAXIMUM_TARGET_VIOLATION_MILLISECONDS = 4_000;
const LATENCY_TARGET_MILLISECONDS = 100;

/** A worker with one latency-sensitive and one best-effort task. */
class SharedWorker {
    readonly timers = new ManualTimers();
    readonly pacing = new BestEffortPacing(this.timers);
    readonly latencySensitive = createRunningAttempt(sampleJob("00a1", {
        steps: [sampleStep({ lasting: true, targetMilliseconds: LATENCY_TARGET_MILLISECONDS })],
    }));
    readonly bestEffort = createRunningAttempt(sampleJob("00b2", { steps: [sampleStep({ fills: true })] }));
    attempts: Attempt[] = [this.latencySensitive, this.bestEffort];

    /** Applies a report with the given tail latency. Returns the resulting pace of the best-effort task. */
    async report(load: number): Promise<number> {
        this.latencySensitive.load = load;
        const session = {
            liveAttempts: this.attempts.values(),
            setPace: (attempt: Attempt, percent: number) => {
                attempt.pace = percent;
                return Promise.resolve();
            },
        } as unknown as WorkerSession;
        this.pacing.adjust(this.reuseSession(session));
        await this.timers.advance(1_000);
        return this.bestEffort.pace;
    }

    private session: WorkerSession | undefined;

    /** Reuses one session object for all reports, since the pacing state is kept per session. */
    private reuseSession(session: WorkerSession): WorkerSession {
        this.session = Object.assign(this.session ?? session, session);
        return this.session;
    }
}

function createRunningAttempt(job: ReturnType<typeof sampleJob>): Attempt {
    const task = new JobRun(job, 0, 0).task(0, 0, 0);
    if (task === undefined) {
        throw new Error("the job has no task");
    }
    const attempt = new Attempt(task, 1, "w1", 1, 0);
    attempt.status = AttemptStatus.Running;
    return attempt;
}

describe("pacing of best-effort tasks", () => {
    it("halts them before a latency has exceeded its target for the permitted time", async () => {
        const worker = new SharedWorker();
        await worker.report(LATENCY_TARGET_MILLISECONDS * 2);
        expect(worker.timers.now()).to.be.below(MAXIMUM_TARGET_VIOLATION_MILLISECONDS);
        expect(worker.bestEffort.pace).to.equal(0);
    });

    it("lowers their pace as a latency approaches its target and raises it in steps while the latency is low", async () => {
        const worker = new SharedWorker();
        const near = await worker.report(LATENCY_TARGET_MILLISECONDS * 0.9);
        expect(near).to.be.greaterThan(0).and.below(50);
        const first = await worker.report(10);
        const second = await worker.report(10);
        expect(first).to.be.greaterThan(near);
        expect(second).to.be.greaterThan(first).and.below(100);
    });

    it("does not throttle them on a worker without latency-sensitive tasks", async () => {
        const worker = new SharedWorker();
        await worker.report(LATENCY_TARGET_MILLISECONDS * 2);
        worker.attempts = [worker.bestEffort];
        expect(await worker.report(0)).to.equal(100);
    });
});
