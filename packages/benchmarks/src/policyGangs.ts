/** Start of gangs against a stream of small tasks that would take each gap. */
import { build } from "hdr-histogram-js";
import { SimulatedCell } from "./policyCell.ts";
import { type Figure, makePolicy, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { makeJob, Random, randomSmallSize } from "./policyWorkload.ts";

const WORKERS = 100;
const STEP_MS = 50;
const RUN_MS = 600_000;
const SMALL_BACKLOG = 500;
const GANG_TEAM = "gangs";
/** A gang takes a fifth of the cell; the next arrives when the last one has had time to run. */
const GANG_TASKS = 32;
const GANG_PERIOD_MS = 60_000;
const GANG_RUN_MS = 20_000;
const gangSize = { processorMillis: 14_000, memoryMebibytes: 32_768, accelerators: 0 };

export const gangBenchmark: PolicyBenchmark = {
    name: "gangs against small tasks",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const gangWaits = build();
        let gangs = 0;
        let startedGangs = 0;
        let waitingSmall = 0;
        let use = 0;
        let samples = 0;
        const cell = new SimulatedCell(makePolicy(name, seed), {
            workers: WORKERS,
            random,
            onStart: task => {
                if (!task.job.allAtOnce) {
                    waitingSmall--;
                }
                else if (task.task === 0) {
                    startedGangs++;
                    gangWaits.recordValue(Math.max(1, task.waited));
                }
            },
        });
        cell.policy.setTeamShares(new Map([["small", 1], [GANG_TEAM, 1]]));
        for (let count = 0; cell.now < RUN_MS;) {
            for (; waitingSmall < SMALL_BACKLOG; waitingSmall++) {
                const run = 2_000 + random.below(8_000);
                const id = `small${count++}`;
                const size = randomSmallSize(random);
                cell.submit(makeJob({ id, name: `small${count % 5}`, team: "small", size, runSeconds: 10 }), run);
            }
            if (cell.now % GANG_PERIOD_MS === 0 && cell.now < RUN_MS - GANG_PERIOD_MS) {
                const waitingTasks = Array.from({ length: GANG_TASKS }, (_, task) => task);
                const id = `gang${gangs++}`;
                const choice = { id, team: GANG_TEAM, size: gangSize, allAtOnce: true, runSeconds: 20, waitingTasks };
                cell.submit(makeJob({ ...choice, waitingSince: cell.now }), GANG_RUN_MS);
            }
            cell.advance(STEP_MS);
            cell.round();
            if (cell.now > 60_000 && cell.now % 1_000 === 0) {
                use += cell.utilisation().processorMillis;
                samples++;
            }
        }
        return [
            { name: "gangs that never started", unit: "%", value: 100 * (gangs - startedGangs) / gangs, atMost: 0 },
            { name: "gang wait, median", unit: "ms", value: gangWaits.getValueAtPercentile(50) },
            { name: "gang wait, maximum", unit: "ms", value: gangWaits.maxValue },
            { name: "processors in use", unit: "%", value: 100 * use / samples },
        ];
    },
};
