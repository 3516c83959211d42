/**
 * Packing at full load. With the task mix given, at most as many tasks can run as the scarcest resource allows; the
 * volume bound is the sum of the three resources that these tasks would use. The gap is what is missing from it. The
 * waiting tasks are few, so that no policy can change the mix for long by passing over tasks.
 */
import type { Resources } from "@tanagerlink/model";
import { WorkClass } from "@tanagerlink/model";
import { SimulatedCell } from "./policyCell.ts";
import { type Figure, makePolicy, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { makeJob, makeTeams, meanSize, Random, randomSize } from "./policyWorkload.ts";

const WORKERS = 400;
const TEAMS = 20;
/** About a quarter of the running tasks. */
const BACKLOG = 2_000;
const MEAN_RUN_MS = 20_000;
const SHORTEST_RUN_MS = 2_000;
const WARM_UP_MS = 120_000;
const MEASURED_MS = 120_000;
const STEP_MS = 50;
const SAMPLE_MS = 1_000;
const GAP_TARGET = 5;
/** Part of tasks that are urgent, near the reserve, so that the reserve is in use. */
const URGENT_PART = 0.03;

export const packingBenchmark: PolicyBenchmark = {
    name: "packing at full load",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        let waiting = 0;
        const cell = new SimulatedCell(makePolicy(name, seed), {
            workers: WORKERS,
            random,
            stopDelay: () => 200,
            onStart: task => waiting -= task.first ? 1 : 0,
        });
        cell.policy.setTeamShares(makeTeams(TEAMS));
        const bound = volumeBound(cell.capacity, meanSize(seed));
        const measured: number[] = [];
        for (let count = 0; cell.now < WARM_UP_MS + MEASURED_MS;) {
            for (; waiting < BACKLOG; waiting++) {
                submit(cell, random, count++);
            }
            cell.advance(STEP_MS);
            cell.round();
            if (cell.now > WARM_UP_MS && cell.now % SAMPLE_MS === 0) {
                measured.push(total(cell.utilisation()) / bound);
            }
        }
        const packed = measured.reduce((sum, value) => sum + value, 0) / measured.length;
        return [{ name: "gap to volume bound", unit: "%", value: 100 * (1 - packed), atMost: GAP_TARGET }];
    },
};

function submit(cell: SimulatedCell, random: Random, count: number): void {
    const run = SHORTEST_RUN_MS + random.exponential(MEAN_RUN_MS - SHORTEST_RUN_MS);
    const workClass = random.fraction() < URGENT_PART ? WorkClass.Urgent : WorkClass.Batch;
    const team = `team${random.below(TEAMS)}`;
    cell.submit(makeJob({ id: `job${count}`, team, workClass, size: randomSize(random), waitingSince: cell.now }), run);
}

function volumeBound(capacity: Resources, mean: Resources): number {
    const tasks = Math.min(
        capacity.processorMillis / mean.processorMillis,
        capacity.memoryMebibytes / mean.memoryMebibytes,
        capacity.accelerators / mean.accelerators,
    );
    return total({
        processorMillis: tasks * mean.processorMillis / capacity.processorMillis,
        memoryMebibytes: tasks * mean.memoryMebibytes / capacity.memoryMebibytes,
        accelerators: tasks * mean.accelerators / capacity.accelerators,
    });
}

function total(parts: Resources): number {
    return parts.processorMillis + parts.memoryMebibytes + parts.accelerators;
}
