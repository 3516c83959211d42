/** Decisions of the scheduling policy on small shards: fair shares, preemption, gangs, quarantine, sizes and spread. */
import { Reason, WorkClass } from "@tanagerlink/model";
import { expect } from "chai";
import { PolicyVersion, ShardPolicy } from "../src/index.ts";
import { CheckedShard, settings, size } from "./checkedShard.ts";

function tasks(count: number): number[] {
    return Array.from({ length: count }, (_, task) => task);
}

/** A shard of workers with 16 processors each, filled with one-processor batch tasks that run for a minute. */
function fullShard(workers = 4): CheckedShard {
    const shard = new CheckedShard();
    shard.addWorkers(workers, size(16_000));
    shard.addJob({ id: "filler", waitingTasks: tasks(workers * 16 + 50), runSeconds: 60 });
    shard.round();
    return shard;
}

describe("fair shares", () => {
    it("divides a full shard by the weights, including what teams use in the rest of the fleet", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(4, size(16_000));
        shard.policy.setTeamShares(new Map([["a", 1], ["b", 3], ["c", 4]]));
        shard.policy.setFleetUsage(new Map([["c", size(64_000)]]), size(128_000));
        for (const team of ["a", "b", "c"]) {
            shard.addJob({ id: team, team, waitingTasks: tasks(100) });
        }
        shard.round();
        const counts = ["a", "b", "c"].map(team => shard.workersOf(team).length);
        expect(counts).to.deep.equal([16, 48, 0]);
    });

    it("does not starve a team that stays above its share", () => {
        const shard = new CheckedShard({ agingSeconds: 5, urgentReserve: 0 });
        shard.addWorkers(1, size(16_000));
        // Its usage in the rest of the fleet keeps the team far above its share for the whole test.
        shard.policy.setFleetUsage(new Map([["heavy", size(15_000)]]), size(32_000));
        shard.addJob({ id: "late", team: "heavy", runSeconds: 1 });
        shard.addJob({ id: "stream", team: "a", waitingTasks: tasks(1_000), runSeconds: 1 });
        shard.run(30_000);
        expect(shard.startedAt("late")).to.be.at.most(20_000);
    });

    it("does not starve a task of the size of a worker behind a stream of small tasks", () => {
        const shard = new CheckedShard({ agingSeconds: 5 });
        shard.addWorkers(3, size(16_000));
        shard.addJob({ id: "stream", team: "a", waitingTasks: tasks(5_000), runSeconds: 2.5 });
        shard.round();
        shard.addJob({ id: "large", team: "b", size: size(16_000) });
        shard.run(30_000);
        expect(shard.startedAt("large")).to.be.at.most(15_000);
    });
});

describe("preemption", () => {
    it("is decided in the first round of the urgent task and stops no more tasks than needed", () => {
        const shard = fullShard();
        shard.addJob({ id: "urgent", workClass: WorkClass.Urgent, size: size(3_000) });
        const { preemptions } = shard.round();
        expect(preemptions.length).to.be.within(1, 3);
        expect(new Set(preemptions.map(task => task.worker)).size).to.equal(1);
        shard.run(100);
        expect(shard.startedAt("urgent")).to.equal(100);
        expect(shard.preemptions).to.equal(preemptions.length);
    });

    it("spares a younger task if preempting an older one suffices", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(1, size(9_000));
        shard.addJob({ id: "older", size: size(8_000), runSeconds: 100 });
        shard.run(100);
        shard.addJob({ id: "younger", runSeconds: 100 });
        shard.run(100);
        shard.addJob({ id: "urgent", workClass: WorkClass.Urgent, size: size(8_000) });
        expect(shard.round().preemptions.map(task => task.job)).to.deep.equal(["older"]);
    });

    it("keeps the freed capacity for the urgent task while batch work waits", () => {
        const shard = fullShard();
        shard.addJob({ id: "urgent", workClass: WorkClass.Urgent, size: size(10_000, 1) });
        const { preemptions } = shard.round();
        expect(preemptions.length).to.be.greaterThan(5);
        // The preempted tasks end one by one, with a round after each.
        for (const { job, task } of preemptions) {
            expect(shard.startedAt("urgent")).to.equal(undefined);
            shard.now += 10;
            shard.end(`${job}.${task}`, true);
            shard.round();
        }
        expect(shard.startedAt("urgent")).to.equal(shard.now);
    });

    it("uses the reserve first, and preempts nothing for work that its team's limit keeps waiting", () => {
        const shard = fullShard(40);
        shard.limits.set("limited", 1);
        shard.addJob({ id: "urgent", workClass: WorkClass.Urgent, team: "limited", waitingTasks: tasks(30) });
        const result = shard.round();
        expect(result.placements.map(placement => placement.reason)).to.deep.equal([Reason.PlacedUrgentReserve]);
        expect(result.preemptions).to.deep.equal([]);
    });

    it("leaves ordinary capacity to other work while at least half of the reserve is free", () => {
        const reasons = (version: PolicyVersion): Reason[] => {
            const policy = new ShardPolicy({ ...settings, urgentReserve: 0.25 }, version);
            tasks(4).forEach(index => policy.addWorker({ id: `w${index}`, rack: "r", capacity: size(16_000) }));
            const common = { name: "urgent", team: "a", queue: "q", workClass: WorkClass.Urgent, runSeconds: 10 };
            const job = { ...common, id: "urgent", size: size(4_000), allAtOnce: false, preemptible: true };
            policy.addJob({ ...job, waitingTasks: tasks(5), waitingSince: 0 });
            const limits = { acquire: () => true, release: () => {} };
            return policy.runRound(0, limits, 100).placements.map(({ reason }) => reason).sort();
        };
        const { Placed, PlacedUrgentReserve } = Reason;
        const inReserve = [Placed, Placed, PlacedUrgentReserve, PlacedUrgentReserve, PlacedUrgentReserve];
        expect(reasons(PolicyVersion.DrfBestFit2)).to.deep.equal(inReserve);
        expect(reasons(PolicyVersion.DrfBestFit1)).to.deep.equal(tasks(5).map(() => Placed));
    });

    it("retries on another worker if the preempted tasks do not stop", () => {
        const shard = fullShard();
        shard.addJob({ id: "urgent", workClass: WorkClass.Urgent, size: size(3_000) });
        const first = shard.round().preemptions[0]!.worker;
        shard.now += 600;
        const second = shard.round().preemptions[0]!.worker;
        expect(second).not.to.equal(first);
    });

    it("stops a whole gang and not just one of its tasks", () => {
        const shard = new CheckedShard();
        shard.addWorkers(2, size(16_000));
        shard.addJob({ id: "gang", allAtOnce: true, size: size(16_000), waitingTasks: tasks(2), runSeconds: 100 });
        shard.run(1_000);
        shard.addJob({ id: "urgent", workClass: WorkClass.Urgent, size: size(4_000) });
        expect(shard.round().preemptions.length).to.equal(2);
    });
});

