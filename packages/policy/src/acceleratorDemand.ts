/**
 * Tracks whether accelerator work waits for capacity. While it does, other work leaves the processors and memory that
 * the free accelerators need, because accelerators cannot be used without them.
 */
import type { Resources } from "@tanagerlink/model";
import type { WaitingGroup } from "./waitingGroup.ts";

/** Protection ends this long after accelerator work last became blocked or started; what still waits may never fit. */
const MAXIMUM_PROTECTION_MILLISECONDS = 60_000;
/** Weight of the newest task in the moving averages. */
const SMOOTHING_FACTOR = 0.05;

/** Blocked accelerator work of the shard and the processors and memory that one accelerator needs. */
export class AcceleratorDemand {
    /** Moving averages of the processors and memory that accelerator tasks use for each accelerator. */
    processorMillis = 0;
    memoryMebibytes = 0;
    private readonly blockedGroups = new Set<WaitingGroup>();
    private lastChangeAt = -Infinity;

    /** Records that there was not enough free capacity for accelerator work. */
    recordBlocked(group: WaitingGroup, now: number): void {
        if (!this.blockedGroups.has(group)) {
            this.blockedGroups.add(group);
            this.lastChangeAt = now;
            this.updateAverages(group.sizeClass.size);
        }
    }

    /** Records that accelerator work was started. */
    recordStart(size: Resources, now: number): void {
        this.lastChangeAt = now;
        this.updateAverages(size);
    }

    /** Whether processors and memory must be left for free accelerators. */
    isActive(now: number): boolean {
        for (const group of this.blockedGroups) {
            if (group.blocked && group.waitingTaskCount > 0) {
                return now - this.lastChangeAt < MAXIMUM_PROTECTION_MILLISECONDS;
            }
            this.blockedGroups.delete(group);
        }
        return false;
    }

    private updateAverages({ processorMillis, memoryMebibytes, accelerators }: Resources): void {
        const weight = this.processorMillis === 0 && this.memoryMebibytes === 0 ? 1 : SMOOTHING_FACTOR;
        this.processorMillis += weight * (processorMillis / accelerators - this.processorMillis);
        this.memoryMebibytes += weight * (memoryMebibytes / accelerators - this.memoryMebibytes);
    }
}
