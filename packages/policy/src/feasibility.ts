/** Whether a shape could run if the shard were empty, and the nearest shape that could. */
import { multiplyResources, noResources, type Resources } from "@tanagerlink/model";
import { countFitting, resourcesKey } from "./resourceTally.ts";
import type { Feasibility } from "./schedulingPolicy.ts";

/** Steps of the search for the largest size of a gang's tasks that fits. */
const SCALE_STEPS = 24;

interface CapacityKind {
    readonly capacity: Resources;
    count: number;
}

/** Answers for workers with the given capacities. */
export function judgeFeasibility(
    capacities: Iterable<Resources>,
    size: Resources,
    tasks: number,
    allAtOnce: boolean,
): Feasibility {
    const kinds = groupCapacities(capacities);
    if (kinds.length === 0) {
        return { feasible: false, reason: "the shard has no workers", nearest: noResources };
    }
    const needed = allAtOnce ? tasks : Math.min(1, tasks);
    const fitting = totalFitting(kinds, size, needed);
    if (fitting >= needed) {
        return { feasible: true };
    }
    const single = nearestSingle(kinds, size);
    if (fitting === 0 && totalFitting(kinds, single, needed) >= needed) {
        return { feasible: false, reason: `no worker can hold ${describe(size)}`, nearest: single };
    }
    const reason = fitting === 0
        ? `no worker can hold ${describe(size)}`
        : `only ${fitting} of ${tasks} tasks of ${describe(size)} fit at once`;
    return { feasible: false, reason, nearest: largestScaled(kinds, single, needed) };
}

function groupCapacities(capacities: Iterable<Resources>): CapacityKind[] {
    const kinds = new Map<string, CapacityKind>();
    for (const capacity of capacities) {
        const key = resourcesKey(capacity);
        const kind = kinds.get(key) ?? { capacity, count: 0 };
        kind.count++;
        kinds.set(key, kind);
    }
    return [...kinds.values()];
}

function totalFitting(kinds: readonly CapacityKind[], size: Resources, limit: number): number {
    return kinds.reduce((sum, kind) => sum + kind.count * countFitting(size, kind.capacity, limit), 0);
}

/** The size cut to the kind of worker where least is lost. */
function nearestSingle(kinds: readonly CapacityKind[], size: Resources): Resources {
    let best = noResources;
    let bestLoss = Infinity;
    for (const { capacity } of kinds) {
        const cut = {
            processorMillis: Math.min(size.processorMillis, capacity.processorMillis),
            memoryMebibytes: Math.min(size.memoryMebibytes, capacity.memoryMebibytes),
            accelerators: Math.min(size.accelerators, capacity.accelerators),
        };
        const loss = lossOf(size.processorMillis, cut.processorMillis)
            + lossOf(size.memoryMebibytes, cut.memoryMebibytes) + lossOf(size.accelerators, cut.accelerators);
        if (loss < bestLoss) {
            best = cut;
            bestLoss = loss;
        }
    }
    return best;
}

function lossOf(asked: number, given: number): number {
    return asked === 0 ? 0 : (asked - given) / asked;
}

/** The size scaled down in all resources until all tasks fit together. */
function largestScaled(kinds: readonly CapacityKind[], size: Resources, tasks: number): Resources {
    let low = 0;
    let high = 1;
    for (let step = 0; step < SCALE_STEPS; step++) {
        const middle = (low + high) / 2;
        if (totalFitting(kinds, scaled(size, middle), tasks) >= tasks) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return scaled(size, low);
}

function scaled(size: Resources, factor: number): Resources {
    const exact = multiplyResources(size, factor);
    return {
        processorMillis: Math.floor(exact.processorMillis),
        memoryMebibytes: Math.floor(exact.memoryMebibytes),
        accelerators: Math.floor(exact.accelerators),
    };
}

function describe(size: Resources): string {
    return `${size.processorMillis} processor millis, ${size.memoryMebibytes} MiB and ${size.accelerators} accelerators`;
}
