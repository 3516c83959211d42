/** State that the policy keeps for each worker and each running task. */
import { noResources, type Resources, type WorkClass } from "@tanagerlink/model";
import { MutableResources } from "./mutableResources.ts";
import type { WorkProfile } from "./workProfiles.ts";

/** A task that occupies capacity on a worker. */
export interface TaskEntry {
    readonly job: string;
    readonly task: number;
    readonly team: string;
    readonly workClass: WorkClass;
    readonly allAtOnce: boolean;
    /** Whether the task is batch work that may be checkpointed for urgent work. */
    readonly preemptible: boolean;
    readonly worker: WorkerNode;
    /** Rack of the worker when the task was counted. */
    readonly rack: string;
    readonly profile: WorkProfile;
    /** Lower bound of the counted size: the component-wise maximum of the declared and the learned size. */
    readonly minimumSize: Resources;
    /** Capacity that the task occupies: the component-wise maximum of the minimum and the observed size. */
    countedSize: Resources;
    /** Largest observed usage, recorded in the profile at the end of the task. */
    readonly peakUsage: MutableResources;
    startedAt: number;
    /** Monotonic milliseconds; `Infinity` if unknown. */
    expectedEnd: number;
    /** Whether a preemption was decided and the task has not ended yet. */
    preempted: boolean;
    /** Whether the preemption timed out, so that its capacity is no longer expected to be free soon. */
    stalled: boolean;
    /** Whether the task is counted in the worker's `outlastingHold` sum. */
    outlastsHold: boolean;
}

/** Capacity of one worker that is held for the planned gang. */
export interface HeldCapacity {
    readonly startAt: number;
    readonly amount: Resources;
}

/** Free capacities of a worker by kind of access. */
export interface FreeCapacities {
    /** Capacity that any work may use. */
    readonly common: Resources;
    /** The same less the processors and memory that the worker's free accelerators need. */
    readonly besideAccelerators: Resources;
    /** Capacity outside the urgent reserve; includes capacity held for a planned gang. */
    readonly unreserved: Resources;
    /** All free capacity that no preemption has claimed; includes the urgent reserve and held capacity. */
    readonly unclaimed: Resources;
    /** Projected free capacity if all batch work were preempted. */
    readonly afterPreemption: Resources;
}

/** Free capacities of a worker that accepts no work. */
export const noFreeCapacities: FreeCapacities = {
    common: noResources,
    besideAccelerators: noResources,
    unreserved: noResources,
    unclaimed: noResources,
    afterPreemption: noResources,
};

/** One worker. Its sums are maintained by `WorkerPool`. */
export class WorkerNode {
    readonly id: string;
    rack = "";
    capacity: Resources = noResources;
    /** False before the worker is added and after it is removed, while tasks are still counted on it. */
    present = false;
    available = true;
    quarantined = false;
    readonly tasks = new Set<TaskEntry>();
    /** Counted sizes of all tasks. */
    readonly used = new MutableResources();
    /** Counted sizes of batch tasks that are not being preempted. */
    readonly preemptible = new MutableResources();
    /** Counted sizes of tasks that are being preempted. */
    readonly beingPreempted = new MutableResources();
    /** Capacity claimed for urgent tasks for which other tasks are being preempted. */
    readonly claimed = new MutableResources();
    /** Capacity kept free for urgent work. */
    reserve: Resources = noResources;
    held: HeldCapacity | undefined;
    /** Counted sizes of tasks that are expected to run past the planned start for which capacity is held. */
    readonly outlastingHold = new MutableResources();
    /** Free capacities at the last refresh of the indexes. */
    freeCapacities: FreeCapacities = noFreeCapacities;

    constructor(id: string) {
        this.id = id;
    }

    get isUsable(): boolean {
        return this.present && this.available && !this.quarantined;
    }

    /** Free capacity that may be used now without reducing what is claimed for urgent tasks. */
    unclaimedCapacity(): Resources {
        const { capacity, used, beingPreempted, claimed } = this;
        const processor = capacity.processorMillis - used.processorMillis;
        const memory = capacity.memoryMebibytes - used.memoryMebibytes;
        const accelerators = capacity.accelerators - used.accelerators;
        return {
            processorMillis: processor + Math.min(0, beingPreempted.processorMillis - claimed.processorMillis),
            memoryMebibytes: memory + Math.min(0, beingPreempted.memoryMebibytes - claimed.memoryMebibytes),
            accelerators: accelerators + Math.min(0, beingPreempted.accelerators - claimed.accelerators),
        };
    }

    /** Free capacity after the pending preemptions have ended and their claims have been used; may be negative. */
    projectedFreeCapacity(): Resources {
        const { capacity, used, beingPreempted, claimed } = this;
        return {
            processorMillis: capacity.processorMillis - used.processorMillis + beingPreempted.processorMillis
                - claimed.processorMillis,
            memoryMebibytes: capacity.memoryMebibytes - used.memoryMebibytes + beingPreempted.memoryMebibytes
                - claimed.memoryMebibytes,
            accelerators: capacity.accelerators - used.accelerators + beingPreempted.accelerators -
                claimed.accelerators,
        };
    }

    /** Capacity that no task occupies, regardless of claims. */
    freeCapacity(): Resources {
        return {
            processorMillis: this.capacity.processorMillis - this.used.processorMillis,
            memoryMebibytes: this.capacity.memoryMebibytes - this.used.memoryMebibytes,
            accelerators: this.capacity.accelerators - this.used.accelerators,
        };
    }
}
