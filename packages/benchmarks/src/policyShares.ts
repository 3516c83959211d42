/**
 * Measures how far the usage of teams is from their shares in a full cell. The distance is half the sum, over all teams,
 * of the absolute difference between the team's fraction of all dominant shares and its fraction of all weights. It is
 * the fraction of the cell that is allocated to teams beyond their share.
 */
import { SimulatedCell } from "./policyCell.ts";
import { createPolicy, type Figure, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { createJob, createTeamWeights, Random, randomSize } from "./policyWorkload.ts";

const WORKERS = 1_800;
const TEAMS = 490;
const TIME_STEP_MILLISECONDS = 100;
const SAMPLE_INTERVAL_MILLISECONDS = 1_000;
const SIMULATED_MILLISECONDS = 600_000;
const WARM_UP_MILLISECONDS = 60_000;
const WORKER_LOSS_AT_MILLISECONDS = 240_000;
const WORKER_RETURN_AT_MILLISECONDS = 360_000;
const MINIMUM_TASK_MILLISECONDS = 2_000;
const MEAN_TASK_MILLISECONDS = 10_000;
/** Each team keeps this many tasks waiting for each unit of its weight. */
const WAITING_TASKS_PER_WEIGHT = 20;
const MAXIMUM_DISTANCE_PERCENT = 2;
const RECOVERED_DISTANCE_PERCENT = 5;
const MAXIMUM_RECOVERY_SECONDS = 60;

interface TeamState {
    readonly team: string;
    readonly weight: number;
    waitingTasks: number;
    processorMillis: number;
    memoryMebibytes: number;
    accelerators: number;
    /** Sum of the dominant shares of all samples. */
    dominantShareSum: number;
}

export const shareBenchmark: PolicyBenchmark = {
    name: "shares, 490 teams, full cell",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const weights = createTeamWeights(TEAMS);
        const teams = new Map([...weights].map(([team, weight]) => [team, createTeamState(team, weight)]));
        const cell = new SimulatedCell(createPolicy(name, seed), {
            workers: WORKERS,
            random,
            onTaskStarted: task => teams.get(task.job.team)!.waitingTasks--,
        });
        cell.policy.setTeamShares(weights);
        const submit = createSubmitter(cell, random);
        const recovery = new RecoveryTimer();
        const distances: number[] = [];
        while (cell.now < SIMULATED_MILLISECONDS) {
            for (const state of teams.values()) {
                for (; state.waitingTasks < state.weight * WAITING_TASKS_PER_WEIGHT; state.waitingTasks++) {
                    submit(state.team);
                }
            }
            cell.advance(TIME_STEP_MILLISECONDS);
            changeCapacity(cell, teams);
            cell.runRound();
            if (cell.now % SAMPLE_INTERVAL_MILLISECONDS === 0) {
                const distance = sampleDistance(cell, teams);
                recovery.recordSample(cell.now, distance);
                if (cell.now > WARM_UP_MILLISECONDS && !recovery.isRecovering(cell.now)) {
                    distances.push(distance);
                }
            }
        }
        const mean = distances.reduce((sum, value) => sum + value, 0) / distances.length;
        const overall = shareDistance([...teams.values()], state => state.dominantShareSum);
        return [
            {
                name: "distance of mean shares, ten minutes",
                unit: "%",
                value: overall,
                atMost: MAXIMUM_DISTANCE_PERCENT,
            },
            { name: "distance at one moment, mean", unit: "%", value: mean, atMost: MAXIMUM_DISTANCE_PERCENT },
            {
                name: "back within 5 % after loss of a third",
                unit: "s",
                value: recovery.secondsAfterLoss,
                atMost: MAXIMUM_RECOVERY_SECONDS,
            },
            {
                name: "back within 5 % after its return",
                unit: "s",
                value: recovery.secondsAfterReturn,
                atMost: MAXIMUM_RECOVERY_SECONDS,
            },
        ];
    },
};

