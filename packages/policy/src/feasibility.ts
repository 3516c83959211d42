/** Checks whether a shape could run if the shard were empty, and finds the nearest shape that could. */
import { multiplyResources, noResources, type Resources } from "@tanagerlink/model";
import { countFitting, resourcesKey } from "./mutableResources.ts";
import type { Feasibility } from "./schedulingPolicy.ts";

/** Steps of the bisection for the largest scale at which all tasks of a gang fit. */
const BISECTION_STEPS = 24;

/** Workers of equal capacity. */
interface CapacityGroup {
    readonly capacity: Resources;
    count: number;
}

/** Checks the shape against workers with the given capacities. */
export function checkFeasibility(
    capacities: Iterable<Resources>,
    size: Resources,
    tasks: number,
    allAtOnce: boolean,
): Feasibility {
    const groups = groupByCapacity(capacities);
    if (groups.length === 0) {
        return { feasible: false, reason: "the shard has no workers", nearest: noResources };
    }
    const needed = allAtOnce ? tasks : Math.min(1, tasks);
    const fitting = totalFitting(groups, size, needed);
    if (fitting >= needed) {
        return { feasible: true };
    }
    const nearest = nearestTaskSize(groups, size);
    if (fitting === 0 && totalFitting(groups, nearest, needed) >= needed) {
        return { feasible: false, reason: `no worker can hold ${describeSize(size)}`, nearest };
    }
    const reason = fitting === 0
        ? `no worker can hold ${describeSize(size)}`
        : `only ${fitting} of ${tasks} tasks of ${describeSize(size)} fit at once`;
    return { feasible: false, reason, nearest: largestFittingScale(groups, nearest, needed) };
}

function groupByCapacity(capacities: Iterable<Resources>): CapacityGroup[] {
    const groups = new Map<string, CapacityGroup>();
    for (const capacity of capacities) {
        const key = resourcesKey(capacity);
        const group = groups.get(key) ?? { capacity, count: 0 };
        group.count++;
        groups.set(key, group);
    }
    return [...groups.values()];
}

function totalFitting(groups: readonly CapacityGroup[], size: Resources, limit: number): number {
    return groups.reduce((sum, group) => sum + group.count * countFitting(size, group.capacity, limit), 0);
}

/** The size limited to the capacity of the group that requires the smallest relative reduction. */
function nearestTaskSize(groups: readonly CapacityGroup[], size: Resources): Resources {
    let best = noResources;
    let bestLoss = Infinity;
    for (const { capacity } of groups) {
        const reduced = {
            processorMillis: Math.min(size.processorMillis, capacity.processorMillis),
            memoryMebibytes: Math.min(size.memoryMebibytes, capacity.memoryMebibytes),
            accelerators: Math.min(size.accelerators, capacity.accelerators),
        };
        const loss = relativeLoss(size.processorMillis, reduced.processorMillis)
            + relativeLoss(size.memoryMebibytes, reduced.memoryMebibytes)
            + relativeLoss(size.accelerators, reduced.accelerators);
        if (loss < bestLoss) {
            best = reduced;
            bestLoss = loss;
        }
    }
    return best;
}

function relativeLoss(requested: number, granted: number): number {
    return requested === 0 ? 0 : (requested - granted) / requested;
}

/** The size scaled down equally in all resources until all tasks fit together. */
function largestFittingScale(groups: readonly CapacityGroup[], size: Resources, tasks: number): Resources {
    let low = 0;
    let high = 1;
    for (let step = 0; step < BISECTION_STEPS; step++) {
        const middle = (low + high) / 2;
        if (totalFitting(groups, scaled(size, middle), tasks) >= tasks) {
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

function describeSize(size: Resources): string {
    return `${size.processorMillis} processor millis, ${size.memoryMebibytes} MiB and ${size.accelerators} accelerators`;
}
