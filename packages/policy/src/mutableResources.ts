/**
 * Mutable resource amounts. The policy changes its sums with every placement, so they are updated in place instead of
 * allocating a new object for each step.
 */
import type { Resources } from "@tanagerlink/model";

/** A mutable amount of the three resources; components may become negative. */
export class MutableResources implements Resources {
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

    /** Lowers each component to the limit where it is above it. */
    limitTo(limit: Resources): void {
        this.processorMillis = Math.min(this.processorMillis, limit.processorMillis);
        this.memoryMebibytes = Math.min(this.memoryMebibytes, limit.memoryMebibytes);
        this.accelerators = Math.min(this.accelerators, limit.accelerators);
    }

    /** Raises each component to the given minimum where it is below it. */
    raiseTo(minimum: Resources): void {
        this.processorMillis = Math.max(this.processorMillis, minimum.processorMillis);
        this.memoryMebibytes = Math.max(this.memoryMebibytes, minimum.memoryMebibytes);
        this.accelerators = Math.max(this.accelerators, minimum.accelerators);
    }

    /** A copy that later changes do not affect. */
    snapshot(): Resources {
        return {
            processorMillis: this.processorMillis,
            memoryMebibytes: this.memoryMebibytes,
            accelerators: this.accelerators,
        };
    }
}

/** Map key of a size; equal sizes have equal keys. */
export function resourcesKey(size: Resources): string {
    return `${size.processorMillis}/${size.memoryMebibytes}/${size.accelerators}`;
}

/** Number of tasks of `size` that fit into `capacity`, at most `limit`. */
export function countFitting(size: Resources, capacity: Resources, limit: number): number {
    let count = limit;
    if (size.processorMillis > 0) {
        count = Math.min(count, Math.floor(capacity.processorMillis / size.processorMillis));
    }
    if (size.memoryMebibytes > 0) {
        count = Math.min(count, Math.floor(capacity.memoryMebibytes / size.memoryMebibytes));
    }
    if (size.accelerators > 0) {
        count = Math.min(count, Math.floor(capacity.accelerators / size.accelerators));
    }
    return Math.max(0, count);
}
