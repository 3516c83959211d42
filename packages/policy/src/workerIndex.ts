/**
 * Index of workers by free room. Workers are grouped into buckets by half-octave levels of processors and memory and by
 * the number of accelerators. A search visits the non-empty buckets, whose number is bounded by the number of levels,
 * and reads single workers only in the best bucket and in buckets at the edge of the requested size.
 */
import { fitsInto, type Resources } from "@tanagerlink/model";
import { countFitting } from "./resourceTally.ts";
import type { WorkerNode } from "./workerNode.ts";

interface Slot {
    readonly worker: WorkerNode;
    room: Resources;
    bucket: Bucket;
    position: number;
}

interface Bucket {
    readonly key: number;
    readonly processorLevel: number;
    readonly memoryLevel: number;
    /** Smallest room that a worker of this bucket can have. */
    readonly floor: Resources;
    readonly slots: Slot[];
    listPosition: number;
}

/** Weights that make the three resources comparable: one divided by the mean capacity of a worker. */
export interface ResourceScale {
    readonly processor: number;
    readonly memory: number;
    readonly accelerator: number;
}

/** Additional cost of a worker, for example to spread a service; the worker with the lowest sum is chosen. */
export type WorkerCost = (worker: WorkerNode) => number;

/** Accelerators above this number share one bucket level. */
const MAXIMUM_ACCELERATOR_LEVEL = 63;
/** Workers read in a bucket where each fits; more reads do not improve packing measurably. */
const SAMPLE_SIZE = 16;
/** Workers read per bucket when an additional cost must be compared, enough to see all racks of a shard. */
const SPREAD_SAMPLE_SIZE = 64;
/** Weight of the imbalance between processors and memory left on the worker. */
const IMBALANCE_WEIGHT = 2;

/** Finds the worker whose room is left smallest and most balanced by a task. */
export class WorkerIndex {
    private readonly slots = new Map<WorkerNode, Slot>();
    private readonly buckets = new Map<number, Bucket>();
    private readonly list: Bucket[] = [];
    private scale: ResourceScale = { processor: 1, memory: 1, accelerator: 1 };

    setScale(scale: ResourceScale): void {
        this.scale = scale;
    }

    /** Sets the room of a worker. A worker with negative room in any resource is left out. */
    set(worker: WorkerNode, room: Resources): void {
        if (room.processorMillis < 0 || room.memoryMebibytes < 0 || room.accelerators < 0) {
            this.delete(worker);
            return;
        }
        const slot = this.slots.get(worker);
        const key = bucketKey(room);
        if (slot !== undefined && slot.bucket.key === key) {
            slot.room = room;
            return;
        }
        if (slot !== undefined) {
            this.detach(slot);
        }
        const bucket = this.bucketFor(key, room);
        const added = { worker, room, bucket, position: bucket.slots.length };
        bucket.slots.push(added);
        this.slots.set(worker, added);
    }

    delete(worker: WorkerNode): void {
        const slot = this.slots.get(worker);
        if (slot !== undefined) {
            this.detach(slot);
            this.slots.delete(worker);
        }
    }

    workers(): Iterable<WorkerNode> {
        return this.slots.keys();
    }

