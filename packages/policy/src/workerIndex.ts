/**
 * Index of workers by free capacity. Workers are grouped into buckets by half-octave levels of processors and memory
 * and by the number of accelerators. A search visits the non-empty buckets, whose number is bounded by the number of
 * levels. It examines individual workers only in buckets that can improve the best score, and all workers of a bucket
 * only where some of them may be too small for the request.
 */
import { fitsInto, type Resources } from "@tanagerlink/model";
import { countFitting } from "./mutableResources.ts";
import type { WorkerNode } from "./workerNode.ts";

interface IndexedWorker {
    readonly worker: WorkerNode;
    freeCapacity: Resources;
    bucket: Bucket;
    positionInBucket: number;
}

interface Bucket {
    readonly key: number;
    readonly processorLevel: number;
    readonly memoryLevel: number;
    /** Lower bound of the free capacity of the workers in this bucket. */
    readonly minimumCapacity: Resources;
    readonly workers: IndexedWorker[];
    positionInList: number;
}

/** Weights that make the three resources comparable: the reciprocal of the mean capacity of a worker. */
export interface ResourceWeights {
    readonly processor: number;
    readonly memory: number;
    readonly accelerator: number;
}

/** Cost that is added to the packing score, for example to spread a service; the lowest sum wins. */
export type WorkerCost = (worker: WorkerNode) => number;

/** Workers with this number of free accelerators or more share one accelerator level. */
const MAXIMUM_ACCELERATOR_LEVEL = 63;
/** Factor of a level in the bucket key. Amounts of processors and memory below 2^31 have levels up to 62. */
const LEVELS_PER_DIMENSION = 64;
/** Workers examined in a bucket where the request fits into every worker; more do not improve packing measurably. */
const SAMPLE_SIZE = 16;
/** Workers examined per bucket when there is an additional cost; enough to cover all racks of a shard. */
const SPREAD_SAMPLE_SIZE = 64;
/** Weight of the imbalance between the processors and the memory that remain free on the worker. */
const IMBALANCE_WEIGHT = 2;

/** Best-fit search: finds the worker whose remaining free capacity is smallest and most balanced. */
export class WorkerIndex {
    private readonly indexedWorkers = new Map<WorkerNode, IndexedWorker>();
    private readonly bucketsByKey = new Map<number, Bucket>();
    private readonly bucketList: Bucket[] = [];
    private resourceWeights: ResourceWeights = { processor: 1, memory: 1, accelerator: 1 };

    setResourceWeights(weights: ResourceWeights): void {
        this.resourceWeights = weights;
    }

    /** Sets the free capacity of a worker. A worker with a negative amount of any resource is removed. */
    set(worker: WorkerNode, freeCapacity: Resources): void {
        if (freeCapacity.processorMillis < 0 || freeCapacity.memoryMebibytes < 0 || freeCapacity.accelerators < 0) {
            this.delete(worker);
            return;
        }
        const entry = this.indexedWorkers.get(worker);
        const key = bucketKey(freeCapacity);
        if (entry !== undefined && entry.bucket.key === key) {
            entry.freeCapacity = freeCapacity;
            return;
        }
        if (entry !== undefined) {
            this.removeFromBucket(entry);
        }
        const bucket = this.bucketFor(key, freeCapacity);
        const added = { worker, freeCapacity, bucket, positionInBucket: bucket.workers.length };
        bucket.workers.push(added);
        this.indexedWorkers.set(worker, added);
    }

    delete(worker: WorkerNode): void {
        const entry = this.indexedWorkers.get(worker);
        if (entry !== undefined) {
            this.removeFromBucket(entry);
            this.indexedWorkers.delete(worker);
        }
    }

    workers(): Iterable<WorkerNode> {
        return this.indexedWorkers.keys();
    }

