/**
 * Measures packing at full load. For a given task mix, the scarcest resource limits the number of running tasks; the
 * volume bound is the sum of the utilizations of the three resources by that many tasks. The gap is the percentage by
 * which the measured utilization is below this bound. The number of waiting tasks is small, so that a policy cannot
 * improve its figure for long by skipping tasks that are hard to place.
 */
import type { Resources } from "@tanagerlink/model";
import { WorkClass } from "@tanagerlink/model";
import { SimulatedCell } from "./policyCell.ts";
import { createPolicy, type Figure, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { createJob, createTeamWeights, meanSize, Random, randomSize } from "./policyWorkload.ts";

const WORKERS = 400;
const TEAMS = 20;
/** About a quarter of the number of running tasks. */
const WAITING_TASKS = 2_000;
const MEAN_TASK_MILLISECONDS = 20_000;
const MINIMUM_TASK_MILLISECONDS = 2_000;
const WARM_UP_MILLISECONDS = 120_000;
const MEASURED_MILLISECONDS = 120_000;
const TIME_STEP_MILLISECONDS = 50;
const SAMPLE_INTERVAL_MILLISECONDS = 1_000;
const MAXIMUM_GAP_PERCENT = 5;
/** Close to the urgent reserve, so that the reserve is in use. */
const URGENT_TASK_FRACTION = 0.03;

export const packingBenchmark: PolicyBenchmark = {
    name: "packing at full load",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        let waitingTasks = 0;
        const cell = new SimulatedCell(createPolicy(name, seed), {
            workers: WORKERS,
            random,
            stopDelayMilliseconds: () => 200,
            onTaskStarted: task => waitingTasks -= task.isFirstStart ? 1 : 0,
        });
        cell.policy.setTeamShares(createTeamWeights(TEAMS));
        const bound = volumeBound(cell.capacity, meanSize(seed));
        const ratios: number[] = [];
        for (let count = 0; cell.now < WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS;) {
            for (; waitingTasks < WAITING_TASKS; waitingTasks++) {
                submit(cell, random, count++);
            }
            cell.advance(TIME_STEP_MILLISECONDS);
            cell.runRound();
            if (cell.now > WARM_UP_MILLISECONDS && cell.now % SAMPLE_INTERVAL_MILLISECONDS === 0) {
                ratios.push(sumResources(cell.utilization()) / bound);
            }
        }
        const meanRatio = ratios.reduce((sum, value) => sum + value, 0) / ratios.length;
        return [{ name: "gap to volume bound", unit: "%", value: 100 * (1 - meanRatio), atMost: MAXIMUM_GAP_PERCENT }];
    },
};

function submit(cell: SimulatedCell, random: Random, count: number): void {
    const runMilliseconds = MINIMUM_TASK_MILLISECONDS +
        random.exponential(MEAN_TASK_MILLISECONDS - MINIMUM_TASK_MILLISECONDS);
    const workClass = random.fraction() < URGENT_TASK_FRACTION ? WorkClass.Urgent : WorkClass.Batch;
    const team = `team${random.integerBelow(TEAMS)}`;
    cell.submit(
        createJob({ id: `job${count}`, team, workClass, size: randomSize(random), waitingSince: cell.now }),
        runMilliseconds,
    );
}

function volumeBound(capacity: Resources, mean: Resources): number {
    const tasks = Math.min(
        capacity.processorMillis / mean.processorMillis,
        capacity.memoryMebibytes / mean.memoryMebibytes,
        capacity.accelerators / mean.accelerators,
    );
    return sumResources({
        processorMillis: tasks * mean.processorMillis / capacity.processorMillis,
        memoryMebibytes: tasks * mean.memoryMebibytes / capacity.memoryMebibytes,
        accelerators: tasks * mean.accelerators / capacity.accelerators,
    });
}

function sumResources(utilization: Resources): number {
    return utilization.processorMillis + utilization.memoryMebibytes + utilization.accelerators;
}