describe("gangs", () => {
    it("starts the reserved gang at the planned time although short and long tasks keep arriving", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(4, size(16_000));
        for (let index = 0; index < 64; index++) {
            shard.addJob({ id: `early${index}`, name: "early", runSeconds: 5 + index % 10 });
        }
        shard.round();
        shard.addJob({ id: "gang", team: "b", allAtOnce: true, size: size(16_000), waitingTasks: tasks(4) });
        shard.round();
        for (let index = 0; shard.now < 20_000; index++) {
            shard.addJob({ id: `short${index}`, name: "short", runSeconds: 1 });
            shard.addJob({ id: `long${index}`, name: "long", runSeconds: 30 });
            shard.run(100);
        }
        // The longest early task ends after 14 s, so the gang cannot start earlier.
        expect(shard.startedAt("gang")).to.equal(14_000);
        const backfilled = shard.starts.filter(start => start.job.startsWith("short") && start.at < 14_000);
        expect(backfilled.length, "short tasks backfilled the held capacity").to.be.greaterThan(50);
        expect(backfilled.every(start => start.at + 1_000 <= 14_000)).to.equal(true);
    });

    it("lets long tasks use only capacity outside the reservation", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(4, size(16_000));
        shard.addJob({ id: "early", waitingTasks: tasks(64), runSeconds: 5 });
        shard.round();
        shard.addJob({ id: "gang", team: "b", allAtOnce: true, size: size(9_000), waitingTasks: tasks(4) });
        shard.round();
        shard.now += 1_000;
        // Half of the early tasks end before their time, which frees capacity inside and outside the reservation.
        [...shard.running.keys()].filter(key => Number(key.split(".")[1]) % 2 === 0).forEach(key => shard.end(key));
        shard.addJob({ id: "long", team: "c", waitingTasks: tasks(64), runSeconds: 100 });
        shard.run(5_000);
        expect(shard.startedAt("gang")).to.equal(5_000);
        expect(shard.workersOf("long").length).to.equal(4 * 7);
    });

    it("starts a gang that fits only with the urgent reserve and would otherwise never start", () => {
        const shard = new CheckedShard();
        shard.addWorkers(2, size(16_000));
        shard.addJob({ id: "gang", allAtOnce: true, size: size(16_000), waitingTasks: tasks(2) });
        shard.run(1_000);
        expect(shard.startedAt("gang")).not.to.equal(undefined);
    });

    it("plans with learned run times if the declared ones are wrong", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(1, size(2_000));
        for (let index = 0; index < 6; index++) {
            shard.addJob({ id: `wrong${index}`, name: "wrong", runSeconds: 1 });
            shard.round();
            // The job declares 1 s and runs for 10 s.
            shard.now += 10_000;
            shard.end(`wrong${index}.0`);
        }
        shard.addJob({ id: "blocker", runSeconds: 5 });
        shard.round();
        shard.addJob({ id: "gang", allAtOnce: true, size: size(2_000) });
        shard.round();
        shard.addJob({ id: "wrong", name: "wrong", runSeconds: 1 });
        shard.addJob({ id: "right", name: "right", runSeconds: 1 });
        expect(shard.round().placements.map(placement => placement.job)).to.deep.equal(["right"]);
        expect(shard.waitReasons.get("wrong")).to.equal(Reason.WaitingForReservation);
    });
});

