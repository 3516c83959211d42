/** State of one worker and of one running task inside the policy. */
import { noResources, type Resources, type WorkClass } from "@tanagerlink/model";
import type { WorkProfile } from "./learning.ts";
import { ResourceTally } from "./resourceTally.ts";

/** A task that occupies room on a worker. */
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
    /** Size counted at least: the larger of the declared and the learned size. */
    readonly minimumSize: Resources;
    /** Size counted now: the larger of the minimum and the observed size. */
    counted: Resources;
    /** Largest observed use, for learning. */
    readonly peak: ResourceTally;
    startedAt: number;
    /** Monotonic milliseconds; `Infinity` when unknown. */
    expectedEnd: number;
    /** A preemption was decided and the task has not ended yet. */
    preempted: boolean;
    /** The preemption took too long; the room is no longer expected soon. */
    stalled: boolean;
    /** Whether the task is counted in the worker's `outlasting` sum. */
    outlasts: boolean;
}

/** Room of one worker that the planned gang needs. */
export interface HeldRoom {
    readonly startAt: number;
    readonly amount: Resources;
}

/** Rooms of a worker by kind of access. */
export interface WorkerRooms {
    /** Room that any work may use. */
    readonly common: Resources;
    /** The same less what the worker's free accelerators need beside them. */
    readonly besideAccelerators: Resources;
    /** Room without the reserve; includes room held for a planned gang. */
    readonly unreserved: Resources;
    readonly open: Resources;
    /** Room if all batch work were preempted. */
    readonly afterPreemption: Resources;
}

/** Rooms of a worker that takes no work. */
export const noRooms: WorkerRooms = {
    common: noResources,
    besideAccelerators: noResources,
    unreserved: noResources,
    open: noResources,
    afterPreemption: noResources,
};

/** One worker. Sums are kept by `WorkerPool`. */
export class WorkerNode {
    readonly id: string;
    rack = "";
    capacity: Resources = noResources;
    /** Whether the worker is known now; a removed worker stays while tasks are counted on it. */
    present = false;
    available = true;
    quarantined = false;
    readonly tasks = new Set<TaskEntry>();
    /** Counted sizes of all tasks. */
    readonly used = new ResourceTally();
    /** Counted sizes of batch tasks that are not being preempted. */
    readonly preemptible = new ResourceTally();
    /** Counted sizes of tasks that are being preempted. */
    readonly ending = new ResourceTally();
    /** Room promised to urgent tasks for which tasks are being preempted. */
    readonly claimed = new ResourceTally();
    /** Room kept free for urgent work. */
    reserve: Resources = noResources;
    held: HeldRoom | undefined;
    /** Counted sizes of tasks that end after the held room is needed. */
    readonly outlasting = new ResourceTally();
    /** Rooms at the last refresh of the indexes. */
    rooms: WorkerRooms = noRooms;

    constructor(id: string) {
        this.id = id;
    }

    get usable(): boolean {
        return this.present && this.available && !this.quarantined;
    }

    /** Room that may be used at once without touching room claimed for urgent tasks. */
    openRoom(): Resources {
        const { capacity, used, ending, claimed } = this;
        const processor = capacity.processorMillis - used.processorMillis;
        const memory = capacity.memoryMebibytes - used.memoryMebibytes;
        const accelerators = capacity.accelerators - used.accelerators;
        return {
            processorMillis: processor + Math.min(0, ending.processorMillis - claimed.processorMillis),
            memoryMebibytes: memory + Math.min(0, ending.memoryMebibytes - claimed.memoryMebibytes),
            accelerators: accelerators + Math.min(0, ending.accelerators - claimed.accelerators),
        };
    }

    /** Room after the running preemptions have ended and their claims were served; may be negative. */
    projectedRoom(): Resources {
        const { capacity, used, ending, claimed } = this;
        return {
            processorMillis: capacity.processorMillis - used.processorMillis + ending.processorMillis
                - claimed.processorMillis,
            memoryMebibytes: capacity.memoryMebibytes - used.memoryMebibytes + ending.memoryMebibytes
                - claimed.memoryMebibytes,
            accelerators: capacity.accelerators - used.accelerators + ending.accelerators - claimed.accelerators,
        };
    }

    /** Room beyond what runs now, without regard to claims. */
    freeRoom(): Resources {
        return {
            processorMillis: this.capacity.processorMillis - this.used.processorMillis,
            memoryMebibytes: this.capacity.memoryMebibytes - this.used.memoryMebibytes,
            accelerators: this.capacity.accelerators - this.used.accelerators,
        };
    }
}
