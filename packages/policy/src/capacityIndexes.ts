/**
 * Indexes of the workers by free capacity, one for each kind of access, and the workers whose free capacity has grown
 * since the last round.
 */
import { addResources, fitsInto, type Resources, subtractResources } from "@tanagerlink/model";
import type { AcceleratorDemand } from "./acceleratorDemand.ts";
import { MutableResources } from "./mutableResources.ts";
import { type ResourceWeights, type WorkerCost, WorkerIndex } from "./workerIndex.ts";
import { type HeldCapacity, noFreeCapacities, type WorkerNode } from "./workerNode.ts";

/** Whether a task may use the urgent reserve and the capacity held for the planned gang. */
export interface CapacityAccess {
    /** Whether the task may use capacity kept free for urgent work. */
    readonly reserve: boolean;
    /** Whether the task may use capacity held for the planned gang. */
    readonly held: boolean;
}

/** Access of ordinary work. */
export const ordinaryAccess: CapacityAccess = { reserve: false, held: false };
/** Access of the planned gang and of work that ends before it starts. */
export const heldAccess: CapacityAccess = { reserve: false, held: true };
/** Access of urgent work. */
export const fullAccess: CapacityAccess = { reserve: true, held: true };

/** Free capacities of all usable workers. */
export class CapacityIndexes {
    /** Common capacity, as in `FreeCapacities`, of workers without accelerators. */
    private readonly withoutAccelerators = new WorkerIndex();
    /** Common capacity of workers with accelerators. */
    private readonly withAccelerators = new WorkerIndex();
    /** The same less the processors and memory that the free accelerators need. */
    private readonly besideAccelerators = new WorkerIndex();
    /** Capacity outside the urgent reserve, on workers where capacity is held for a gang. */
    private readonly unreserved = new WorkerIndex();
    /** All unclaimed capacity, on workers where it may exceed the common capacity. */
    private readonly unclaimed = new WorkerIndex();
    /** All unclaimed capacity of workers whose reserve is at least half free and that hold nothing for a gang. */
    private readonly halfFreeReserve = new WorkerIndex();
    /** Projected capacity if all batch work were preempted, on workers with such work. */
    private readonly afterPreemption = new WorkerIndex();
    private readonly allIndexes = [
        this.withoutAccelerators,
        this.withAccelerators,
        this.besideAccelerators,
        this.unreserved,
        this.unclaimed,
        this.halfFreeReserve,
        this.afterPreemption,
    ];
    private readonly acceleratorDemand: AcceleratorDemand;
    private protectsAccelerators = false;
    /** Workers whose free capacity has grown since the last call of `takeGrownWorkers`. */
    private grownWorkers = new Set<WorkerNode>();

    constructor(acceleratorDemand: AcceleratorDemand) {
        this.acceleratorDemand = acceleratorDemand;
    }

    /** Sets whether work without accelerators must leave the processors and memory that free accelerators need. */
    setAcceleratorProtection(isActive: boolean): void {
        if (this.protectsAccelerators && !isActive) {
            for (const worker of this.withAccelerators.workers()) {
                this.grownWorkers.add(worker);
            }
        }
        this.protectsAccelerators = isActive;
    }

    /** Kind of capacity that tasks of a size may use with ordinary access. */
    commonCapacityKind(size: Resources): "common" | "besideAccelerators" {
        return size.accelerators === 0 && this.protectsAccelerators ? "besideAccelerators" : "common";
    }

    setResourceWeights(weights: ResourceWeights): void {
        this.allIndexes.forEach(index => index.setResourceWeights(weights));
    }

    /** Best worker into which `size` fits within the access, or `undefined`. */
    find(size: Resources, access: CapacityAccess, cost?: WorkerCost): WorkerNode | undefined {
        const common = this.findCommon(size, access, cost);
        if (common !== undefined) {
            return common;
        }
        const unreserved = access.held ? this.unreserved.find(size, cost) : undefined;
        if (unreserved !== undefined || !access.reserve) {
            return unreserved;
        }
        return this.unclaimed.find(size, cost);
    }

    /** Best worker into which `size` fits and whose reserve is at least half free, or `undefined`. */
    findInReserve(size: Resources): WorkerNode | undefined {
        return this.halfFreeReserve.find(size);
    }

    preemptionCandidates(size: Resources, limit: number): WorkerNode[] {
        return this.afterPreemption.sample(size, limit);
    }

    countFittingTasks(size: Resources, limit: number): number {
        const accelerated = this.commonCapacityKind(size) === "common"
            ? this.withAccelerators
            : this.besideAccelerators;
        const count = accelerated.countFittingTasks(size, limit);
        return size.accelerators > 0 ? count : count + this.withoutAccelerators.countFittingTasks(size, limit);
    }

