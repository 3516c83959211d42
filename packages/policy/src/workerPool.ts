/**
 * Workers of the shard and the tasks that occupy them. Every change of a worker is made through this module, which
 * keeps the capacity indexes consistent with the sums of the workers.
 */
import { fitsInto, noResources, type Resources } from "@tanagerlink/model";
import { AcceleratorDemand } from "./acceleratorDemand.ts";
import { type CapacityAccess, CapacityIndexes } from "./capacityIndexes.ts";
import { countFitting, MutableResources, resourcesKey } from "./mutableResources.ts";
import type { PolicyWorker } from "./schedulingPolicy.ts";
import { distributeReserve, type WorkerKind } from "./urgentReserve.ts";
import type { ResourceWeights, WorkerCost } from "./workerIndex.ts";
import { type HeldCapacity, type TaskEntry, WorkerNode } from "./workerNode.ts";

/** Workers of one shard and their free capacities. */
export class WorkerPool {
    readonly workers = new Map<string, WorkerNode>();
    /** Capacity of workers that are present and available. */
    readonly capacity = new MutableResources();
    readonly acceleratorDemand = new AcceleratorDemand();
    private readonly indexes = new CapacityIndexes(this.acceleratorDemand);
    private reserveFraction = 0;
    private reserveStale = false;
    private workerKinds: readonly WorkerKind[] = [];

    setReserve(fraction: number): void {
        this.reserveFraction = fraction;
        this.reserveStale = true;
    }

    addWorker(worker: PolicyWorker): WorkerNode {
        const node = this.getOrCreateWorker(worker.id);
        this.subtractCapacity(node);
        node.rack = worker.rack;
        node.capacity = worker.capacity;
        node.present = true;
        node.available = true;
        this.addCapacity(node);
        return node;
    }

    setCapacity(id: string, capacity: Resources): void {
        const node = this.workers.get(id);
        if (node?.present === true && resourcesKey(node.capacity) !== resourcesKey(capacity)) {
            this.subtractCapacity(node);
            node.capacity = capacity;
            this.addCapacity(node);
        }
    }

    removeWorker(id: string): WorkerNode | undefined {
        const node = this.workers.get(id);
        if (node === undefined) {
            return undefined;
        }
        this.subtractCapacity(node);
        node.present = false;
        node.capacity = noResources;
        this.addCapacity(node);
        this.removeIfUnused(node);
        return node;
    }

    setAvailable(id: string, available: boolean): WorkerNode | undefined {
        const node = this.workers.get(id);
        if (node !== undefined && node.available !== available) {
            this.subtractCapacity(node);
            node.available = available;
            this.addCapacity(node);
        }
        return node;
    }

    setQuarantined(id: string, quarantined: boolean): void {
        const node = this.workers.get(id);
        if (node !== undefined) {
            node.quarantined = quarantined;
            this.indexes.refresh(node);
        }
    }

    /** Node of a worker; created as not present if a task names a worker that has not been added yet. */
    getOrCreateWorker(id: string): WorkerNode {
        const node = this.workers.get(id) ?? new WorkerNode(id);
        this.workers.set(id, node);
        return node;
    }

    addTask(entry: TaskEntry): void {
        const node = entry.worker;
        node.tasks.add(entry);
        this.countTask(entry, 1);
        this.indexes.refresh(node);
    }

    removeTask(entry: TaskEntry): void {
        const node = entry.worker;
        if (node.tasks.delete(entry)) {
            this.countTask(entry, -1);
            this.indexes.refresh(node);
            this.removeIfUnused(node);
        }
    }

    /** Applies a change to a counted task and updates the sums of its worker. */
    updateTask(entry: TaskEntry, change: () => void): void {
        this.countTask(entry, -1);
        change();
        this.countTask(entry, 1);
        this.indexes.refresh(entry.worker);
    }

    claim(node: WorkerNode, size: Resources): void {
        node.claimed.add(size);
        this.indexes.refresh(node);
    }

    unclaim(node: WorkerNode, size: Resources): void {
        node.claimed.subtract(size);
        this.indexes.refresh(node);
    }

    /** Holds capacity of a worker for a planned gang, or releases it with `undefined`. */
    setHeldCapacity(node: WorkerNode, held: HeldCapacity | undefined): void {
        node.held = held;
        node.outlastingHold.assign(noResources);
        for (const entry of node.tasks) {
            entry.outlastsHold = held !== undefined && entry.expectedEnd > held.startAt;
            if (entry.outlastsHold) {
                node.outlastingHold.add(entry.countedSize);
            }
        }
        this.indexes.refresh(node, held === undefined);
    }

    /** Best worker into which `size` fits within the access, or `undefined`. */
    find(size: Resources, access: CapacityAccess, cost?: WorkerCost): WorkerNode | undefined {
        return this.indexes.find(size, access, cost);
    }

