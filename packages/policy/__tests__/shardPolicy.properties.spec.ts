/**
 * Properties of the scheduling policy under random sequences of jobs, usage, cancellations, limits and worker changes,
 * which reach combinations that the examples do not cover.
 */
import { WorkClass } from "@tanagerlink/model";
import { expect } from "chai";
import fc from "fast-check";
import { CheckedShard, size } from "./checkedShard.ts";

const RUN_COUNT = 150;

const capacity = fc.constantFrom(size(16_000, 65_536), size(32_000, 131_072, 8), size(8_000, 16_384));
const taskSize = fc.record({
    // Many small sizes, so that workers are filled to the last thousandth of a processor.
    processorMillis: fc.oneof(fc.integer({ min: 0, max: 800 }), fc.integer({ min: 0, max: 20_000 })),
    memoryMebibytes: fc.oneof(fc.integer({ min: 1, max: 900 }), fc.integer({ min: 1, max: 70_000 })),
    accelerators: fc.constantFrom(0, 0, 0, 1, 4),
});
const step = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("job" as const),
            size: taskSize,
            team: fc.constantFrom("a", "b", "c"),
            workClass: fc.constantFrom(WorkClass.Urgent, WorkClass.Service, WorkClass.Batch, WorkClass.Batch),
            tasks: fc.integer({ min: 1, max: 60 }),
            allAtOnce: fc.boolean(),
            runSeconds: fc.option(fc.integer({ min: 1, max: 20 }), { nil: undefined }),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({ kind: fc.constant("run" as const), time: fc.integer({ min: 1, max: 4_000 }) }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("usage" as const), pick: fc.nat(), usage: taskSize }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cancel" as const), pick: fc.nat() }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("lose" as const), pick: fc.nat(), requeue: fc.boolean() }) },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("limit" as const), units: fc.integer({ min: 0, max: 40 }) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("worker" as const),
            worker: fc.nat({ max: 5 }),
            state: fc.constantFrom("available" as const, "unavailable" as const, "removed" as const),
        }),
    },
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

function pick<Item>(items: Iterable<Item>, position: number): Item | undefined {
    const list = [...items];
    return list[position % Math.max(1, list.length)];
}

function apply(shard: CheckedShard, action: Step, index: number): void {
    switch (action.kind) {
        case "job": {
            const { size: taskSize, team, workClass, tasks, allAtOnce, runSeconds } = action;
            const waitingTasks = Array.from({ length: tasks }, (_, task) => task);
            shard.addJob({ id: `job${index}`, size: taskSize, team, workClass, waitingTasks, allAtOnce, runSeconds });
            shard.round();
            break;
        }
        case "run":
            shard.run(action.time, 500, 700);
            break;
        case "usage":
            shard.reportUsage(pick(shard.running.keys(), action.pick) ?? "", action.usage);
            break;
        case "cancel":
            shard.removeJob(pick(shard.jobs.keys(), action.pick) ?? "");
            break;
        case "lose": {
            const key = pick(shard.running.keys(), action.pick);
            const gang = key !== undefined && shard.jobs.get(shard.running.get(key)!.job)?.allAtOnce === true;
            shard.end(gang ? "" : key ?? "", action.requeue);
            break;
        }
        case "limit":
            // Not set below what runs: a round does not stop running tasks, so it could not meet such a limit.
            shard.limits.set("a", Math.max(action.units, shard.used.get("a") ?? 0));
            break;
        case "worker":
            shard.setWorker(`worker${action.worker}`, action.state);
            break;
    }
}

describe("properties of the scheduling policy", () => {
    it("never overcommits a worker, runs a task twice, splits a gang or exceeds a limit", () => {
        const property = fc.property(
            fc.array(capacity, { minLength: 1, maxLength: 6 }),
            fc.array(step),
            (kinds, steps) => {
                const shard = new CheckedShard();
                kinds.forEach(kind => shard.addWorkers(1, kind));
                steps.forEach((action, index) => apply(shard, action, index));
                shard.run(5_000, 500);
                const waiting = [...shard.jobs.values()].length > 0 ? shard.policy.waitingTaskCount() : 0;
                expect(waiting).to.be.at.least(0);
            },
        );
        fc.assert(property, { numRuns: RUN_COUNT });
    });

    it("starts every gang, whatever other gangs wait and in whatever order they arrive", () => {
        const gang = fc.record({
            tasks: fc.integer({ min: 1, max: 16 }),
            processors: fc.integer({ min: 1, max: 16 }),
            team: fc.constantFrom("a", "b", "c"),
            runSeconds: fc.integer({ min: 1, max: 8 }),
            delay: fc.integer({ min: 0, max: 2_000 }),
        });
        const property = fc.property(fc.array(gang, { minLength: 2, maxLength: 20 }), gangs => {
            const shard = new CheckedShard();
            shard.addWorkers(4, size(16_000, 65_536));
            const submitted: string[] = [];
            gangs.forEach(({ tasks, processors, team, runSeconds, delay }, index) => {
                const needed = size(processors * 1_000, 1_024);
                if (shard.policy.checkFeasibility(needed, tasks, true).feasible) {
                    const waitingTasks = Array.from({ length: tasks }, (_, task) => task);
                    shard.addJob({ id: `gang${index}`, team, runSeconds, size: needed, allAtOnce: true, waitingTasks });
                    submitted.push(`gang${index}`);
                }
                shard.run(delay, 500);
            });
            shard.run(submitted.length * 12_000, 500);
            const neverStarted = submitted.filter(id => shard.startedAt(id) === undefined);
            expect(neverStarted, "gangs that never started").to.deep.equal([]);
        });
        fc.assert(property, { numRuns: RUN_COUNT });
    });

    it("loses no waiting task when other jobs are cancelled at random", () => {
        const property = fc.property(fc.array(fc.boolean(), { minLength: 1, maxLength: 300 }), cancelled => {
            const shard = new CheckedShard();
            shard.addWorkers(2, size(16_000));
            cancelled.forEach((_, index) =>
                shard.addJob({ id: `job${index}`, name: `name${index % 7}`, runSeconds: 1 })
            );
            shard.round();
            cancelled.forEach((drop, index) => drop && shard.removeJob(`job${index}`));
            shard.run(30_000, 500);
            const kept = cancelled.flatMap((drop, index) => drop ? [] : [`job${index}`]);
            expect(kept.filter(id => shard.startedAt(id) === undefined)).to.deep.equal([]);
            expect(shard.policy.waitingTaskCount()).to.equal(0);
        });
        fc.assert(property, { numRuns: RUN_COUNT });
    });
});
