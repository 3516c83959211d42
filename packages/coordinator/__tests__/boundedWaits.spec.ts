/**
 * Work that could run beside a service that is at most half used. The tests guard against LOST: nothing of a job runs
 * for seconds although workers that may run it have room.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { sleep } from "@tanagerlink/timers";
import { EndKind, type JobSpecification } from "@tanagerlink/workflow";
import { expect } from "chai";
import { err } from "neverthrow";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import type { FakeWorker } from "./support/fakeWorkers.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

/** Longest wait that a job may have beside workers with room. */
const MAXIMUM_WAIT_MILLISECONDS = 2_000;

const hinted = { queue: "hinted", hinted: true };

const gang = sampleStep({ count: 2, gang: true, maximumPerWorker: 1 });
const suspects: readonly [string, Partial<JobSpecification>][] = [
    ["a suspect", {}],
    ["a suspect with hints", hinted],
    ["a suspected gang", { steps: [gang] }],
    ["a suspected gang with hints", { ...hinted, steps: [gang] }],
];

describe("the wait of a task that could run", () => {
    let cell: Cell;
    let owner: Coordinator;

    beforeEach(() => {
        cell = new Cell();
    });

    afterEach(() => cell.dispose());

    async function claimWith(workers: number, cores: number): Promise<void> {
        for (let index = 1; index <= workers; index++) {
            const capacity = { processorMillis: cores * 1_000, memoryMebibytes: 100_000, accelerators: 0 };
            cell.workers.add(`w${index}`, { capacity });
        }
        owner = await cell.claim("one");
    }

    function worker(id: string): FakeWorker {
        return cell.workers.workers.get(id)!;
    }

    function cores(count: number): ReturnType<typeof sampleStep>["size"] {
        return { processorMillis: count * 1_000, memoryMebibytes: 100, accelerators: 0 };
    }

    /** Runs the cell until a task has been started a number of times, and returns how long that took. */
    async function timeUntilStart(task: string, starts = 1): Promise<number> {
        let waited = 0;
        while (cell.startsOf(task).length < starts && waited < 30_000) {
            await cell.advanceTime(10);
            waited += 10;
        }
        return waited;
    }

    function delayHintCalls(milliseconds: number): void {
        const respond = cell.requestHints;
        cell.requestHints = async call => {
            await sleep(cell.timers, milliseconds);
            return respond(call);
        };
    }

    /** Starts a task on each worker every 100 ms until the condition holds, and returns how long that took. */
    async function streamUntil(isReached: () => boolean, count = 4): Promise<number> {
        let waited = 0;
        for (let index = 0; !isReached() && waited < 10_000; index++) {
            const steps = [sampleStep({ count, maximumPerWorker: 1 })];
            await cell.submit(owner, sampleJob((0x1000 + index).toString(16), { steps }));
            await cell.advanceTime(100);
            waited += 100;
        }
        return waited;
    }

    /** Lets two tasks fail on a worker, which is then quarantined. */
    async function quarantine(id: string, job: string): Promise<void> {
        const target = worker(id);
        target.endKind = EndKind.Failed;
        cell.isAllowed = candidate => candidate === id;
        await cell.submit(owner, sampleJob(job, { ...hinted, steps: [sampleStep({ count: 2 })], maximumAttempts: 1 }));
        await cell.advanceTime(500);
        target.endKind = EndKind.Done;
    }

    // Guards against LOST: a trial without a response on a dark worker kept all other suspects waiting for its lease.
    it("is short for a suspect while the trial of another has got no response from a dark worker", async () => {
        cell.policy = {
            ...cell.policy,
            queues: new Map([["patient", { ...cell.policy.queues.get("urgent")!, priority: 1 }]]),
        };
        await claimWith(3, 4);
        cell.workers.workers.forEach(each => each.taskDurationMilliseconds = undefined);
        const lasting = sampleStep({ count: 3, maximumPerWorker: 1, lasting: true, size: cores(2) });
        await cell.submit(owner, sampleJob("00f1", { queue: "patient", priority: 1, steps: [lasting] }));
        await cell.advanceTime(1_000);
        const ids = ["00a1", "00a2"];
        for (const id of ids) {
            await cell.submit(owner, sampleJob(id, { queue: "patient", priority: 1 }));
        }
        await cell.advanceTime(100);
        const crashed = cell.startsOf("00a1.0.0.0")[0]!.worker;
        expect(cell.startsOf("00a2.0.0.0")[0]!.worker).to.equal(crashed);
        const others = [...cell.workers.workers.values()].filter(({ entry }) => entry.id !== crashed);
        let isDark = false;
        for (const other of others) {
            const start = other.start.bind(other);
            other.start = order => {
                if (isDark) {
                    return start(order);
                }
                isDark = true;
                other.isReachable = false;
                return { kind: "unanswered" };
            };
        }
        worker(crashed).crash(10, true);
        await cell.advanceTime(MAXIMUM_WAIT_MILLISECONDS + 200);
        const restarted = ids.filter(id => cell.startsOf(`${id}.0.0.0`).length === 2);
        expect([isDark, restarted.length]).to.deep.equal([true, 1]);
    });

    // Guards against LOST: the only worker that the hints allowed was in quarantine for 3 s to 24 s.
    it("is short if the only allowed worker is in quarantine", async () => {
        await claimWith(6, 16);
        await quarantine("w1", "00a1");
        await cell.submit(owner, sampleJob("00d1", hinted));
        expect(await timeUntilStart("00d1.0.0.0")).to.be.at.most(MAXIMUM_WAIT_MILLISECONDS);
    });

    // Guards against LOST as above, and against BUDGET: the last attempt must not follow a failure at once.
    it("is short, but not shorter than a second, for a task that has failed on the quarantined worker", async () => {
        await claimWith(6, 16);
        worker("w1").endKind = EndKind.Failed;
        cell.isAllowed = candidate => candidate === "w1";
        await cell.submit(owner, sampleJob("00a1", { ...hinted, steps: [sampleStep({ count: 2 })] }));
        await cell.advanceTime(350);
        worker("w1").endKind = EndKind.Done;
        expect(await timeUntilStart("00a1.0.0.0", 2)).to.be.within(1_000, MAXIMUM_WAIT_MILLISECONDS);
    });

    // Guards against a broken worker that takes all tasks of a step, each of which has two attempts only.
    it("does not send more than one task of a step at a time to a quarantined worker", async () => {
        await claimWith(6, 16);
        await quarantine("w1", "00a1");
        worker("w1").taskDurationMilliseconds = 600;
        await cell.submit(owner, sampleJob("00d1", { ...hinted, steps: [sampleStep({ count: 8 })] }));
        await cell.advanceTime(MAXIMUM_WAIT_MILLISECONDS);
        expect(cell.workers.starts.filter(({ task }) => task.startsWith("00d1")).length).to.be.within(1, 2);
    });

    // Guards what quarantines are for: tasks with other workers stay away from a worker that fails all of them.
    it("does not lead to a quarantined worker while others have room", async () => {
        await claimWith(6, 16);
        await quarantine("w1", "00a1");
        cell.isAllowed = candidate => candidate === "w1" || candidate === "w2";
        const before = cell.workers.starts.length;
        for (let index = 0; index < 10; index++) {
            await cell.submit(owner, sampleJob(`0${index}d1`, { ...hinted, steps: [sampleStep({ count: 4 })] }));
            await cell.advanceTime(200);
        }
        expect(new Set(cell.workers.starts.slice(before).map(each => each.worker))).to.deep.equal(new Set(["w2"]));
    });

    // Guards against LOST: the step had tickets for the workers, but their room was held for a slow hint call.
    it("is short if others hold the room on the workers for which it has tickets", async () => {
        await claimWith(4, 4);
        worker("w4").entry = { ...worker("w4").entry, labels: [] };
        cell.listWorkers();
        const respond = cell.requestHints;
        cell.requestHints = call => call.step.startsWith("00a1") ? new Promise(() => undefined) : respond(call);
        const holder = sampleStep({ count: 12, requiredLabel: "a" });
        await cell.submit(owner, sampleJob("00a1", { ...hinted, steps: [holder] }));
        await cell.advanceTime(100);
        cell.isAllowed = id => id !== "w4";
        await cell.submit(owner, sampleJob("00d1", hinted));
        expect(await timeUntilStart("00d1.0.0.0")).to.be.at.most(MAXIMUM_WAIT_MILLISECONDS);
    });

    // Guards against LOST: room stayed held for a step whose hint calls failed again and again.
    it("is short if others hold the room and their hint calls fail", async () => {
        await claimWith(4, 4);
        const respond = cell.requestHints;
        cell.requestHints = async call => {
            await sleep(cell.timers, 600);
            return call.step.startsWith("00a1")
                ? err(serviceError(ErrorKind.TargetUnreachable, "no response"))
                : respond(call);
        };
        await cell.submit(owner, sampleJob("00a1", { ...hinted, steps: [sampleStep({ count: 20 })] }));
        await cell.advanceTime(100);
        await cell.submit(owner, sampleJob("00d1", hinted));
        expect(await timeUntilStart("00d1.0.0.0")).to.be.at.most(MAXIMUM_WAIT_MILLISECONDS);
    });

    // Guards against LOST: attempts on lost workers counted as use, so that held room was left alone for their leases.
    it("is short beside held room while most workers are lost", async () => {
        await claimWith(4, 4);
        cell.workers.workers.forEach(each => each.taskDurationMilliseconds = undefined);
        const lasting = sampleStep({ count: 3, maximumPerWorker: 1, lasting: true, size: cores(4) });
        await cell.submit(owner, sampleJob("00f1", { steps: [lasting] }));
        await cell.advanceTime(1_000);
        for (const { worker: id } of cell.workers.starts) {
            worker(id).isReachable = false;
        }
        await cell.advanceTime(100);
        cell.areHintsSilent = true;
        await cell.submit(owner, sampleJob("00a1", { ...hinted, steps: [sampleStep({ count: 20 })] }));
        await cell.advanceTime(100);
        await cell.submit(owner, sampleJob("00d1"));
        expect(await timeUntilStart("00d1.0.0.0")).to.be.at.most(MAXIMUM_WAIT_MILLISECONDS);
    });

    // Guards against LOST, which holds for lasting tasks in a full service too: they waited for a gang that found no room.
    it("is shorter than 3 s for a lasting task beside workers of a busy service that are reserved for a gang", async () => {
        await claimWith(4, 16);
        cell.workers.workers.forEach(each => each.taskDurationMilliseconds = 400_000);
        const long = sampleStep({ count: 4, maximumPerWorker: 1, size: cores(9), estimateMilliseconds: 500 });
        await cell.submit(owner, sampleJob("00f1", { steps: [long] }));
        await cell.submit(owner, sampleJob("00b1", { steps: [sampleStep({ count: 4, size: cores(14), gang: true })] }));
        await cell.advanceTime(4_000);
        await cell.submit(owner, sampleJob("00d1", { steps: [sampleStep({ lasting: true })] }));
        expect(await timeUntilStart("00d1.0.0.0")).to.be.below(3_000);
    });

    // Guards against LOST: the end of the longest wait was noticed up to a second late.
    it("ends in time although events postpone the next check of the step", async () => {
        await claimWith(2, 4);
        cell.areHintsSilent = true;
        await cell.submit(owner, sampleJob("00a1", { ...hinted, steps: [sampleStep({ count: 20 })] }));
        await cell.advanceTime(100);
        await cell.submit(owner, sampleJob("00d1"));
        await cell.advanceTime(900);
        cell.policy = { ...cell.policy, version: 2 };
        owner.setPolicy(cell.policy);
        expect(await timeUntilStart("00d1.0.0.0")).to.be.at.most(MAXIMUM_WAIT_MILLISECONDS - 900);
    });

    // Guards against LOST: a suspect found no worker on which nothing had been started for 300 ms.
    for (const [name, overrides] of suspects) {
        it(`is short for ${name} beside a stream of starts`, async () => {
            await claimWith(4, 16);
            delayHintCalls(400);
            cell.isAllowed = id => id === "w1" || id === "w2";
            await cell.submit(owner, sampleJob("00e1", overrides));
            await timeUntilStart("00e1.0.0.0");
            worker(cell.startsOf("00e1.0.0.0")[0]!.worker).crash(10);
            expect(await streamUntil(() => cell.startsOf("00e1.0.0.0").length === 2)).to.be.at.most(
                MAXIMUM_WAIT_MILLISECONDS,
            );
        });
    }

    // Guards against LOST: suspects of many jobs must not wait for each other's trials for long, nor keep other work.
    it("is short for the suspects of many jobs, and for other work, beside a stream of starts", async () => {
        await claimWith(9, 16);
        delayHintCalls(200);
        const ids = Array.from({ length: 6 }, (_, index) => `00e${index}`);
        cell.isAllowed = id => id === "w1";
        for (const id of ids) {
            await cell.submit(owner, sampleJob(id, hinted));
        }
        await Promise.all(ids.map(id => timeUntilStart(`${id}.0.0.0`)));
        cell.isAllowed = id => ["w1", "w2", "w3"].includes(id);
        worker("w1").crash(10);
        const waited = await streamUntil(() => ids.every(id => cell.startsOf(`${id}.0.0.0`).length === 2), 9);
        expect(waited).to.be.at.most(2 * MAXIMUM_WAIT_MILLISECONDS);
        const firstTasks = cell.workers.starts.filter(({ task }) => /^1.*[.]0[.]0[.]0$/u.test(task));
        expect(firstTasks.length * 100).to.be.at.least(waited - 100);
    });
});