    /** Best worker with room for `size`, or `undefined` when no worker has it. */
    find(size: Resources, cost?: WorkerCost): WorkerNode | undefined {
        const processorLevel = level(size.processorMillis);
        const memoryLevel = level(size.memoryMebibytes);
        const accelerators = Math.min(size.accelerators, MAXIMUM_ACCELERATOR_LEVEL);
        let best: WorkerNode | undefined;
        let bestScore = Infinity;
        for (const bucket of this.list) {
            const excluded = bucket.floor.accelerators < accelerators || bucket.processorLevel < processorLevel
                || bucket.memoryLevel < memoryLevel;
            // With an additional cost, a bucket's score says too little to leave the bucket out.
            if (excluded || (cost === undefined && this.score(bucket.floor, size) >= bestScore)) {
                continue;
            }
            const samples = fitsInto(size, bucket.floor)
                ? (cost === undefined ? SAMPLE_SIZE : SPREAD_SAMPLE_SIZE)
                : bucket.slots.length;
            const stride = Math.max(1, Math.floor(bucket.slots.length / samples));
            for (let position = 0; position < bucket.slots.length; position += stride) {
                const slot = bucket.slots[position]!;
                if (!fitsInto(size, slot.room)) {
                    continue;
                }
                const score = this.score(slot.room, size) + (cost === undefined ? 0 : cost(slot.worker));
                if (score < bestScore) {
                    best = slot.worker;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** Up to `limit` workers with room for `size`, from evenly spaced positions. */
    sample(size: Resources, limit: number): WorkerNode[] {
        const found: WorkerNode[] = [];
        for (const bucket of this.list) {
            if (bucket.floor.accelerators < Math.min(size.accelerators, MAXIMUM_ACCELERATOR_LEVEL)) {
                continue;
            }
            const surelyFits = fitsInto(size, bucket.floor);
            const stride = surelyFits ? Math.max(1, Math.floor(bucket.slots.length / limit)) : 1;
            for (let position = 0; position < bucket.slots.length && found.length < limit; position += stride) {
                const slot = bucket.slots[position]!;
                if (surelyFits || fitsInto(size, slot.room)) {
                    found.push(slot.worker);
                }
            }
        }
        return found;
    }

    /** Number of tasks of `size` that fit, counted up to `limit`. */
    count(size: Resources, limit: number): number {
        let total = 0;
        const processorLevel = level(size.processorMillis);
        const memoryLevel = level(size.memoryMebibytes);
        for (const bucket of this.list) {
            if (bucket.processorLevel < processorLevel || bucket.memoryLevel < memoryLevel) {
                continue;
            }
            for (const slot of bucket.slots) {
                total += countFitting(size, slot.room, limit);
                if (total >= limit) {
                    return limit;
                }
            }
        }
        return total;
    }

    private score(room: Resources, size: Resources): number {
        const processor = (room.processorMillis - size.processorMillis) * this.scale.processor;
        const memory = (room.memoryMebibytes - size.memoryMebibytes) * this.scale.memory;
        const accelerator = (room.accelerators - size.accelerators) * this.scale.accelerator;
        return processor + memory + accelerator + IMBALANCE_WEIGHT * Math.abs(processor - memory);
    }

    private bucketFor(key: number, room: Resources): Bucket {
        const known = this.buckets.get(key);
        if (known !== undefined) {
            return known;
        }
        const processorLevel = level(room.processorMillis);
        const memoryLevel = level(room.memoryMebibytes);
        const bucket: Bucket = {
            key,
            processorLevel,
            memoryLevel,
            floor: {
                processorMillis: levelFloor(processorLevel),
                memoryMebibytes: levelFloor(memoryLevel),
                accelerators: Math.min(room.accelerators, MAXIMUM_ACCELERATOR_LEVEL),
            },
            slots: [],
            listPosition: this.list.length,
        };
        this.buckets.set(key, bucket);
        this.list.push(bucket);
        return bucket;
    }

    private detach(slot: Slot): void {
        const { bucket } = slot;
        const last = bucket.slots.pop()!;
        if (last !== slot) {
            bucket.slots[slot.position] = last;
            last.position = slot.position;
        }
        if (bucket.slots.length === 0) {
            this.buckets.delete(bucket.key);
            const lastBucket = this.list.pop()!;
            if (lastBucket !== bucket) {
                this.list[bucket.listPosition] = lastBucket;
                lastBucket.listPosition = bucket.listPosition;
            }
        }
    }
}

/** Half-octave level of a whole number; 0 only for 0. */
function level(value: number): number {
    if (value <= 1) {
        return value <= 0 ? 0 : 1;
    }
    const octave = 31 - Math.clz32(value);
    return 2 * octave + ((value >> (octave - 1)) & 1) + 1;
}

/** Smallest value of a level. */
function levelFloor(valueLevel: number): number {
    if (valueLevel <= 1) {
        return valueLevel;
    }
    const octave = (valueLevel - 1) >> 1;
    return (1 << octave) + ((valueLevel - 1) & 1) * (1 << (octave - 1));
}

function bucketKey(room: Resources): number {
    const accelerators = Math.min(room.accelerators, MAXIMUM_ACCELERATOR_LEVEL);
    return (accelerators * 64 + level(room.processorMillis)) * 64 + level(room.memoryMebibytes);
}