    /** Best worker into which `size` fits, or `undefined` if there is none. */
    find(size: Resources, cost?: WorkerCost): WorkerNode | undefined {
        const processorLevel = levelOf(size.processorMillis);
        const memoryLevel = levelOf(size.memoryMebibytes);
        const accelerators = Math.min(size.accelerators, MAXIMUM_ACCELERATOR_LEVEL);
        let best: WorkerNode | undefined;
        let bestScore = Infinity;
        for (const bucket of this.bucketList) {
            const excluded = bucket.minimumCapacity.accelerators < accelerators
                || bucket.processorLevel < processorLevel
                || bucket.memoryLevel < memoryLevel;
            // The bucket's lower bound can rule it out only if no additional cost changes the order.
            if (excluded || (cost === undefined && this.score(bucket.minimumCapacity, size) >= bestScore)) {
                continue;
            }
            const samples = fitsInto(size, bucket.minimumCapacity)
                ? (cost === undefined ? SAMPLE_SIZE : SPREAD_SAMPLE_SIZE)
                : bucket.workers.length;
            const stride = Math.max(1, Math.floor(bucket.workers.length / samples));
            for (let position = 0; position < bucket.workers.length; position += stride) {
                const entry = bucket.workers[position]!;
                if (!fitsInto(size, entry.freeCapacity)) {
                    continue;
                }
                const score = this.score(entry.freeCapacity, size) + (cost === undefined ? 0 : cost(entry.worker));
                if (score < bestScore) {
                    best = entry.worker;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** Up to `limit` workers into which `size` fits, taken at evenly spaced positions of the buckets. */
    sample(size: Resources, limit: number): WorkerNode[] {
        const found: WorkerNode[] = [];
        for (const bucket of this.bucketList) {
            if (bucket.minimumCapacity.accelerators < Math.min(size.accelerators, MAXIMUM_ACCELERATOR_LEVEL)) {
                continue;
            }
            const allFit = fitsInto(size, bucket.minimumCapacity);
            const stride = allFit ? Math.max(1, Math.floor(bucket.workers.length / limit)) : 1;
            for (let position = 0; position < bucket.workers.length && found.length < limit; position += stride) {
                const entry = bucket.workers[position]!;
                if (allFit || fitsInto(size, entry.freeCapacity)) {
                    found.push(entry.worker);
                }
            }
        }
        return found;
    }

    /** Number of tasks of `size` that fit into all workers together, at most `limit`. */
    countFittingTasks(size: Resources, limit: number): number {
        let total = 0;
        const processorLevel = levelOf(size.processorMillis);
        const memoryLevel = levelOf(size.memoryMebibytes);
        for (const bucket of this.bucketList) {
            if (bucket.processorLevel < processorLevel || bucket.memoryLevel < memoryLevel) {
                continue;
            }
            for (const entry of bucket.workers) {
                total += countFitting(size, entry.freeCapacity, limit);
                if (total >= limit) {
                    return limit;
                }
            }
        }
        return total;
    }

    private score(freeCapacity: Resources, size: Resources): number {
        const processor = (freeCapacity.processorMillis - size.processorMillis) * this.resourceWeights.processor;
        const memory = (freeCapacity.memoryMebibytes - size.memoryMebibytes) * this.resourceWeights.memory;
        const accelerator = (freeCapacity.accelerators - size.accelerators) * this.resourceWeights.accelerator;
        return processor + memory + accelerator + IMBALANCE_WEIGHT * Math.abs(processor - memory);
    }

    private bucketFor(key: number, freeCapacity: Resources): Bucket {
        const known = this.bucketsByKey.get(key);
        if (known !== undefined) {
            return known;
        }
        const processorLevel = levelOf(freeCapacity.processorMillis);
        const memoryLevel = levelOf(freeCapacity.memoryMebibytes);
        const bucket: Bucket = {
            key,
            processorLevel,
            memoryLevel,
            minimumCapacity: {
                processorMillis: minimumOfLevel(processorLevel),
                memoryMebibytes: minimumOfLevel(memoryLevel),
                accelerators: Math.min(freeCapacity.accelerators, MAXIMUM_ACCELERATOR_LEVEL),
            },
            workers: [],
            positionInList: this.bucketList.length,
        };
        this.bucketsByKey.set(key, bucket);
        this.bucketList.push(bucket);
        return bucket;
    }

    private removeFromBucket(entry: IndexedWorker): void {
        const { bucket } = entry;
        const last = bucket.workers.pop()!;
        if (last !== entry) {
            bucket.workers[entry.positionInBucket] = last;
            last.positionInBucket = entry.positionInBucket;
        }
        if (bucket.workers.length === 0) {
            this.bucketsByKey.delete(bucket.key);
            const lastBucket = this.bucketList.pop()!;
            if (lastBucket !== bucket) {
                this.bucketList[bucket.positionInList] = lastBucket;
                lastBucket.positionInList = bucket.positionInList;
            }
        }
    }
}

/** Half-octave level of a whole number: two levels for each power of two; 0 only for values up to 0. */
function levelOf(value: number): number {
    if (value <= 1) {
        return value <= 0 ? 0 : 1;
    }
    const octave = 31 - Math.clz32(value);
    return 2 * octave + ((value >> (octave - 1)) & 1) + 1;
}

/** Smallest value of a level. */
function minimumOfLevel(level: number): number {
    if (level <= 1) {
        return level;
    }
    const octave = (level - 1) >> 1;
    return (1 << octave) + ((level - 1) & 1) * (1 << (octave - 1));
}

function bucketKey(freeCapacity: Resources): number {
    const accelerators = Math.min(freeCapacity.accelerators, MAXIMUM_ACCELERATOR_LEVEL);
    return (accelerators * LEVELS_PER_DIMENSION + levelOf(freeCapacity.processorMillis)) * LEVELS_PER_DIMENSION
        + levelOf(freeCapacity.memoryMebibytes);
}