describe("quarantine", () => {
    it("quarantines a worker on which different jobs fail, for periods that double", () => {
        const shard = new CheckedShard();
        shard.addWorkers(2, size(16_000));
        ["a", "b", "c"].forEach(job => shard.policy.recordTaskFailure("worker0", job, 0));
        expect(shard.policy.quarantinedWorkers(9_999)).to.deep.equal(["worker0"]);
        shard.addJob({ id: "job", waitingTasks: tasks(32) });
        shard.round();
        expect(new Set(shard.workersOf("job"))).to.deep.equal(new Set(["worker1"]));
        expect(shard.policy.quarantinedWorkers(10_000)).to.deep.equal([]);
        shard.policy.recordTaskFailure("worker0", "d", 10_000);
        expect(shard.policy.quarantinedWorkers(29_999)).to.deep.equal(["worker0"]);
        expect(shard.policy.quarantinedWorkers(30_000)).to.deep.equal([]);
        shard.policy.recordTaskSuccess("worker0");
        shard.policy.recordTaskFailure("worker0", "e", 30_000);
        expect(shard.policy.quarantinedWorkers(30_000)).to.deep.equal([]);
    });

    it("counts failures on several workers against the job and not against the workers", () => {
        const shard = new CheckedShard();
        shard.addWorkers(4, size(16_000));
        for (const job of ["bad1", "bad2", "bad3", "bad4"]) {
            ["worker0", "worker1", "worker2"].forEach(worker => shard.policy.recordTaskFailure(worker, job, 0));
            expect(shard.policy.hasJobFailedEverywhere(job)).to.equal(true);
        }
        expect(shard.policy.quarantinedWorkers(0)).to.deep.equal([]);
    });

    it("does not count failures on a quarantined worker against the jobs", () => {
        const shard = new CheckedShard({ jobFailureLimit: 2 });
        ["a", "b", "c"].forEach(job => shard.policy.recordTaskFailure("broken", job, 0));
        shard.policy.recordTaskFailure("worker1", "a", 0);
        expect(shard.policy.hasJobFailedEverywhere("a")).to.equal(false);
    });
});

describe("sizes and spread", () => {
    it("counts the observed size, so that a task above its declared size does not overcommit the worker", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(1, size(4_000));
        shard.addJob({ id: "large" });
        shard.round();
        shard.reportUsage("large.0", size(1_000, 3_500));
        shard.addJob({ id: "next" });
        expect(shard.round().placements).to.deep.equal([]);
        shard.reportUsage("large.0", size(1_000, 3_000));
        expect(shard.round().placements.length).to.equal(1);
    });

    it("plans with the learned size of tasks of the same name", () => {
        const shard = new CheckedShard({ urgentReserve: 0 });
        shard.addWorkers(1, size(4_000));
        for (let index = 0; index < 6; index++) {
            shard.addJob({ id: `wrong${index}`, name: "wrong" });
            shard.round();
            shard.reportUsage(`wrong${index}.0`, size(2_500));
            shard.end(`wrong${index}.0`);
        }
        shard.addJob({ id: "wrong", name: "wrong", waitingTasks: tasks(2) });
        expect(shard.round().placements.length).to.equal(1);
    });

    it("spreads a service over racks, so that most of it survives the loss of one rack", () => {
        const shard = new CheckedShard();
        shard.addWorkers(12, size(16_000), 4);
        shard.addJob({ id: "service", workClass: WorkClass.Service, runSeconds: undefined, waitingTasks: tasks(8) });
        shard.round();
        const racks = shard.workersOf("service").map(worker => Number(worker.slice("worker".length)) % 4);
        expect(racks.sort()).to.deep.equal([0, 0, 1, 1, 2, 2, 3, 3]);
    });

    it("returns a nearest shape that can run", () => {
        const shard = new CheckedShard();
        shard.addWorkers(2, size(16_000, 65_536));
        shard.addWorkers(1, size(32_000, 131_072, 8));
        for (
            const [requested, count] of [[size(64_000, 1_024, 4), 1], [size(16_000, 4_096), 9], [
                size(1, 1, 9),
                2,
            ]] as const
        ) {
            const answer = shard.policy.checkFeasibility(requested, count, true);
            expect(answer.feasible).to.equal(false);
            if (!answer.feasible) {
                expect(shard.policy.checkFeasibility(answer.nearest, count, true).feasible).to.equal(true);
            }
        }
    });
});
