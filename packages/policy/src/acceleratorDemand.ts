/**
 * Whether accelerator work waits for room. While it does, other work leaves processors and memory beside the free
 * accelerators, because accelerators without them cannot be used.
 */
import type { Resources } from "@tanagerlink/model";
import type { WaitingGroup } from "./waitingGroup.ts";

/** Room is left for this long after accelerator work began to wait or last started; then it may never fit anyway. */
const LONGEST_CLAIM_MS = 60_000;
/** Weight of the newest task in the mean need of one accelerator. */
const SMOOTHING = 0.05;

/** Waiting accelerator work of the shard and what one accelerator needs beside it. */
export class AcceleratorDemand {
    /** Mean processors and memory of accelerator tasks for one accelerator. */
    processorMillis = 0;
    memoryMebibytes = 0;
    private readonly groups = new Set<WaitingGroup>();
    private lastChange = -Infinity;

    /** Accelerator work found no room. */
    blocked(group: WaitingGroup, now: number): void {
        if (!this.groups.has(group)) {
            this.groups.add(group);
            this.lastChange = now;
            this.learn(group.sizeClass.size);
        }
    }

    /** Accelerator work was started. */
    started(size: Resources, now: number): void {
        this.lastChange = now;
        this.learn(size);
    }

    /** Whether room must be left. */
    isActive(now: number): boolean {
        for (const group of this.groups) {
            if (group.blocked && group.waiting > 0) {
                return now - this.lastChange < LONGEST_CLAIM_MS;
            }
            this.groups.delete(group);
        }
        return false;
    }

    private learn({ processorMillis, memoryMebibytes, accelerators }: Resources): void {
        const weight = this.processorMillis === 0 && this.memoryMebibytes === 0 ? 1 : SMOOTHING;
        this.processorMillis += weight * (processorMillis / accelerators - this.processorMillis);
        this.memoryMebibytes += weight * (memoryMebibytes / accelerators - this.memoryMebibytes);
    }
}
