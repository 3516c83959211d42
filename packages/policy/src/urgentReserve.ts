/**
 * The urgent reserve: a fraction of the shard that is kept free for urgent work. It is concentrated on few workers,
 * because a small remainder on every worker would not fit a single task. Workers are grouped by capacity, and each
 * group reserves the same fraction.
 */
import { noResources, type Resources, subtractResources } from "@tanagerlink/model";
import { resourcesKey } from "./mutableResources.ts";
import type { WorkerNode } from "./workerNode.ts";

/** Workers of equal capacity. */
export interface WorkerKind {
    readonly capacity: Resources;
    /** Largest capacity that work without access to the reserve can get on a worker of this kind. */
    readonly unreserved: Resources;
}

/** Assigns the reserve of each worker and calls `onReserveChanged` for those whose reserve has changed. */
export function distributeReserve(
    workers: Iterable<WorkerNode>,
    fraction: number,
    onReserveChanged: (worker: WorkerNode) => void,
): readonly WorkerKind[] {
    const groups = new Map<string, WorkerNode[]>();
    for (const worker of workers) {
        if (worker.present && worker.available) {
            const key = resourcesKey(worker.capacity);
            const group = groups.get(key);
            if (group === undefined) {
                groups.set(key, [worker]);
            }
            else {
                group.push(worker);
            }
        }
        else {
            assignReserve(worker, noResources, onReserveChanged);
        }
    }
    return [...groups.values()].map(group => distributeInGroup(group, fraction, onReserveChanged));
}

function distributeInGroup(
    group: readonly WorkerNode[],
    fraction: number,
    onReserveChanged: (worker: WorkerNode) => void,
): WorkerKind {
    const units = group.length * fraction;
    const whole = Math.floor(units);
    group.forEach((worker, position) => {
        const part = position < whole ? 1 : position === whole ? units - whole : 0;
        assignReserve(worker, fractionOf(worker.capacity, part), onReserveChanged);
    });
    const last = group.at(-1)!;
    return { capacity: last.capacity, unreserved: subtractResources(last.capacity, last.reserve) };
}

function assignReserve(worker: WorkerNode, reserve: Resources, onReserveChanged: (worker: WorkerNode) => void): void {
    if (resourcesKey(worker.reserve) !== resourcesKey(reserve)) {
        worker.reserve = reserve;
        onReserveChanged(worker);
    }
}

function fractionOf(capacity: Resources, part: number): Resources {
    return {
        processorMillis: Math.round(capacity.processorMillis * part),
        memoryMebibytes: Math.round(capacity.memoryMebibytes * part),
        accelerators: Math.round(capacity.accelerators * part),
    };
}
