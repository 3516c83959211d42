/**
 * The records of a job lie in several partitions and cannot be removed together. The tests guard against jobs that run
 * again, or are taken for one another, after their removal was interrupted.
 */
import { CommitFault, type RecordName } from "@tanagerlink/platform";
import { sleep } from "@tanagerlink/timers";
import { JobState } from "@tanagerlink/workflow";
import { expect } from "chai";
import type { Coordinator } from "../src/coordinator.ts";
import { PROGRESS_TABLE } from "../src/index.ts";
import { CANCELLATIONS_TABLE, JOBS_TABLE, partitionOf } from "../src/jobTables.ts";
import { encodeJson, OWNER_PARTITION } from "../src/ownerRecord.ts";
import { Cell } from "./support/cell.ts";
import { sampleJob } from "./support/samples.ts";

const JOB_IDS = ["00a1", "00b1", "00c1", "00a2", "00b2"];
/** Beyond the retention of ended jobs. */
const EXPIRY_MILLISECONDS = 121_000;
const COMMIT_MILLISECONDS = 20;

describe("removal of expired jobs", () => {
    let cell: Cell;
    let owner: Coordinator;

    beforeEach(async () => {
        cell = new Cell();
        cell.workers.add("w1");
        owner = await cell.claim("one");
    });

    afterEach(() => cell.dispose());

    function progressName(id: string): RecordName {
        return { table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: id };
    }

    function jobName(id: string): RecordName {
        return { table: JOBS_TABLE, partition: partitionOf(id), key: id };
    }

    async function completeJobs(ids = JOB_IDS): Promise<void> {
        for (const id of ids) {
            await cell.submit(owner, sampleJob(id));
        }
        await cell.advanceTime(2_000);
        ids.forEach(id => expect(owner.jobState(id)).to.equal(JobState.Completed));
    }

    async function replaceOwner(): Promise<void> {
        owner[Symbol.dispose]();
        owner = await cell.claim("two");
        await cell.advanceTime(2_000);
    }

    // Guards against TWICE: progress was removed although the removal of the job record had failed for good.
    it("does not rerun completed jobs whose retention ended during an outage of the store", async () => {
        await completeJobs();
        await cell.timers.advance(EXPIRY_MILLISECONDS - 5_000);
        cell.store.fault = CommitFault.Unavailable;
        await cell.advanceTime(5_000);
        cell.store.fault = CommitFault.None;
        await cell.advanceTime(1_000);
        await replaceOwner();
        expect(cell.workers.starts).to.have.length(JOB_IDS.length);
    });

    // Guards against TWICE: an owner that is killed between two removals leaves a job record without progress.
    for (const commits of [0, 1, 2, 3, 4]) {
        it(`does not rerun completed jobs if the owner is killed after ${commits} commits of their removal`, async () => {
            await completeJobs();
            await cell.timers.advance(EXPIRY_MILLISECONDS - 5_000);
            const commit = cell.store.commit.bind(cell.store);
            let remaining = commits;
            cell.store.commit = async transaction => {
                await sleep(cell.timers, COMMIT_MILLISECONDS);
                return transaction.removals.length === 0 || remaining-- > 0
                    ? await commit(transaction)
                    : await new Promise(() => undefined);
            };
            await cell.advanceTime(5_000);
            cell.store.commit = commit;
            await replaceOwner();
            expect(cell.workers.starts).to.have.length(JOB_IDS.length);
        });
    }

    // Guards against TWICE: a removal that is executed late, or twice, after the next owner has taken over.
    for (const fault of [CommitFault.ResponseLost, CommitFault.Delayed, CommitFault.Repeated]) {
        it(`does not rerun completed jobs if their removal is interrupted by commit fault ${fault}`, async () => {
            await completeJobs();
            await cell.timers.advance(EXPIRY_MILLISECONDS - 5_000);
            cell.store.fault = fault;
            await cell.advanceTime(5_000);
            cell.store.fault = CommitFault.None;
            await replaceOwner();
            cell.store.executeDelayedCommits();
            await replaceOwner();
            expect(cell.workers.starts).to.have.length(JOB_IDS.length);
        });
    }

    // Guards against records that stay in the store for good.
    it("removes all records of expired jobs after faults of the store and a change of the owner", async () => {
        await completeJobs();
        await cell.timers.advance(EXPIRY_MILLISECONDS - 5_000);
        for (const fault of [CommitFault.ResponseLost, CommitFault.Delayed, CommitFault.Repeated, CommitFault.None]) {
            cell.store.fault = fault;
            await cell.advanceTime(3_000);
        }
        cell.store.executeDelayedCommits();
        await replaceOwner();
        await cell.timers.advance(EXPIRY_MILLISECONDS);
        await cell.advanceTime(2_000);
        for (const id of JOB_IDS) {
            expect(cell.store.read(jobName(id))).to.equal(undefined);
            expect(cell.store.read(progressName(id))).to.equal(undefined);
        }
    });

    // Guards against TWICE: a listing that was read before the removal shows the job as a new one.
    it("does not rerun a removed job that a late listing shows", async () => {
        const job = sampleJob("00a1");
        const version = await cell.storeJob(job);
        owner.accept(job, version);
        await cell.advanceTime(1_000);
        await cell.timers.advance(EXPIRY_MILLISECONDS);
        await cell.advanceTime(1_000);
        expect(cell.store.read(jobName("00a1"))).to.equal(undefined);
        expect(owner.isKnown("00a1", version)).to.equal(true);
        owner.accept(job, version);
        owner.accept(job);
        await cell.advanceTime(1_000);
        expect(cell.workers.starts).to.have.length(1);
    });

    // Guards against LOST: a later job with the identifier of a removed one is taken for it.
    it("runs a later job with the same identifier, before and after a change of the owner", async () => {
        await completeJobs(["00a1"]);
        await cell.timers.advance(EXPIRY_MILLISECONDS);
        await cell.advanceTime(1_000);
        await cell.submit(owner, sampleJob("00a1"));
        await cell.advanceTime(1_000);
        expect(cell.workers.starts).to.have.length(2);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        await replaceOwner();
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
        expect(cell.workers.starts).to.have.length(2);
    });

    // Guards against LOST: progress and a cancellation that a removal has left are taken for those of the later job.
    it("does not take left records of a removed job for those of a later job with the same identifier", async () => {
        await completeJobs(["00a1"]);
        await cell.store.commit({
            expectations: [],
            writes: [{
                table: CANCELLATIONS_TABLE,
                partition: partitionOf("00a1"),
                key: "00a1",
                value: encodeJson({}),
            }],
            removals: [jobName("00a1")],
        });
        owner[Symbol.dispose]();
        await cell.storeJob(sampleJob("00a1"));
        await replaceOwner();
        expect(cell.workers.starts).to.have.length(2);
        expect(owner.jobState("00a1")).to.equal(JobState.Completed);
    });
});
