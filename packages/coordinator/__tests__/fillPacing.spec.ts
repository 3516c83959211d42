import { ManualTimers } from "@tanagerlink/timers";
import { Attempt, AttemptStatus, JobRun } from "@tanagerlink/workflow";
import { expect } from "chai";
import { FillPacing } from "../src/fillPacing.ts";
import type { WorkerSession } from "../src/workerSession.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

/** Longest time for which a bound may be broken on the users' platform. */
const IMPACT_MILLISECONDS = 4_000;
const TARGET_MILLISECONDS = 100;

/** A worker with one task that serves users and one that fills. */
class SharedWorker {
    readonly timers = new ManualTimers();
    readonly pacing = new FillPacing(this.timers);
    readonly serving = running(sampleJob("00a1", {
        steps: [sampleStep({ lasting: true, targetMilliseconds: TARGET_MILLISECONDS })],
    }));
    readonly fill = running(sampleJob("00b2", { steps: [sampleStep({ fills: true })] }));
    attempts: Attempt[] = [this.serving, this.fill];

    /** One report with the given tail latency. */
    async report(load: number): Promise<number> {
        this.serving.load = load;
        const session = {
            liveAttempts: this.attempts.values(),
            setPace: (attempt: Attempt, percent: number) => {
                attempt.pace = percent;
                return Promise.resolve();
            },
        } as unknown as WorkerSession;
        this.pacing.adjust(this.key(session));
        await this.timers.advance(1_000);
        return this.fill.pace;
    }

    private session: WorkerSession | undefined;

    /** The same object for all reports, as the state is kept by session. */
    private key(session: WorkerSession): WorkerSession {
        this.session = Object.assign(this.session ?? session, session);
        return this.session;
    }
}

function running(job: ReturnType<typeof sampleJob>): Attempt {
    const task = new JobRun(job, 0, 0).task(0, 0, 0);
    if (task === undefined) {
        throw new Error("the job has no task");
    }
    const attempt = new Attempt(task, 1, "w1", 1, 0);
    attempt.status = AttemptStatus.Running;
    return attempt;
}

describe("pacing of tasks that fill", () => {
    it("halts them before a broken bound has lasted as long as it may", async () => {
        const worker = new SharedWorker();
        await worker.report(TARGET_MILLISECONDS * 2);
        expect(worker.timers.now()).to.be.below(IMPACT_MILLISECONDS);
        expect(worker.fill.pace).to.equal(0);
    });

    it("lowers them as the tail nears its bound and raises them in steps while there is room", async () => {
        const worker = new SharedWorker();
        const near = await worker.report(TARGET_MILLISECONDS * 0.9);
        expect(near).to.be.greaterThan(0).and.below(50);
        const first = await worker.report(10);
        const second = await worker.report(10);
        expect(first).to.be.greaterThan(near);
        expect(second).to.be.greaterThan(first).and.below(100);
    });

    it("lets them work in full where no task serves users", async () => {
        const worker = new SharedWorker();
        await worker.report(TARGET_MILLISECONDS * 2);
        worker.attempts = [worker.fill];
        expect(await worker.report(0)).to.equal(100);
    });
});