    takeGrownWorkers(): Set<WorkerNode> {
        const { grownWorkers } = this;
        this.grownWorkers = new Set();
        return grownWorkers;
    }

    withoutRecordingGrowth<Value>(change: () => Value): Value {
        const { grownWorkers } = this;
        this.grownWorkers = new Set();
        const value = change();
        this.grownWorkers = grownWorkers;
        return value;
    }

    /**
     * Updates the free capacities of a worker. With `retry`, blocked work is retried there even if nothing has grown.
     */
    refresh(node: WorkerNode, retry = false): void {
        if (!node.isUsable) {
            this.allIndexes.forEach(index => index.delete(node));
            node.freeCapacities = noFreeCapacities;
            return;
        }
        const unclaimed = node.unclaimedCapacity();
        const unreserved = subtractResources(unclaimed, node.reserve);
        const common = node.held === undefined ? unreserved : commonCapacity(node, unreserved, node.held);
        const besideAccelerators = this.withoutAcceleratorDemand(common);
        const hasAccelerators = node.capacity.accelerators > 0;
        setOrDelete(this.withoutAccelerators, node, common, !hasAccelerators);
        setOrDelete(this.withAccelerators, node, common, hasAccelerators);
        setOrDelete(this.besideAccelerators, node, besideAccelerators, hasAccelerators);
        setOrDelete(this.unreserved, node, unreserved, node.held !== undefined);
        setOrDelete(this.unclaimed, node, unclaimed, node.held !== undefined || isNonZero(node.reserve));
        setOrDelete(
            this.halfFreeReserve,
            node,
            unclaimed,
            node.held === undefined && isAtLeastHalfFree(node.reserve, unclaimed),
        );
        const afterPreemption = addResources(node.projectedFreeCapacity(), node.preemptible);
        setOrDelete(
            this.afterPreemption,
            node,
            afterPreemption,
            isNonZero(node.preemptible) || isNonZero(node.beingPreempted),
        );
        const previous = node.freeCapacities;
        node.freeCapacities = { common, besideAccelerators, unreserved, unclaimed, afterPreemption };
        if (retry || !fitsInto(unclaimed, previous.unclaimed) || !fitsInto(afterPreemption, previous.afterPreemption)) {
            this.grownWorkers.add(node);
        }
    }

    /** Searches the common capacity; work without accelerators prefers workers without them. */
    private findCommon(size: Resources, access: CapacityAccess, cost?: WorkerCost): WorkerNode | undefined {
        if (size.accelerators > 0) {
            return this.withAccelerators.find(size, cost);
        }
        const protectsAccelerators = this.protectsAccelerators && !access.reserve;
        const accelerated = protectsAccelerators ? this.besideAccelerators : this.withAccelerators;
        return this.withoutAccelerators.find(size, cost) ?? accelerated.find(size, cost);
    }

    private withoutAcceleratorDemand(common: Resources): Resources {
        const free = Math.max(0, common.accelerators);
        if (free === 0) {
            return common;
        }
        return {
            processorMillis: Math.floor(common.processorMillis - free * this.acceleratorDemand.processorMillis),
            memoryMebibytes: Math.floor(common.memoryMebibytes - free * this.acceleratorDemand.memoryMebibytes),
            accelerators: common.accelerators,
        };
    }
}

/** Capacity that even work of unknown run time may use on a worker where capacity is held for a gang. */
function commonCapacity(node: WorkerNode, unreserved: Resources, held: HeldCapacity): Resources {
    const available = new MutableResources();
    available.add(node.capacity);
    available.subtract(node.reserve);
    available.subtract(node.outlastingHold);
    available.subtract(node.claimed);
    available.subtract(held.amount);
    available.limitTo(unreserved);
    return available.snapshot();
}

function setOrDelete(index: WorkerIndex, node: WorkerNode, freeCapacity: Resources, included: boolean): void {
    if (included) {
        index.set(node, freeCapacity);
    }
    else {
        index.delete(node);
    }
}

function isAtLeastHalfFree(reserve: Resources, unclaimed: Resources): boolean {
    return isNonZero(reserve) && unclaimed.processorMillis * 2 >= reserve.processorMillis
        && unclaimed.memoryMebibytes * 2 >= reserve.memoryMebibytes;
}

function isNonZero(size: Resources): boolean {
    return size.processorMillis > 0 || size.memoryMebibytes > 0 || size.accelerators > 0;
}