/** Measures the seconds from each change of capacity to the last sample above `RECOVERED_DISTANCE_PERCENT`. */
class RecoveryTimer {
    secondsAfterLoss = 0;
    secondsAfterReturn = 0;

    recordSample(now: number, distance: number): void {
        if (distance <= RECOVERED_DISTANCE_PERCENT) {
            return;
        }
        if (now >= WORKER_RETURN_AT_MILLISECONDS) {
            this.secondsAfterReturn = (now - WORKER_RETURN_AT_MILLISECONDS) / 1_000;
        }
        else if (now >= WORKER_LOSS_AT_MILLISECONDS) {
            this.secondsAfterLoss = (now - WORKER_LOSS_AT_MILLISECONDS) / 1_000;
        }
    }

    /** Whether the last change of capacity is less than `MAXIMUM_RECOVERY_SECONDS` ago. */
    isRecovering(now: number): boolean {
        return [WORKER_LOSS_AT_MILLISECONDS, WORKER_RETURN_AT_MILLISECONDS].some(at =>
            now >= at && now < at + MAXIMUM_RECOVERY_SECONDS * 1_000
        );
    }
}

function createTeamState(team: string, weight: number): TeamState {
    return {
        team,
        weight,
        waitingTasks: 0,
        processorMillis: 0,
        memoryMebibytes: 0,
        accelerators: 0,
        dominantShareSum: 0,
    };
}

function createSubmitter(cell: SimulatedCell, random: Random): (team: string) => void {
    let count = 0;
    return team => {
        const runMilliseconds = MINIMUM_TASK_MILLISECONDS +
            random.exponential(MEAN_TASK_MILLISECONDS - MINIMUM_TASK_MILLISECONDS);
        cell.submit(
            createJob({ id: `job${count++}`, team, size: randomSize(random), waitingSince: cell.now }),
            runMilliseconds,
        );
    };
}

/** Makes every third worker unavailable, and available again later. */
function changeCapacity(cell: SimulatedCell, teams: Map<string, TeamState>): void {
    if (cell.now !== WORKER_LOSS_AT_MILLISECONDS && cell.now !== WORKER_RETURN_AT_MILLISECONDS) {
        return;
    }
    const everyThirdWorker = new Set(Array.from({ length: WORKERS / 3 }, (_, index) => `worker${index * 3}`));
    if (cell.now === WORKER_LOSS_AT_MILLISECONDS) {
        for (const task of cell.runningTasks.values()) {
            if (everyThirdWorker.has(task.worker)) {
                teams.get(task.job.team)!.waitingTasks++;
            }
        }
        cell.disableWorkers(everyThirdWorker);
    }
    else {
        everyThirdWorker.forEach(worker => cell.enableWorker(worker));
    }
}

function sampleDistance(cell: SimulatedCell, teams: Map<string, TeamState>): number {
    for (const state of teams.values()) {
        state.processorMillis = 0;
        state.memoryMebibytes = 0;
        state.accelerators = 0;
    }
    for (const { job: { team, size } } of cell.runningTasks.values()) {
        const state = teams.get(team)!;
        state.processorMillis += size.processorMillis;
        state.memoryMebibytes += size.memoryMebibytes;
        state.accelerators += size.accelerators;
    }
    const dominantShare = (state: TeamState): number =>
        Math.max(
            state.processorMillis / cell.capacity.processorMillis,
            state.memoryMebibytes / cell.capacity.memoryMebibytes,
            state.accelerators / cell.capacity.accelerators,
        );
    for (const state of teams.values()) {
        state.dominantShareSum += dominantShare(state);
    }
    return shareDistance([...teams.values()], dominantShare);
}

function shareDistance(states: readonly TeamState[], usage: (state: TeamState) => number): number {
    const totalUsage = Math.max(Number.MIN_VALUE, states.reduce((sum, state) => sum + usage(state), 0));
    const totalWeight = states.reduce((sum, state) => sum + state.weight, 0);
    const differences = states.map(state => Math.abs(usage(state) / totalUsage - state.weight / totalWeight));
    return 50 * differences.reduce((sum, difference) => sum + difference, 0);
}
