/** Measures decision latency in a full cell. For each decision a task ends, a job arrives and one round runs. */
import { build } from "hdr-histogram-js";
import { SimulatedCell } from "./policyCell.ts";
import { createPolicy, type Figure, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { createJob, createTeamWeights, Random, randomSize } from "./policyWorkload.ts";

const WAITING_JOBS = 5_000;
const TEAMS = 490;
const JOB_NAMES_PER_TEAM = 5;
const DECISIONS = 4_000;
const WARM_UP_DECISIONS = 1_000;
const MAXIMUM_SKIPPED_TASKS = 1_000;
const NANOSECONDS_PER_MILLISECOND = 1e6;
/** The targets apply to 1,800 workers. */
const MAXIMUM_MEDIAN_MICROSECONDS = 100;
const MAXIMUM_P99_MICROSECONDS = 1_000;

export function latencyBenchmark(workers: number): PolicyBenchmark {
    return {
        name: `latency, ${workers} workers`,
        run(name: PolicyName, seed: number): readonly Figure[] {
            const random = new Random(seed);
            const cell = new SimulatedCell(createPolicy(name, seed), { workers, random });
            cell.policy.setTeamShares(createTeamWeights(TEAMS));
            const submit = createSubmitter(cell, random);
            fillCell(cell, submit);
            const histogram = build({ numberOfSignificantValueDigits: 3 });
            for (let decision = -WARM_UP_DECISIONS; decision < DECISIONS; decision++) {
                cell.advance(1);
                cell.endTask(pickRunningTask(cell, random));
                submit();
                cell.runRound();
                if (decision >= 0) {
                    histogram.recordValue(
                        Math.max(1, Math.round(cell.lastRoundMilliseconds * NANOSECONDS_PER_MILLISECOND)),
                    );
                }
            }
            const hasTarget = workers === 1_800;
            return [
                latencyFigure(
                    "median",
                    histogram.getValueAtPercentile(50) / 1e3,
                    hasTarget ? MAXIMUM_MEDIAN_MICROSECONDS : undefined,
                ),
                latencyFigure(
                    "99th percentile",
                    histogram.getValueAtPercentile(99) / 1e3,
                    hasTarget ? MAXIMUM_P99_MICROSECONDS : undefined,
                ),
                latencyFigure("maximum", histogram.maxValue / 1e3),
            ];
        },
    };
}

function createSubmitter(cell: SimulatedCell, random: Random): () => void {
    let count = 0;
    return () => {
        const id = `job${count++}`;
        const team = `team${random.integerBelow(TEAMS)}`;
        const name = `name${random.integerBelow(JOB_NAMES_PER_TEAM)}`;
        cell.submit(createJob({ id, team, name, size: randomSize(random), waitingSince: cell.now }), Infinity);
    };
}

/** Fills the cell and leaves `WAITING_JOBS` jobs in the queue. */
function fillCell(cell: SimulatedCell, submit: () => void): void {
    let waitingJobs = 0;
    let placed = 1;
    while (placed > 0 || waitingJobs < WAITING_JOBS) {
        for (; waitingJobs < WAITING_JOBS; waitingJobs++) {
            submit();
        }
        cell.advance(1);
        placed = cell.runRound(WAITING_JOBS).placements.length;
        waitingJobs -= placed;
    }
}

/** Returns the key of one of the first running tasks. Listing all of them for each decision would dominate the run time. */
function pickRunningTask(cell: SimulatedCell, random: Random): string {
    let skip = random.integerBelow(Math.min(MAXIMUM_SKIPPED_TASKS, cell.runningTasks.size));
    for (const key of cell.runningTasks.keys()) {
        if (skip-- === 0) {
            return key;
        }
    }
    return "";
}

function latencyFigure(name: string, value: number, atMost?: number): Figure {
    return { name, unit: "us", value, ...(atMost === undefined ? {} : { atMost }) };
}
