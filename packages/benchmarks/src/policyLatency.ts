/** Time of one decision in a full cell: a task ends, another job arrives, and one round follows. */
import { build } from "hdr-histogram-js";
import { SimulatedCell } from "./policyCell.ts";
import { type Figure, makePolicy, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { makeJob, makeTeams, Random, randomSize } from "./policyWorkload.ts";

const WAITING_JOBS = 5_000;
const TEAMS = 490;
const NAMES_PER_TEAM = 5;
const DECISIONS = 4_000;
const WARM_UP_DECISIONS = 1_000;
const PICK_RANGE = 1_000;
const NANOSECONDS = 1e6;
/** Targets at 1,800 workers, in microseconds. */
const MEDIAN_TARGET = 100;
const P99_TARGET = 1_000;

/** Decision latency with the given number of workers. */
export function latencyBenchmark(workers: number): PolicyBenchmark {
    return {
        name: `latency, ${workers} workers`,
        run(name: PolicyName, seed: number): readonly Figure[] {
            const random = new Random(seed);
            const cell = new SimulatedCell(makePolicy(name, seed), { workers, random });
            cell.policy.setTeamShares(makeTeams(TEAMS));
            const submit = submitter(cell, random);
            fill(cell, submit);
            const histogram = build({ numberOfSignificantValueDigits: 3 });
            for (let decision = -WARM_UP_DECISIONS; decision < DECISIONS; decision++) {
                cell.advance(1);
                cell.end(pickRunning(cell, random));
                submit();
                cell.round();
                if (decision >= 0) {
                    histogram.recordValue(Math.max(1, Math.round(cell.lastRoundMilliseconds * NANOSECONDS)));
                }
            }
            const targeted = workers === 1_800;
            return [
                figure("median", histogram.getValueAtPercentile(50) / 1e3, targeted ? MEDIAN_TARGET : undefined),
                figure("99th percentile", histogram.getValueAtPercentile(99) / 1e3, targeted ? P99_TARGET : undefined),
                figure("maximum", histogram.maxValue / 1e3),
            ];
        },
    };
}

function submitter(cell: SimulatedCell, random: Random): () => void {
    let count = 0;
    return () => {
        const id = `job${count++}`;
        const team = `team${random.below(TEAMS)}`;
        const name = `name${random.below(NAMES_PER_TEAM)}`;
        cell.submit(makeJob({ id, team, name, size: randomSize(random), waitingSince: cell.now }), Infinity);
    };
}

/** Fills the cell and leaves a queue of waiting jobs. */
function fill(cell: SimulatedCell, submit: () => void): void {
    let waiting = 0;
    let placed = 1;
    while (placed > 0 || waiting < WAITING_JOBS) {
        for (; waiting < WAITING_JOBS; waiting++) {
            submit();
        }
        cell.advance(1);
        placed = cell.round(WAITING_JOBS).placements.length;
        waiting -= placed;
    }
}

/** One of the first running tasks; listing all of them for each decision would dominate the run. */
function pickRunning(cell: SimulatedCell, random: Random): string {
    let skip = random.below(Math.min(PICK_RANGE, cell.running.size));
    for (const key of cell.running.keys()) {
        if (skip-- === 0) {
            return key;
        }
    }
    return "";
}

function figure(name: string, value: number, atMost?: number): Figure {
    return { name, unit: "us", value, ...(atMost === undefined ? {} : { atMost }) };
}
