/**
 * Random workload of the policy benchmarks. Task sizes, run times and the share of accelerator tasks are modelled on
 * the users' sites: workers with 16 processors and 64 GiB of memory, and one fifth of the workers with 32 processors,
 * 128 GiB and 8 accelerators.
 */
import { type Resources, WorkClass } from "@tanagerlink/model";
import type { PolicyWorker, WaitingJob } from "@tanagerlink/policy";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const MEBIBYTES_PER_GIBIBYTE = 1_024;
const WORKERS_PER_RACK = 40;
/** Every fifth worker has accelerators. */
const ACCELERATOR_WORKER_INTERVAL = 5;
/** With this fraction, the tasks require the three resources in the same proportion as the workers provide them. */
const ACCELERATOR_TASK_FRACTION = 0.109;

const plainWorker: Resources = {
    processorMillis: 16_000,
    memoryMebibytes: 64 * MEBIBYTES_PER_GIBIBYTE,
    accelerators: 0,
};
const acceleratorWorker: Resources = {
    processorMillis: 32_000,
    memoryMebibytes: 128 * MEBIBYTES_PER_GIBIBYTE,
    accelerators: 8,
};

const processorChoices = [250, 500, 500, 750, 1_000, 1_000, 1_500, 2_000, 2_000, 3_000, 4_000, 6_000] as const;
const gibibytesPerProcessor = [1, 2, 3, 4, 4, 5, 6, 8] as const;
const acceleratorChoices = [1, 1, 1, 1, 2, 2, 4] as const;

/** Seeded random number generator. */
export class Random {
    private readonly generator: RandomGenerator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Returns a uniformly distributed integer from 0 to `limit - 1`. */
    integerBelow(limit: number): number {
        return uniformInt(this.generator, 0, limit - 1);
    }

    fraction(): number {
        return uniformFloat64(this.generator);
    }

    pick<Item>(items: readonly Item[]): Item {
        return items[this.integerBelow(items.length)]!;
    }

    /** Returns an exponentially distributed number with the given mean. */
    exponential(mean: number): number {
        return -Math.log(1 - this.fraction()) * mean;
    }
}

/** Creates the workers of a shard, distributed over racks. */
export function createWorkers(count: number): PolicyWorker[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `worker${index}`,
        rack: `rack${Math.floor(index / WORKERS_PER_RACK)}`,
        capacity: index % ACCELERATOR_WORKER_INTERVAL === 0 ? acceleratorWorker : plainWorker,
    }));
}

/** Returns the size of a task of the general mix. */
export function randomSize(random: Random): Resources {
    if (random.fraction() < ACCELERATOR_TASK_FRACTION) {
        const accelerators = random.pick(acceleratorChoices);
        return {
            processorMillis: accelerators * random.pick([2_000, 3_000, 4_000]),
            memoryMebibytes: accelerators * random.pick([8, 12, 16]) * MEBIBYTES_PER_GIBIBYTE,
            accelerators,
        };
    }
    const processorMillis = random.pick(processorChoices);
    return {
        processorMillis,
        memoryMebibytes: processorMillis * random.pick(gibibytesPerProcessor) * MEBIBYTES_PER_GIBIBYTE / 1_000,
        accelerators: 0,
    };
}

/** Returns the size of a small task, as is typical for urgent work. */
export function randomSmallSize(random: Random): Resources {
    const processorMillis = random.pick([250, 500, 1_000]);
    return { processorMillis, memoryMebibytes: processorMillis * 2, accelerators: 0 };
}

/** Returns the mean of many random task sizes, from which the volume bound is computed. */
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

/** Fields of a job that a benchmark sets; the others have defaults. */
export type JobOptions = Partial<WaitingJob> & Pick<WaitingJob, "id" | "size">;

/** Creates a job, by default a batch job with one task. */
export function createJob(options: JobOptions): WaitingJob {
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
        ...options,
    };
}

/** Returns the weights of teams by name: a few large teams and many small ones. */
export function createTeamWeights(count: number): Map<string, number> {
    return new Map(Array.from({ length: count }, (_, index) => {
        return [`team${index}`, index % 50 === 0 ? 10 : index % 5 === 0 ? 3 : 1];
    }));
}
