import * as z from "zod";

/** A size in the three resources that packing considers together. All three are whole numbers. */
export interface Resources {
    /** Thousandths of a processor core. */
    readonly processorMillis: number;
    /** Mebibytes. */
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

/** Sum of two sizes. */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        processorMillis: left.processorMillis + right.processorMillis,
        memoryMebibytes: left.memoryMebibytes + right.memoryMebibytes,
        accelerators: left.accelerators + right.accelerators,
    };
}

/** Difference of two sizes; components may be negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        processorMillis: left.processorMillis - right.processorMillis,
        memoryMebibytes: left.memoryMebibytes - right.memoryMebibytes,
        accelerators: left.accelerators - right.accelerators,
    };
}

/** A size multiplied by a whole count. */
export function multiplyResources(size: Resources, count: number): Resources {
    return {
        processorMillis: size.processorMillis * count,
        memoryMebibytes: size.memoryMebibytes * count,
        accelerators: size.accelerators * count,
    };
}

/** The larger of two sizes in each component. */
export function maximumResources(left: Resources, right: Resources): Resources {
    return {
        processorMillis: Math.max(left.processorMillis, right.processorMillis),
        memoryMebibytes: Math.max(left.memoryMebibytes, right.memoryMebibytes),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}

/** Whether `size` fits into `room` in every component. */
export function fitsInto(size: Resources, room: Resources): boolean {
    return size.processorMillis <= room.processorMillis
        && size.memoryMebibytes <= room.memoryMebibytes
        && size.accelerators <= room.accelerators;
}
