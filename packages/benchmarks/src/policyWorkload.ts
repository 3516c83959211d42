/**
 * Random workload of the policy benchmarks. Sizes, run times and the part of accelerator work follow the users' sites:
 * workers with 16 processors and 64 GiB, and a fifth with 32 processors, 128 GiB and 8 accelerators.
 */
import { type Resources, WorkClass } from "@tanagerlink/model";
import type { PolicyWorker, WaitingJob } from "@tanagerlink/policy";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const GIBIBYTE = 1_024;
const RACK_SIZE = 40;
/** Each fifth worker has accelerators. */
const ACCELERATOR_PERIOD = 5;
/** Part of tasks with accelerators; with it the mix asks for the three resources as the workers offer them. */
const ACCELERATOR_TASKS = 0.109;

const plainWorker: Resources = { processorMillis: 16_000, memoryMebibytes: 64 * GIBIBYTE, accelerators: 0 };
const acceleratorWorker: Resources = { processorMillis: 32_000, memoryMebibytes: 128 * GIBIBYTE, accelerators: 8 };

const processorChoices = [250, 500, 500, 750, 1_000, 1_000, 1_500, 2_000, 2_000, 3_000, 4_000, 6_000] as const;
const gibibytesPerProcessor = [1, 2, 3, 4, 4, 5, 6, 8] as const;
const acceleratorChoices = [1, 1, 1, 1, 2, 2, 4] as const;

/** Seeded random numbers. */
export class Random {
    private readonly generator: RandomGenerator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Whole number below `limit`. */
    below(limit: number): number {
        return uniformInt(this.generator, 0, limit - 1);
    }

    fraction(): number {
        return uniformFloat64(this.generator);
    }

    pick<Item>(items: readonly Item[]): Item {
        return items[this.below(items.length)]!;
    }

    /** Exponentially distributed with the given mean. */
    exponential(mean: number): number {
        return -Math.log(1 - this.fraction()) * mean;
    }
}

/** Workers of a shard in racks. */
export function makeWorkers(count: number): PolicyWorker[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `worker${index}`,
        rack: `rack${Math.floor(index / RACK_SIZE)}`,
        capacity: index % ACCELERATOR_PERIOD === 0 ? acceleratorWorker : plainWorker,
    }));
}

/** Size of one ordinary task. */
export function randomSize(random: Random): Resources {
    if (random.fraction() < ACCELERATOR_TASKS) {
        const accelerators = random.pick(acceleratorChoices);
        return {
            processorMillis: accelerators * random.pick([2_000, 3_000, 4_000]),
            memoryMebibytes: accelerators * random.pick([8, 12, 16]) * GIBIBYTE,
            accelerators,
        };
    }
    const processorMillis = random.pick(processorChoices);
    return {
        processorMillis,
        memoryMebibytes: processorMillis * random.pick(gibibytesPerProcessor) * GIBIBYTE / 1_000,
        accelerators: 0,
    };
}

/** Size of one small task, as urgent work has. */
export function randomSmallSize(random: Random): Resources {
    const processorMillis = random.pick([250, 500, 1_000]);
    return { processorMillis, memoryMebibytes: processorMillis * 2, accelerators: 0 };
}

/** Mean of many random sizes, from which the volume bound is computed. */
export function meanSize(seed: number, samples = 100_000): Resources {
    const random = new Random(seed);
    let processorMillis = 0;
    let memoryMebibytes = 0;
    let accelerators = 0;
    for (let index = 0; index < samples; index++) {
        const size = randomSize(random);
        processorMillis += size.processorMillis / samples;
        memoryMebibytes += size.memoryMebibytes / samples;
        accelerators += size.accelerators / samples;
    }
    return { processorMillis, memoryMebibytes, accelerators };
}

/** What a benchmark chooses about a job; the rest has defaults. */
export type JobChoice = Partial<WaitingJob> & Pick<WaitingJob, "id" | "size">;

/** A batch job with one task unless chosen otherwise. */
export function makeJob(choice: JobChoice): WaitingJob {
    return {
        name: "task",
        team: "team0",
        queue: "queue",
        workClass: WorkClass.Batch,
        runSeconds: 10,
        allAtOnce: false,
        preemptible: true,
        waitingTasks: [0],
        waitingSince: 0,
        ...choice,
    };
}

/** Team names with weights: a few large teams and many small ones. */
export function makeTeams(count: number): Map<string, number> {
    return new Map(Array.from({ length: count }, (_, index) => {
        return [`team${index}`, index % 50 === 0 ? 10 : index % 5 === 0 ? 3 : 1];
    }));
}
