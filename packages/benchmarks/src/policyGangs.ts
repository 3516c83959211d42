/** Measures the wait of gangs that compete with a stream of small tasks, which could occupy all freed capacity. */
import { build } from "hdr-histogram-js";
import { SimulatedCell } from "./policyCell.ts";
import { createPolicy, type Figure, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { createJob, Random, randomSmallSize } from "./policyWorkload.ts";

const WORKERS = 100;
const TIME_STEP_MILLISECONDS = 50;
const SIMULATED_MILLISECONDS = 600_000;
const WAITING_SMALL_TASKS = 500;
const GANG_TEAM = "gangs";
/** A gang needs a fifth of the cell. The interval leaves a gang time to finish before the next one arrives. */
const TASKS_PER_GANG = 32;
const GANG_INTERVAL_MILLISECONDS = 60_000;
const GANG_TASK_MILLISECONDS = 20_000;
const gangTaskSize = { processorMillis: 14_000, memoryMebibytes: 32_768, accelerators: 0 };

export const gangBenchmark: PolicyBenchmark = {
    name: "gangs against small tasks",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const gangWaits = build();
        let submittedGangs = 0;
        let startedGangs = 0;
        let waitingSmallTasks = 0;
        let utilizationSum = 0;
        let samples = 0;
        const cell = new SimulatedCell(createPolicy(name, seed), {
            workers: WORKERS,
            random,
            onTaskStarted: task => {
                if (!task.job.allAtOnce) {
                    waitingSmallTasks--;
                }
                else if (task.task === 0) {
                    startedGangs++;
                    gangWaits.recordValue(Math.max(1, task.waitedMilliseconds));
                }
            },
        });
        cell.policy.setTeamShares(new Map([["small", 1], [GANG_TEAM, 1]]));
        for (let count = 0; cell.now < SIMULATED_MILLISECONDS;) {
            for (; waitingSmallTasks < WAITING_SMALL_TASKS; waitingSmallTasks++) {
                const runMilliseconds = 2_000 + random.integerBelow(8_000);
                const id = `small${count++}`;
                const size = randomSmallSize(random);
                cell.submit(
                    createJob({ id, name: `small${count % 5}`, team: "small", size, runSeconds: 10 }),
                    runMilliseconds,
                );
            }
            if (
                cell.now % GANG_INTERVAL_MILLISECONDS === 0 &&
                cell.now < SIMULATED_MILLISECONDS - GANG_INTERVAL_MILLISECONDS
            ) {
                const waitingTasks = Array.from({ length: TASKS_PER_GANG }, (_, task) => task);
                const id = `gang${submittedGangs++}`;
                const options = {
                    id,
                    team: GANG_TEAM,
                    size: gangTaskSize,
                    allAtOnce: true,
                    runSeconds: 20,
                    waitingTasks,
                };
                cell.submit(createJob({ ...options, waitingSince: cell.now }), GANG_TASK_MILLISECONDS);
            }
            cell.advance(TIME_STEP_MILLISECONDS);
            cell.runRound();
            if (cell.now > 60_000 && cell.now % 1_000 === 0) {
                utilizationSum += cell.utilization().processorMillis;
                samples++;
            }
        }
        return [
            {
                name: "gangs that never started",
                unit: "%",
                value: 100 * (submittedGangs - startedGangs) / submittedGangs,
                atMost: 0,
            },
            { name: "gang wait, median", unit: "ms", value: gangWaits.getValueAtPercentile(50) },
            { name: "gang wait, maximum", unit: "ms", value: gangWaits.maxValue },
            { name: "processors in use", unit: "%", value: 100 * utilizationSum / samples },
        ];
    },
};
