/**
 * Mutable sums of resources. The policy changes such sums for each placement, so they are updated in place instead of
 * allocating a new object for each step.
 */
import type { Resources } from "@tanagerlink/model";

/** A running sum in three resources; components may become negative. */
export class ResourceTally implements Resources {
    processorMillis = 0;
    memoryMebibytes = 0;
    accelerators = 0;

    add(size: Resources, count = 1): void {
        this.processorMillis += size.processorMillis * count;
        this.memoryMebibytes += size.memoryMebibytes * count;
        this.accelerators += size.accelerators * count;
    }

    subtract(size: Resources): void {
        this.add(size, -1);
    }

    assign(size: Resources): void {
        this.processorMillis = size.processorMillis;
        this.memoryMebibytes = size.memoryMebibytes;
        this.accelerators = size.accelerators;
    }

    /** Keeps the smaller of both in each component. */
    lower(limit: Resources): void {
        this.processorMillis = Math.min(this.processorMillis, limit.processorMillis);
        this.memoryMebibytes = Math.min(this.memoryMebibytes, limit.memoryMebibytes);
        this.accelerators = Math.min(this.accelerators, limit.accelerators);
    }

    /** Keeps the larger of both in each component. */
    raise(limit: Resources): void {
        this.processorMillis = Math.max(this.processorMillis, limit.processorMillis);
        this.memoryMebibytes = Math.max(this.memoryMebibytes, limit.memoryMebibytes);
        this.accelerators = Math.max(this.accelerators, limit.accelerators);
    }

    /** An unchanging copy. */
    snapshot(): Resources {
        return {
            processorMillis: this.processorMillis,
            memoryMebibytes: this.memoryMebibytes,
            accelerators: this.accelerators,
        };
    }
}

/** Key that is equal exactly for equal sizes. */
export function resourcesKey(size: Resources): string {
    return `${size.processorMillis}/${size.memoryMebibytes}/${size.accelerators}`;
}

/** Number of tasks of `size` that fit into `room`, at most `limit`. */
export function countFitting(size: Resources, room: Resources, limit: number): number {
    let count = limit;
    if (size.processorMillis > 0) {
        count = Math.min(count, Math.floor(room.processorMillis / size.processorMillis));
    }
    if (size.memoryMebibytes > 0) {
        count = Math.min(count, Math.floor(room.memoryMebibytes / size.memoryMebibytes));
    }
    if (size.accelerators > 0) {
        count = Math.min(count, Math.floor(room.accelerators / size.accelerators));
    }
    return Math.max(0, count);
}