    /** Best worker into which `size` fits and whose reserve is at least half free, or `undefined`. */
    findInReserve(size: Resources): WorkerNode | undefined {
        return this.indexes.findInReserve(size);
    }

    /** Workers into which `size` would fit if batch work on them were preempted. */
    preemptionCandidates(size: Resources, limit: number): WorkerNode[] {
        return this.indexes.preemptionCandidates(size, limit);
    }

    /** Whether `count` tasks of `size` could fit if all batch work were preempted. */
    mayFitAfterPreemption(size: Resources, count: number): boolean {
        let missing = count;
        for (const { isUsable, freeCapacities } of this.workers.values()) {
            missing -= isUsable ? countFitting(size, freeCapacities.afterPreemption, missing) : 0;
            if (missing <= 0) {
                return true;
            }
        }
        return false;
    }

    /** Number of tasks of `size` that fit outside the reserve and the held capacity, at most `limit`. */
    countFittingTasks(size: Resources, limit: number): number {
        return this.indexes.countFittingTasks(size, limit);
    }

    /** Whether work of this size can run without the reserve; if not, it may use the reserve to run at all. */
    fitsOutsideReserve(size: Resources): boolean {
        return this.workerKinds.some(kind => fitsInto(size, kind.unreserved));
    }

    /** Whether the size would fit on some worker if the worker were empty. */
    fitsEmptyWorker(size: Resources): boolean {
        return this.workerKinds.some(kind => fitsInto(size, kind.capacity));
    }

    /** Workers whose free capacity has grown since the last call. */
    takeGrownWorkers(): Set<WorkerNode> {
        return this.indexes.takeGrownWorkers();
    }

    /** Runs a change that may undo its own effects, without recording the capacity that it returns as grown. */
    withoutRecordingGrowth<Value>(change: () => Value): Value {
        return this.indexes.withoutRecordingGrowth(change);
    }

    /** Kind of capacity that tasks of a size may use with ordinary access. */
    commonCapacityKind(size: Resources): "common" | "besideAccelerators" {
        return this.indexes.commonCapacityKind(size);
    }

    /**
     * Updates the reserve and the resource weights of the indexes if workers or the reserve have changed; returns whether they
     * have.
     */
    prepareRound(now: number): boolean {
        this.indexes.setAcceleratorProtection(this.acceleratorDemand.isActive(now));
        if (!this.reserveStale) {
            return false;
        }
        this.reserveStale = false;
        this.workerKinds = distributeReserve(
            this.workers.values(),
            this.reserveFraction,
            node => this.indexes.refresh(node, true),
        );
        this.indexes.setResourceWeights(this.resourceWeights());
        return true;
    }

    freeResources(): Resources {
        const free = new MutableResources();
        for (const node of this.workers.values()) {
            if (node.isUsable) {
                const available = new MutableResources();
                available.add(node.unclaimedCapacity());
                available.raiseTo(noResources);
                free.add(available);
            }
        }
        return free.snapshot();
    }

    /** Sum of the capacities of all workers that are present, whether or not they accept work now. */
    presentCapacity(): Resources {
        const sum = new MutableResources();
        for (const node of this.workers.values()) {
            sum.add(node.capacity);
        }
        return sum.snapshot();
    }

    /** Largest capacity in each resource. */
    largestWorkerCapacity(): Resources {
        const largest = new MutableResources();
        for (const node of this.workers.values()) {
            largest.raiseTo(node.capacity);
        }
        return largest.snapshot();
    }

    private resourceWeights(): ResourceWeights {
        const count = Math.max(1, this.workers.size);
        return {
            processor: count / Math.max(1, this.capacity.processorMillis),
            memory: count / Math.max(1, this.capacity.memoryMebibytes),
            accelerator: count / Math.max(1, this.capacity.accelerators),
        };
    }

    private subtractCapacity(node: WorkerNode): void {
        if (node.present && node.available) {
            this.capacity.subtract(node.capacity);
        }
    }

    private addCapacity(node: WorkerNode): void {
        if (node.present && node.available) {
            this.capacity.add(node.capacity);
        }
        this.reserveStale = true;
        this.indexes.refresh(node);
    }

    private countTask(entry: TaskEntry, sign: 1 | -1): void {
        const node = entry.worker;
        node.used.add(entry.countedSize, sign);
        if (entry.preempted && !entry.stalled) {
            node.beingPreempted.add(entry.countedSize, sign);
        }
        else if (!entry.preempted && entry.preemptible) {
            node.preemptible.add(entry.countedSize, sign);
        }
        if (sign === 1) {
            entry.outlastsHold = node.held !== undefined && entry.expectedEnd > node.held.startAt;
        }
        if (entry.outlastsHold) {
            node.outlastingHold.add(entry.countedSize, sign);
        }
    }

    private removeIfUnused(node: WorkerNode): void {
        if (!node.present && node.tasks.size === 0) {
            this.workers.delete(node.id);
        }
    }
}
