/**
 * Jobs with more tasks than fit into one row of the store. The tests guard against progress that cannot be stored, which
 * stops the whole cell, and against tasks that run again after a change of the owner.
 */
import { ErrorKind, serviceError } from "@tanagerlink/errors";
import { JobRun, JobState, progressRecordSchema, restoreProgress } from "@tanagerlink/workflow";
import { expect } from "chai";
import { err } from "neverthrow";
import type { Coordinator } from "../src/coordinator.ts";
import { PROGRESS_TABLE } from "../src/index.ts";
import { OWNER_PARTITION } from "../src/ownerRecord.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob, sampleStep } from "./support/samples.ts";

const DEFAULT_ROW_BYTES = 65_536;
const TINY = { processorMillis: 1, memoryMebibytes: 1, accelerators: 0 };

describe("large jobs", () => {
    let cell: Cell;
    let owner: Coordinator;
    let largestRow: number;

    beforeEach(async () => {
        cell = new Cell();
        largestRow = 0;
        for (const id of ["worker-one", "worker-two", "worker-three"]) {
            cell.workers.add(id).taskDurationMilliseconds = 100;
        }
        const commit = cell.store.commit.bind(cell.store);
        cell.store.commit = async transaction => {
            const sizes = transaction.writes.map(({ value }) => value.byteLength);
            largestRow = Math.max(largestRow, ...sizes);
            const entries = transaction.expectations.length + transaction.writes.length + transaction.removals.length;
            return sizes.some(size => size > (cell.rowBytes ?? DEFAULT_ROW_BYTES)) || entries > 100
                ? err(serviceError(ErrorKind.StoreRefused, "a row is too large, or there are too many"))
                : await commit(transaction);
        };
        owner = await cell.claim("one");
    });

    afterEach(() => cell.dispose());

    /** Tasks that were started more than once. */
    function repeatedTasks(): string[] {
        const names = cell.workers.starts.map(({ task }) => task);
        return names.filter((name, index) => names.indexOf(name) !== index);
    }

    async function completeThousandsOfTasks(rowBytes: number | undefined): Promise<void> {
        cell.rowBytes = rowBytes;
        owner[Symbol.dispose]();
        owner = await cell.claim("one again");
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ count: 4_000, size: TINY })] }));
        for (const id of ["worker-four", "worker-five"]) {
            cell.workers.add(id, {
                capacity: { processorMillis: 100, memoryMebibytes: 100, accelerators: 0 },
            }).taskDurationMilliseconds = 100;
        }
        cell.listWorkers();
        for (const [index, node] of ["two", "three", "four", "five"].entries()) {
            await cell.advanceTime(30 + 20 * index);
            owner[Symbol.dispose]();
            owner = await cell.claim(node);
        }
        await cell.advanceTime(6_000);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        expect(repeatedTasks()).to.deep.equal([]);
        expect(cell.workers.starts).to.have.length(4_000);
        expect(largestRow).to.be.below(rowBytes ?? DEFAULT_ROW_BYTES);
    }

    // Guards against LOST: the progress of one recurring job outgrew its row, and nothing was started any more.
    it("complete, and let others start, when they recur many times", async () => {
        const steps = [0, 1, 2].map(index =>
            sampleStep({ count: 60, size: TINY, after: index === 0 ? [] : [index - 1] })
        );
        const firstAt = cell.timers.wallClock();
        const recurrence = { times: 40, firstAt, intervalMilliseconds: 500 };
        await cell.submit(owner, sampleJob("00a1", { steps, recurrence }));
        await cell.advanceTime(22_000);
        await cell.submit(owner, sampleJob("00b1"));
        await cell.advanceTime(2_000);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        expect(owner.jobState("00b1")).to.equal(JobState.Completed);
        expect(cell.workers.starts).to.have.length(40 * 3 * 60 + 1);
        expect(largestRow).to.be.below(DEFAULT_ROW_BYTES);
    }).timeout(60_000);

    // Guards against TWICE: occurrences that are done and not recorded task by task run again under the next owner.
    it("do not rerun occurrences that were done under the previous owner", async () => {
        const steps = [sampleStep({ count: 3, size: TINY })];
        const firstAt = cell.timers.wallClock();
        const recurrence = { times: 10, firstAt, intervalMilliseconds: 400 };
        await cell.submit(owner, sampleJob("00a1", { steps, recurrence }));
        for (const node of ["two", "three", "four"]) {
            await cell.advanceTime(1_130);
            owner[Symbol.dispose]();
            owner = await cell.claim(node);
        }
        await cell.advanceTime(4_000);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        expect(repeatedTasks()).to.deep.equal([]);
        expect(cell.workers.starts).to.have.length(30);
    });

    // Guards against LOST and TWICE with the tasks of a single occurrence, in one row and in several.
    for (const rowBytes of [undefined, 16_384]) {
        it(`complete with thousands of tasks while owners are replaced, in rows of ${rowBytes ?? "the default size"}`, async () => {
            await completeThousandsOfTasks(rowBytes);
        }).timeout(60_000);
    }

    // Guards against TWICE: a kill between the transactions that hold the rows of one job.
    it("do not rerun tasks after the owner is killed between two writes of their rows", async () => {
        const steps = [sampleStep({ count: 3_000, size: TINY })];
        const firstAt = cell.timers.wallClock();
        await cell.submit(
            owner,
            sampleJob("00a1", { steps, recurrence: { times: 2, firstAt, intervalMilliseconds: 0 } }),
        );
        const commit = cell.store.commit.bind(cell.store);
        for (const [index, node] of ["two", "three", "four", "five", "six", "seven", "eight"].entries()) {
            let remaining = 3 + 2 * index;
            cell.store.commit = async transaction =>
                transaction.writes.length === 0 || remaining-- > 0
                    ? await commit(transaction)
                    : await new Promise(() => undefined);
            await cell.advanceTime(200);
            owner[Symbol.dispose]();
            cell.store.commit = commit;
            owner = await cell.claim(node);
        }
        await cell.advanceTime(10_000);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        expect(repeatedTasks()).to.deep.equal([]);
        expect(cell.workers.starts).to.have.length(6_000);
    }).timeout(60_000);

    // Guards against records that nobody removes.
    it("leave no rows beside the one with their final state", async () => {
        await cell.submit(owner, sampleJob("00a1", { steps: [sampleStep({ count: 2_000, size: TINY })] }));
        await cell.advanceTime(3_000);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        const segments = await cell.store.list({ table: "progress_segments", partition: OWNER_PARTITION });
        const heads = await cell.store.list({ table: PROGRESS_TABLE, partition: OWNER_PARTITION });
        expect(segments._unsafeUnwrap().records).to.deep.equal([]);
        expect(heads._unsafeUnwrap().records).to.have.length(1);
    });

    // Guards against LOST for all jobs: the refusal of one record was taken for an outage of the store.
    it("fail alone when the store refuses their progress", async () => {
        const commit = cell.store.commit.bind(cell.store);
        cell.store.commit = async transaction =>
            transaction.writes.some(({ key, value }) => key === "00a1" && Buffer.from(value).includes(JobState.Running))
                ? err(serviceError(ErrorKind.StoreRefused, "refused"))
                : await commit(transaction);
        const ids = ["00a0", "00a1", "00a2", "00a3"];
        await Promise.all(ids.map(id => cell.submit(owner, sampleJob(id))));
        await cell.advanceTime(3_000);
        expect(ids.filter(id => owner.jobState(id) === JobState.Completed)).to.deep.equal(["00a0", "00a2", "00a3"]);
        expect(owner.jobState("00a1")).to.equal(JobState.Failed);
        expect(cell.startsOf("00a1.0.0.0")).to.have.length(0);
    });

    // Guards against an owner that runs out of memory: all occurrences of a job were created at its acceptance.
    it("hold the tasks of open occurrences only", () => {
        const recurrence = { times: 1_000_000, firstAt: 0, intervalMilliseconds: 1 };
        const job = new JobRun(sampleJob("00a1", { steps: [sampleStep({ count: 400 })], recurrence }), 0, 0);
        expect(job.readySteps(2)).to.have.length(3);
        expect(job.readySteps(1_000_000)).to.have.length(25);
        expect([...job.tasks()]).to.have.length(10_000);
        [...job.tasks()].slice(0, 800).forEach(task => task.isDone = true);
        job.closeDoneOccurrences();
        expect(job.readySteps(1_000_000).map(({ occurrence }) => occurrence)).to.include.members([2, 25, 26]);
        expect([...job.tasks()]).to.have.length(10_000);
    });

    // Guards against TWICE after an upgrade: records of earlier versions list the tasks of all occurrences.
    it("continue from a record of an earlier version", () => {
        const recurrence = { times: 5, firstAt: 0, intervalMilliseconds: 1 };
        const job = new JobRun(sampleJob("00a1", { steps: [sampleStep({ count: 2 })], recurrence }), 0, 0);
        const done = [0, 2].flatMap(occurrence => [0, 1].map(index => [occurrence, index]));
        const record = progressRecordSchema.parse({
            state: JobState.Running,
            tasks: done.map(([occurrence, index]) => [occurrence, 0, index, 1, 1, 0, "", "", 0]),
        });
        expect(restoreProgress(job, record, 0)).to.deep.equal([]);
        job.closeDoneOccurrences();
        expect(job.readySteps(10).map(({ occurrence }) => occurrence)).to.deep.equal([1, 3, 4]);
    });
});
