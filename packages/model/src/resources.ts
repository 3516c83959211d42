import * as z from "zod";

/** Amounts of the three resources that placement considers together, as whole numbers. */
export interface Resources {
    /** Thousandths of a processor core (millicores). */
    readonly processorMillis: number;
    readonly memoryMebibytes: number;
    /** Whole accelerators. */
    readonly accelerators: number;
}

export const resourcesSchema = z.strictObject({
    processorMillis: z.int().min(0).max(1_000_000_000),
    memoryMebibytes: z.int().min(0).max(1_000_000_000),
    accelerators: z.int().min(0).max(1_000_000).default(0),
});

export const noResources: Resources = { processorMillis: 0, memoryMebibytes: 0, accelerators: 0 };

/** Adds two sizes. */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        processorMillis: left.processorMillis + right.processorMillis,
        memoryMebibytes: left.memoryMebibytes + right.memoryMebibytes,
        accelerators: left.accelerators + right.accelerators,
    };
}

/** Subtracts one size from another; components of the result may be negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        processorMillis: left.processorMillis - right.processorMillis,
        memoryMebibytes: left.memoryMebibytes - right.memoryMebibytes,
        accelerators: left.accelerators - right.accelerators,
    };
}

/** Multiplies a size by a whole number. */
export function multiplyResources(size: Resources, count: number): Resources {
    return {
        processorMillis: size.processorMillis * count,
        memoryMebibytes: size.memoryMebibytes * count,
        accelerators: size.accelerators * count,
    };
}

/** Component-wise maximum of two sizes. */
export function maximumResources(left: Resources, right: Resources): Resources {
    return {
        processorMillis: Math.max(left.processorMillis, right.processorMillis),
        memoryMebibytes: Math.max(left.memoryMebibytes, right.memoryMebibytes),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}

/** Whether `size` is at most `capacity` in every component. */
export function fitsInto(size: Resources, capacity: Resources): boolean {
    return size.processorMillis <= capacity.processorMillis
        && size.memoryMebibytes <= capacity.memoryMebibytes
        && size.accelerators <= capacity.accelerators;
}
