/**
 * Distance of teams from their shares in a full cell. The distance is half the sum of the differences between each
 * team's part of all dominant shares and its part of all weights: the part of the cell that is with the wrong team.
 */
import { SimulatedCell } from "./policyCell.ts";
import { type Figure, makePolicy, type PolicyBenchmark, type PolicyName } from "./policyMeasurement.ts";
import { makeJob, makeTeams, Random, randomSize } from "./policyWorkload.ts";

const WORKERS = 1_800;
const TEAMS = 490;
const STEP_MS = 100;
const SAMPLE_MS = 1_000;
const RUN_MS = 600_000;
const WARM_UP_MS = 60_000;
const LEAVE_AT_MS = 240_000;
const RETURN_AT_MS = 360_000;
const SHORTEST_RUN_MS = 2_000;
const MEAN_RUN_MS = 10_000;
/** Tasks that each team keeps waiting, for one unit of its weight. */
const BACKLOG_PER_WEIGHT = 20;
const DISTANCE_TARGET = 2;
const RECOVERED_DISTANCE = 5;
const RECOVERY_TARGET = 60;

interface TeamState {
    readonly team: string;
    readonly weight: number;
    waiting: number;
    processorMillis: number;
    memoryMebibytes: number;
    accelerators: number;
    /** Sum of the sampled dominant shares. */
    integral: number;
}

export const shareBenchmark: PolicyBenchmark = {
    name: "shares, 490 teams, full cell",
    run(name: PolicyName, seed: number): readonly Figure[] {
        const random = new Random(seed);
        const weights = makeTeams(TEAMS);
        const teams = new Map([...weights].map(([team, weight]) => [team, newTeam(team, weight)]));
        const cell = new SimulatedCell(makePolicy(name, seed), {
            workers: WORKERS,
            random,
            onStart: task => teams.get(task.job.team)!.waiting--,
        });
        cell.policy.setTeamShares(weights);
        const submit = submitter(cell, random);
        const recovery = new RecoveryClock();
        const distances: number[] = [];
        while (cell.now < RUN_MS) {
            for (const state of teams.values()) {
                for (; state.waiting < state.weight * BACKLOG_PER_WEIGHT; state.waiting++) {
                    submit(state.team);
                }
            }
            cell.advance(STEP_MS);
            moveCapacity(cell, teams);
            cell.round();
            if (cell.now % SAMPLE_MS === 0) {
                const distance = sample(cell, teams);
                recovery.observe(cell.now, distance);
                if (cell.now > WARM_UP_MS && !recovery.disturbed(cell.now)) {
                    distances.push(distance);
                }
            }
        }
        const mean = distances.reduce((sum, value) => sum + value, 0) / distances.length;
        const overall = distanceOf([...teams.values()], state => state.integral);
        return [
            { name: "distance over ten minutes", unit: "%", value: overall, atMost: DISTANCE_TARGET },
            { name: "distance at a moment, mean", unit: "%", value: mean, atMost: DISTANCE_TARGET },
            { name: "back within 5 % after a third left", unit: "s", value: recovery.left, atMost: RECOVERY_TARGET },
            { name: "back within 5 % after its return", unit: "s", value: recovery.returned, atMost: RECOVERY_TARGET },
        ];
    },
};

/** Seconds from each change of capacity to the last sample above the recovered distance. */
class RecoveryClock {
    left = 0;
    returned = 0;

    observe(now: number, distance: number): void {
        if (distance <= RECOVERED_DISTANCE) {
            return;
        }
        if (now >= RETURN_AT_MS) {
            this.returned = (now - RETURN_AT_MS) / 1_000;
        }
        else if (now >= LEAVE_AT_MS) {
            this.left = (now - LEAVE_AT_MS) / 1_000;
        }
    }

    /** Whether a change of capacity is less than a minute ago. */
    disturbed(now: number): boolean {
        return [LEAVE_AT_MS, RETURN_AT_MS].some(at => now >= at && now < at + RECOVERY_TARGET * 1_000);
    }
}

function newTeam(team: string, weight: number): TeamState {
    return { team, weight, waiting: 0, processorMillis: 0, memoryMebibytes: 0, accelerators: 0, integral: 0 };
}

function submitter(cell: SimulatedCell, random: Random): (team: string) => void {
    let count = 0;
    return team => {
        const run = SHORTEST_RUN_MS + random.exponential(MEAN_RUN_MS - SHORTEST_RUN_MS);
        cell.submit(makeJob({ id: `job${count++}`, team, size: randomSize(random), waitingSince: cell.now }), run);
    };
}

/** Takes each third worker away and brings it back. */
function moveCapacity(cell: SimulatedCell, teams: Map<string, TeamState>): void {
    if (cell.now !== LEAVE_AT_MS && cell.now !== RETURN_AT_MS) {
        return;
    }
    const third = new Set(Array.from({ length: WORKERS / 3 }, (_, index) => `worker${index * 3}`));
    if (cell.now === LEAVE_AT_MS) {
        for (const task of cell.running.values()) {
            if (third.has(task.worker)) {
                teams.get(task.job.team)!.waiting++;
            }
        }
        cell.loseWorkers(third);
    }
    else {
        third.forEach(worker => cell.returnWorker(worker));
    }
}

function sample(cell: SimulatedCell, teams: Map<string, TeamState>): number {
    for (const state of teams.values()) {
        state.processorMillis = 0;
        state.memoryMebibytes = 0;
        state.accelerators = 0;
    }
    for (const { job: { team, size } } of cell.running.values()) {
        const state = teams.get(team)!;
        state.processorMillis += size.processorMillis;
        state.memoryMebibytes += size.memoryMebibytes;
        state.accelerators += size.accelerators;
    }
    const dominant = (state: TeamState): number =>
        Math.max(
            state.processorMillis / cell.capacity.processorMillis,
            state.memoryMebibytes / cell.capacity.memoryMebibytes,
            state.accelerators / cell.capacity.accelerators,
        );
    for (const state of teams.values()) {
        state.integral += dominant(state);
    }
    return distanceOf([...teams.values()], dominant);
}

function distanceOf(states: readonly TeamState[], use: (state: TeamState) => number): number {
    const totalUse = Math.max(Number.MIN_VALUE, states.reduce((sum, state) => sum + use(state), 0));
    const totalWeight = states.reduce((sum, state) => sum + state.weight, 0);
    const differences = states.map(state => Math.abs(use(state) / totalUse - state.weight / totalWeight));
    return 50 * differences.reduce((sum, difference) => sum + difference, 0);
}
