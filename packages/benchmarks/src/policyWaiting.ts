/** Measures waiting time by work class while the cell is full of batch work and workers are lost and return. */
import { WorkClass } from "@tanagerlink/model";
import { build } from "hdr-histogram-js";
import { SimulatedCell } from "./policyCell.ts";
import { createPolicy, type Figure, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { createJob, createTeamWeights, Random, randomSize, randomSmallSize } from "./policyWorkload.ts";

const WORKERS = 400;
const TEAMS = 20;
const TIME_STEP_MILLISECONDS = 20;
const SIMULATED_MILLISECONDS = 300_000;
const WARM_UP_MILLISECONDS = 30_000;
const WAITING_BATCH_TASKS = 4_000;
const MEAN_BATCH_TASK_MILLISECONDS = 30_000;
const URGENT_TASKS_PER_SECOND = 60;
/** A burst exceeds the capacity of the urgent reserve. */
const BURST_INTERVAL_MILLISECONDS = 20_000;
const BURST_TASKS = 600;
const MEAN_URGENT_TASK_MILLISECONDS = 3_000;
const SERVICES_PER_SECOND = 0.5;
/** Interval at which one worker is lost, and the time after which it returns. */
const WORKER_LOSS_INTERVAL_MILLISECONDS = 1_000;
const WORKER_ABSENCE_MILLISECONDS = 20_000;
/** Range of the time in which a preempted task writes its checkpoint and stops. */
const MINIMUM_STOP_MILLISECONDS = 100;
const MAXIMUM_STOP_MILLISECONDS = 400;
const MAXIMUM_URGENT_WAIT_MILLISECONDS = 1_300;

export const waitingBenchmark: PolicyBenchmark = {
    name: "waiting, full cell, workers leave",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const waits = new Map(Object.values(WorkClass).map(workClass => [workClass, build()]));
        let waitingBatchTasks = 0;
        let submittedUrgentTasks = 0;
        const cell = new SimulatedCell(createPolicy(name, seed), {
            workers: WORKERS,
            random,
            stopDelayMilliseconds: () =>
                MINIMUM_STOP_MILLISECONDS + random.integerBelow(MAXIMUM_STOP_MILLISECONDS - MINIMUM_STOP_MILLISECONDS),
            onTaskStarted: task => {
                if (task.isFirstStart && task.startedAt > WARM_UP_MILLISECONDS) {
                    waits.get(task.workClass)!.recordValue(Math.max(1, task.waitedMilliseconds));
                }
                waitingBatchTasks -= task.isFirstStart && task.workClass === WorkClass.Batch ? 1 : 0;
            },
        });
        cell.policy.setTeamShares(createTeamWeights(TEAMS));
        let count = 0;
        const submit = (workClass: WorkClass, runMilliseconds: number): void => {
            const size = workClass === WorkClass.Urgent ? randomSmallSize(random) : randomSize(random);
            const id = `job${count++}`;
            const team = `team${random.integerBelow(TEAMS)}`;
            const runSeconds = workClass === WorkClass.Service ? undefined : runMilliseconds / 1_000;
            cell.submit(createJob({ id, team, workClass, size, runSeconds, waitingSince: cell.now }), runMilliseconds);
        };
        while (cell.now < SIMULATED_MILLISECONDS) {
            for (; waitingBatchTasks < WAITING_BATCH_TASKS; waitingBatchTasks++) {
                submit(WorkClass.Batch, 1_000 + random.exponential(MEAN_BATCH_TASK_MILLISECONDS));
            }
            const burstTasks = cell.now % BURST_INTERVAL_MILLISECONDS === 0 ? BURST_TASKS : 0;
            for (
                let due = burstTasks + poissonCount(random, URGENT_TASKS_PER_SECOND * TIME_STEP_MILLISECONDS / 1_000);
                due > 0;
                due--
            ) {
                submittedUrgentTasks++;
                submit(WorkClass.Urgent, 500 + random.exponential(MEAN_URGENT_TASK_MILLISECONDS));
            }
            for (let due = poissonCount(random, SERVICES_PER_SECOND * TIME_STEP_MILLISECONDS / 1_000); due > 0; due--) {
                submit(WorkClass.Service, 120_000);
            }
            cell.advance(TIME_STEP_MILLISECONDS);
            if (cell.now % WORKER_LOSS_INTERVAL_MILLISECONDS === 0) {
                const worker = `worker${random.integerBelow(WORKERS)}`;
                cell.disableWorkers(new Set([worker]));
                cell.scheduleEvent(WORKER_ABSENCE_MILLISECONDS, () => cell.enableWorker(worker));
            }
            cell.runRound();
        }
        const urgent = waits.get(WorkClass.Urgent)!;
        return [
            { name: "urgent median", unit: "ms", value: urgent.getValueAtPercentile(50) },
            {
                name: "urgent 99.9th",
                unit: "ms",
                value: urgent.getValueAtPercentile(99.9),
                atMost: MAXIMUM_URGENT_WAIT_MILLISECONDS,
            },
            { name: "urgent maximum", unit: "ms", value: urgent.maxValue },
            {
                name: "urgent not started",
                unit: "tasks",
                value: submittedUrgentTasks - cell.startedTaskCount(WorkClass.Urgent),
            },
            { name: "service 99th", unit: "ms", value: waits.get(WorkClass.Service)!.getValueAtPercentile(99) },
            { name: "batch median", unit: "ms", value: waits.get(WorkClass.Batch)!.getValueAtPercentile(50) },
            {
                name: "preemptions per 1,000 urgent tasks",
                unit: "tasks",
                value: 1_000 * cell.preemptionCount / submittedUrgentTasks,
            },
        ];
    },
};

/** Returns a Poisson-distributed number with the given mean. */
function poissonCount(random: Random, mean: number): number {
    let count = 0;
    for (let elapsed = random.exponential(1); elapsed < mean; elapsed += random.exponential(1)) {
        count++;
    }
    return count;
}
