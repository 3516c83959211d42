/** Effect of 10,000 cancellations at once on the starts of other work. */
import { performance } from "node:perf_hooks";
import { SimulatedCell } from "./policyCell.ts";
import { type Figure, makePolicy, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { makeJob, makeTeams, Random, randomSize } from "./policyWorkload.ts";

const WORKERS = 1_800;
const TEAMS = 490;
const WAITING_JOBS = 20_000;
const CANCELLATIONS = 10_000;
/** The scheduler hands cancellations to the policy in batches of this size, with a round after each. */
const BATCH_SIZE = 500;
const NAMES_PER_TEAM = 20;
const QUIET_ROUNDS = 200;

export const cancellationBenchmark: PolicyBenchmark = {
    name: "10,000 cancellations, 20,000 waiting",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const cell = new SimulatedCell(makePolicy(name, seed), { workers: WORKERS, random });
        cell.policy.setTeamShares(makeTeams(TEAMS));
        const waiting = fill(cell, random);
        const quiet = Math.max(...Array.from({ length: QUIET_ROUNDS }, () => startOne(cell)));
        const cancelled = [...waiting].filter(id => cell.waits(id)).slice(0, CANCELLATIONS);
        let cancelling = 0;
        let slowest = 0;
        for (let from = 0; from < cancelled.length; from += BATCH_SIZE) {
            const before = performance.now();
            cancelled.slice(from, from + BATCH_SIZE).forEach(id => cell.cancel(id));
            const elapsed = performance.now() - before;
            cancelling += elapsed;
            slowest = Math.max(slowest, elapsed + startOne(cell));
        }
        return [
            { name: "one cancellation", unit: "us", value: 1_000 * cancelling / cancelled.length },
            { name: "slowest start before", unit: "ms", value: quiet },
            { name: "slowest start during", unit: "ms", value: slowest },
            { name: "slowest round after", unit: "ms", value: startOne(cell) },
        ];
    },
};

function fill(cell: SimulatedCell, random: Random): Set<string> {
    const waiting = new Set<string>();
    let count = 0;
    for (let placed = 1; placed > 0 || waiting.size < WAITING_JOBS;) {
        while (waiting.size < WAITING_JOBS) {
            const id = `job${count++}`;
            const team = `team${random.below(TEAMS)}`;
            const jobName = `name${random.below(NAMES_PER_TEAM)}`;
            cell.submit(
                makeJob({ id, team, name: jobName, size: randomSize(random), waitingSince: cell.now }),
                Infinity,
            );
            waiting.add(id);
        }
        cell.advance(1);
        const { placements } = cell.round(WAITING_JOBS);
        placements.forEach(placement => waiting.delete(placement.job));
        placed = placements.length;
    }
    return waiting;
}

/** Ends one task and answers the milliseconds of the round that fills its room. */
function startOne(cell: SimulatedCell): number {
    cell.advance(1);
    cell.end(cell.running.keys().next().value!);
    cell.round();
    return cell.lastRoundMilliseconds;
}
