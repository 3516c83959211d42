/**
 * Claims of suspects whose hint calls fail or last 600 ms. The tests guard against LOST: the claims end after 1.5 s each, but
 * take turns, so that other work that could run waits for as long as there are such suspects.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { sleep } from "@tanagerlink/timers";
import type { JobSpecification } from "@tanagerlink/workflow";
import { expect } from "chai";
import { err } from "neverthrow";
import type { Coordinator } from "../src/coordinator.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

/** Time after which the rule LOST is broken. */
const MAXIMUM_WAIT_MILLISECONDS = 3_000;
const OBSERVED_MILLISECONDS = 12_000;

const hinted = { queue: "hinted", hinted: true };

describe("the claims of suspects with hints", () => {
    let cell: Cell;
    let owner: Coordinator;

    beforeEach(async () => {
        cell = new Cell();
        const hintedQueue = cell.policy.queues.get("hinted")!;
        cell.policy = {
            ...cell.policy,
            queues: new Map([...cell.policy.queues, ["later", { ...hintedQueue, priority: 1 }]]),
        };
        for (let index = 1; index <= 4; index++) {
            const capacity = { processorMillis: 16_000, memoryMebibytes: 100_000, accelerators: 0 };
            cell.workers.add(`w${index}`, { capacity, labels: ["a", `w${index}`] });
        }
        owner = await cell.claim("one");
    });

    afterEach(() => cell.dispose());

    /** Lets all jobs start, crashes w1, and lets all later hint calls fail, or only last, 600 ms. */
    async function makeSuspects(jobs: readonly JobSpecification[], failing = true): Promise<void> {
        for (const job of jobs) {
            await cell.submit(owner, job);
        }
        await cell.advanceUntil(() => jobs.every(({ id }) => cell.startsOf(`${id}.0.0.0`).length === 1), 5_000);
        cell.workers.workers.get("w1")!.crash(10);
        const respond = cell.requestHints;
        cell.requestHints = async call => {
            await sleep(cell.timers, 600);
            return failing ? err(serviceError(ErrorKind.TargetUnreachable, "no response")) : respond(call);
        };
        await cell.advanceTime(failing ? 2_000 : 1_000);
    }

    async function timeUntilStart(task: string): Promise<number> {
        const before = cell.timers.now();
        await cell.advanceUntil(() => cell.startsOf(task).length === 1, OBSERVED_MILLISECONDS);
        return cell.timers.now() - before;
    }

    /** Makes suspects of jobs that the hints allow on w1 only. */
    async function makeSuspectsOnFirst(count: number, queue: string, priority: number, failing = true): Promise<void> {
        cell.isAllowed = id => id === "w1";
        const ids = Array.from({ length: count }, (_, index) => `0${index.toString(16)}a0`);
        await makeSuspects(ids.map(id => sampleJob(id, { ...hinted, queue, priority })), failing);
    }

    for (const [name, queue, priority] of [["their", "hinted", 0], ["a higher", "later", 1]] as const) {
        // Guards against LOST: one suspect after the other claims the only worker that the step may use.
        it(`do not keep a step of ${name} priority from its worker while hint calls fail`, async () => {
            await makeSuspectsOnFirst(6, queue, priority);
            await cell.submit(owner, sampleJob("00d1", { steps: [sampleStep({ requiredLabel: "w1" })] }));
            expect(await timeUntilStart("00d1.0.0.0")).to.be.below(MAXIMUM_WAIT_MILLISECONDS);
        });
    }

    // Guards against LOST: as above, but each claim lasts for a sound hint call and a trial.
    it("do not keep a step of their priority from its worker while hint calls take 600 ms", async () => {
        await makeSuspectsOnFirst(12, "hinted", 0, false);
        await cell.submit(owner, sampleJob("00d1", { steps: [sampleStep({ requiredLabel: "w1" })] }));
        expect(await timeUntilStart("00d1.0.0.0")).to.be.below(MAXIMUM_WAIT_MILLISECONDS);
    });

    // Guards against LOST: two suspected gangs claim all workers in turn, each as a single trial.
    it("do not keep other work from all workers", async () => {
        const gang = sampleStep({ count: 4, gang: true, maximumPerWorker: 1 });
        await makeSuspects(["00a1", "00a2"].map(id => sampleJob(id, { ...hinted, steps: [gang] })));
        await cell.submit(owner, sampleJob("00d1"));
        expect(await timeUntilStart("00d1.0.0.0")).to.be.below(MAXIMUM_WAIT_MILLISECONDS);
    });
});
