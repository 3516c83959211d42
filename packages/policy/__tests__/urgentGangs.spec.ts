/**
 * Urgent gangs that find no free capacity: batch work is preempted for all their tasks at once or not at all.
 * Preemption task by task would stop batch work for gangs that cannot start, or let other work take the capacity freed
 * so far.
 */
import { Reason, WorkClass } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { CheckedShard, type JobOptions, size } from "./checkedShard.ts";

function tasks(count: number): number[] {
    return Array.from({ length: count }, (_, task) => task);
}

/** A shard of four workers with 16 processors each, filled with one-processor batch tasks that run for a minute. */
function fullShard(): CheckedShard {
    const shard = new CheckedShard();
    shard.addWorkers(4, size(16_000));
    shard.addJob({ id: "filler", waitingTasks: tasks(114), runSeconds: 60 });
    shard.round();
    return shard;
}

function urgentGang(count: number, processors: number, options: Partial<JobOptions> = {}): JobOptions {
    const common = { id: "gang", team: "b", workClass: WorkClass.Urgent, allAtOnce: true };
    return { ...common, size: size(processors * 1_000), waitingTasks: tasks(count), ...options };
}

describe("preemption for an urgent gang", () => {
    it("frees capacity for all tasks at once, and no more than is needed", () => {
        const shard = fullShard();
        const free = 64 - shard.running.size;
        shard.addJob(urgentGang(6, 5));
        const { preemptions } = shard.round(1_000, 400);
        expect(preemptions.length).to.be.within(30 - free, 30);
        shard.run(400, 100, 400);
        expect(shard.startedAt("gang")).to.equal(400);
        expect(shard.workersOf("gang")).to.have.lengthOf(6);
        expect(shard.starts.filter(({ job }) => job === "gang").map(({ reason }) => reason))
            .to.deep.equal(Array.from({ length: 6 }, () => Reason.PlacedByPreemption));
        expect(shard.preemptions).to.equal(preemptions.length);
    });

    it("uses free capacity without any preemption", () => {
        const shard = new CheckedShard();
        shard.addWorkers(4, size(16_000));
        shard.addJob({ id: "filler", waitingTasks: tasks(32), runSeconds: 60 });
        shard.round();
        shard.addJob(urgentGang(3, 8));
        const { placements, preemptions } = shard.round();
        expect([placements.length, preemptions.length]).to.deep.equal([3, 0]);
    });

    it("preempts nothing if the gang would still not fit", () => {
        const shard = fullShard();
        shard.addJob({ id: "services", workClass: WorkClass.Service, waitingTasks: tasks(3), runSeconds: undefined });
        shard.run(61_000);
        const before = shard.preemptions;
        shard.addJob(urgentGang(4, 16));
        shard.run(20_000);
        expect(shard.startedAt("services")).not.to.equal(undefined);
        expect([shard.preemptions - before, shard.startedAt("gang")]).to.deep.equal([0, undefined]);
    });

    it("preempts no non-idempotent task, and nothing for a gang that its team's limit keeps waiting", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(4, size(16_000));
        shard.addJob({ id: "once", waitingTasks: tasks(1), preemptible: false, runSeconds: 60 });
        shard.addJob({ id: "filler", waitingTasks: tasks(63), runSeconds: 60 });
        shard.round();
        shard.limits.set("c", 2);
        shard.addJob(urgentGang(4, 16));
        shard.addJob(urgentGang(3, 4, { id: "limited", team: "c" }));
        shard.run(2_000);
        expect(shard.preemptions).to.equal(0);
    });

    it("holds the freed capacity for the gang while other work waits and the preempted tasks stop one by one", () => {
        const shard = fullShard();
        shard.addJob(urgentGang(6, 5));
        const { preemptions } = shard.round(1_000, 10_000);
        shard.addJob({ id: "single", team: "c", waitingTasks: tasks(40), size: size(500), runSeconds: 60 });
        for (const { job, task } of preemptions) {
            expect(shard.startedAt("gang")).to.equal(undefined);
            shard.now += 10;
            shard.end(`${job}.${task}`, true);
            shard.round();
        }
        expect(shard.startedAt("gang")).to.equal(shard.now);
        expect(shard.preemptions, "no second preemption").to.equal(preemptions.length);
    });

    it("retries on other workers if some of the preempted tasks do not stop or their worker is lost", () => {
        for (const loss of [false, true]) {
            const shard = fullShard();
            shard.addJob(urgentGang(2, 16));
            const { preemptions } = shard.round(1_000, 100_000);
            const [stuck, other] = [...new Set(preemptions.map(({ worker }) => worker))] as [string, string];
            preemptions.filter(({ worker }) => worker === other)
                .forEach(({ job, task }) => shard.end(`${job}.${task}`, true));
            if (loss) {
                shard.setWorker(stuck, "unavailable");
            }
            shard.now += 600;
            const retried = shard.round(1_000, 200).preemptions;
            expect(retried.map(({ worker }) => worker)).not.to.include.members([stuck]);
            shard.run(300);
            expect(shard.workersOf("gang")).to.have.lengthOf(2).and.not.include(stuck);
        }
    });

    it("releases the claimed capacity if the gang is cancelled before it starts", () => {
        const shard = fullShard();
        shard.addJob(urgentGang(6, 5));
        shard.round(1_000, 200);
        shard.removeJob("gang");
        shard.run(1_000);
        const used = shard.running.size;
        expect(used, "batch tasks run again").to.be.at.least(60);
    });

    it("starts the gang within 1.3 s whenever it fits the shard and the batch work stops in time", () => {
        const gang = fc.record({ count: fc.integer({ min: 1, max: 8 }), processors: fc.integer({ min: 1, max: 8 }) });
        fc.assert(fc.property(gang, fc.integer({ min: 0, max: 6_000 }), ({ count, processors }, moment) => {
            const shard = new CheckedShard();
            shard.addWorkers(4, size(16_000));
            for (let index = 0; index < 150; index++) {
                shard.addJob({ id: `batch${index}`, name: `batch${index % 9}`, runSeconds: 1 + index % 9 });
            }
            shard.run(moment);
            shard.addJob(urgentGang(count, processors));
            shard.run(1_300, 100, 400);
            const fits = shard.policy.checkFeasibility(size(processors * 1_000), count, true).feasible;
            expect(shard.startedAt("gang") !== undefined).to.equal(fits);
        }));
    });
});
