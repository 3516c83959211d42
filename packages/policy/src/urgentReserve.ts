/**
 * Part of the shard kept free of batch work for urgent work. The reserve is concentrated on few workers, because a small
 * rest on each worker would not hold a single task. It is divided by capacity, so each kind of worker has its own part.
 */
import { noResources, type Resources, subtractResources } from "@tanagerlink/model";
import { resourcesKey } from "./resourceTally.ts";
import type { WorkerNode } from "./workerNode.ts";

/** One kind of worker by its capacity. */
export interface WorkerKind {
    readonly capacity: Resources;
    /** Largest room that work without access to the reserve can ever have on a worker of this kind. */
    readonly unreserved: Resources;
}

/** Sets the reserve of each worker; calls `changed` for those whose reserve is new. */
export function distributeReserve(
    workers: Iterable<WorkerNode>,
    fraction: number,
    changed: (worker: WorkerNode) => void,
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
            assign(worker, noResources, changed);
        }
    }
    return [...groups.values()].map(group => distributeInGroup(group, fraction, changed));
}

function distributeInGroup(
    group: readonly WorkerNode[],
    fraction: number,
    changed: (worker: WorkerNode) => void,
): WorkerKind {
    const units = group.length * fraction;
    const whole = Math.floor(units);
    group.forEach((worker, position) => {
        const part = position < whole ? 1 : position === whole ? units - whole : 0;
        assign(worker, partOf(worker.capacity, part), changed);
    });
    const last = group.at(-1)!;
    return { capacity: last.capacity, unreserved: subtractResources(last.capacity, last.reserve) };
}

function assign(worker: WorkerNode, reserve: Resources, changed: (worker: WorkerNode) => void): void {
    if (resourcesKey(worker.reserve) !== resourcesKey(reserve)) {
        worker.reserve = reserve;
        changed(worker);
    }
}

function partOf(capacity: Resources, part: number): Resources {
    return {
        processorMillis: Math.round(capacity.processorMillis * part),
        memoryMebibytes: Math.round(capacity.memoryMebibytes * part),
        accelerators: Math.round(capacity.accelerators * part),
    };
}
