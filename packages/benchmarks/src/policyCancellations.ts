/** Measures how 10,000 simultaneous cancellations delay the starts of other tasks. */
import { performance } from "node:perf_hooks";
import { SimulatedCell } from "./policyCell.ts";
import { createPolicy, type Figure, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { createJob, createTeamWeights, Random, randomSize } from "./policyWorkload.ts";

const WORKERS = 1_800;
const TEAMS = 490;
const WAITING_JOBS = 20_000;
const CANCELLATIONS = 10_000;
/** The scheduler passes cancellations to the policy in batches of this size, with a scheduling round after each. */
const CANCELLATIONS_PER_BATCH = 500;
const JOB_NAMES_PER_TEAM = 20;
const ROUNDS_BEFORE_CANCELLATIONS = 200;

export const cancellationBenchmark: PolicyBenchmark = {
    name: "10,000 cancellations, 20,000 waiting",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const cell = new SimulatedCell(createPolicy(name, seed), { workers: WORKERS, random });
        cell.policy.setTeamShares(createTeamWeights(TEAMS));
        const waiting = fillCell(cell, random);
        const slowestBefore = Math.max(
            ...Array.from({ length: ROUNDS_BEFORE_CANCELLATIONS }, () => measureStart(cell)),
        );
        const cancelled = [...waiting].filter(id => cell.isWaiting(id)).slice(0, CANCELLATIONS);
        let cancellationMilliseconds = 0;
        let slowestDuring = 0;
        for (let from = 0; from < cancelled.length; from += CANCELLATIONS_PER_BATCH) {
            const startedAt = performance.now();
            cancelled.slice(from, from + CANCELLATIONS_PER_BATCH).forEach(id => cell.cancel(id));
            const elapsed = performance.now() - startedAt;
            cancellationMilliseconds += elapsed;
            slowestDuring = Math.max(slowestDuring, elapsed + measureStart(cell));
        }
        return [
            { name: "one cancellation", unit: "us", value: 1_000 * cancellationMilliseconds / cancelled.length },
            { name: "slowest start before the cancellations", unit: "ms", value: slowestBefore },
            { name: "slowest start during the cancellations", unit: "ms", value: slowestDuring },
            { name: "round after the cancellations", unit: "ms", value: measureStart(cell) },
        ];
    },
};

function fillCell(cell: SimulatedCell, random: Random): Set<string> {
    const waiting = new Set<string>();
    let count = 0;
    for (let placed = 1; placed > 0 || waiting.size < WAITING_JOBS;) {
        while (waiting.size < WAITING_JOBS) {
            const id = `job${count++}`;
            const team = `team${random.integerBelow(TEAMS)}`;
            const jobName = `name${random.integerBelow(JOB_NAMES_PER_TEAM)}`;
            cell.submit(
                createJob({ id, team, name: jobName, size: randomSize(random), waitingSince: cell.now }),
                Infinity,
            );
            waiting.add(id);
        }
        cell.advance(1);
        const { placements } = cell.runRound(WAITING_JOBS);
        placements.forEach(placement => waiting.delete(placement.job));
        placed = placements.length;
    }
    return waiting;
}

/** Completes one task and returns the milliseconds of the round that reuses its capacity. */
function measureStart(cell: SimulatedCell): number {
    cell.advance(1);
    cell.endTask(cell.runningTasks.keys().next().value!);
    cell.runRound();
    return cell.lastRoundMilliseconds;
}
