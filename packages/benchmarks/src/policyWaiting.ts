/** Waiting time by class while the cell is full of batch work and workers leave and return. */
import { WorkClass } from "@tanagerlink/model";
import { build } from "hdr-histogram-js";
import { SimulatedCell } from "./policyCell.ts";
import { type Figure, makePolicy, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { makeJob, makeTeams, Random, randomSize, randomSmallSize } from "./policyWorkload.ts";

const WORKERS = 400;
const TEAMS = 20;
const STEP_MS = 20;
const RUN_MS = 300_000;
const WARM_UP_MS = 30_000;
const BATCH_BACKLOG = 4_000;
const BATCH_RUN_MS = 30_000;
const URGENT_PER_SECOND = 60;
/** A burst above what the reserve can hold. */
const BURST_PERIOD_MS = 20_000;
const BURST_TASKS = 600;
const URGENT_RUN_MS = 3_000;
const SERVICES_PER_SECOND = 0.5;
/** A worker leaves this often and returns after the second period. */
const LEAVE_PERIOD_MS = 1_000;
const AWAY_MS = 20_000;
/** A preempted task needs this long to write its checkpoint and stop. */
const SHORTEST_STOP_MS = 100;
const LONGEST_STOP_MS = 400;
const URGENT_TARGET = 1_300;

export const waitingBenchmark: PolicyBenchmark = {
    name: "waiting, full cell, workers leave",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const waits = new Map(Object.values(WorkClass).map(workClass => [workClass, build()]));
        let waitingBatch = 0;
        let submittedUrgent = 0;
        const cell = new SimulatedCell(makePolicy(name, seed), {
            workers: WORKERS,
            random,
            stopDelay: () => SHORTEST_STOP_MS + random.below(LONGEST_STOP_MS - SHORTEST_STOP_MS),
            onStart: task => {
                if (task.first && task.startedAt > WARM_UP_MS) {
                    waits.get(task.workClass)!.recordValue(Math.max(1, task.waited));
                }
                waitingBatch -= task.first && task.workClass === WorkClass.Batch ? 1 : 0;
            },
        });
        cell.policy.setTeamShares(makeTeams(TEAMS));
        let count = 0;
        const submit = (workClass: WorkClass, run: number): void => {
            const size = workClass === WorkClass.Urgent ? randomSmallSize(random) : randomSize(random);
            const id = `job${count++}`;
            const team = `team${random.below(TEAMS)}`;
            const runSeconds = workClass === WorkClass.Service ? undefined : run / 1_000;
            cell.submit(makeJob({ id, team, workClass, size, runSeconds, waitingSince: cell.now }), run);
        };
        while (cell.now < RUN_MS) {
            for (; waitingBatch < BATCH_BACKLOG; waitingBatch++) {
                submit(WorkClass.Batch, 1_000 + random.exponential(BATCH_RUN_MS));
            }
            const burst = cell.now % BURST_PERIOD_MS === 0 ? BURST_TASKS : 0;
            for (let due = burst + poisson(random, URGENT_PER_SECOND * STEP_MS / 1_000); due > 0; due--) {
                submittedUrgent++;
                submit(WorkClass.Urgent, 500 + random.exponential(URGENT_RUN_MS));
            }
            for (let due = poisson(random, SERVICES_PER_SECOND * STEP_MS / 1_000); due > 0; due--) {
                submit(WorkClass.Service, 120_000);
            }
            cell.advance(STEP_MS);
            if (cell.now % LEAVE_PERIOD_MS === 0) {
                const worker = `worker${random.below(WORKERS)}`;
                cell.loseWorkers(new Set([worker]));
                cell.at(AWAY_MS, () => cell.returnWorker(worker));
            }
            cell.round();
        }
        const urgent = waits.get(WorkClass.Urgent)!;
        return [
            { name: "urgent median", unit: "ms", value: urgent.getValueAtPercentile(50) },
            { name: "urgent 99.9th", unit: "ms", value: urgent.getValueAtPercentile(99.9), atMost: URGENT_TARGET },
            { name: "urgent maximum", unit: "ms", value: urgent.maxValue },
            { name: "urgent not started", unit: "tasks", value: submittedUrgent - cell.startedOf(WorkClass.Urgent) },
            { name: "service 99th", unit: "ms", value: waits.get(WorkClass.Service)!.getValueAtPercentile(99) },
            { name: "batch median", unit: "ms", value: waits.get(WorkClass.Batch)!.getValueAtPercentile(50) },
            { name: "preemptions for 1,000 urgent", unit: "tasks", value: 1_000 * cell.preemptions / submittedUrgent },
        ];
    },
};

/** Number of arrivals in one step with the given mean. */
function poisson(random: Random, mean: number): number {
    let count = 0;
    for (let left = random.exponential(1); left < mean; left += random.exponential(1)) {
        count++;
    }
    return count;
}
