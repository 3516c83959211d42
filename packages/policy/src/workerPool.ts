/**
 * Workers of the shard and the tasks that occupy them. Every change of a worker passes through this module, so that the
 * indexes over the rooms always match the sums of the workers.
 */
import { fitsInto, noResources, type Resources } from "@tanagerlink/model";
import { AcceleratorDemand } from "./acceleratorDemand.ts";
import { countFitting, ResourceTally } from "./resourceTally.ts";
import { type Access, RoomIndexes } from "./roomIndexes.ts";
import type { PolicyWorker } from "./schedulingPolicy.ts";
import { distributeReserve, type WorkerKind } from "./urgentReserve.ts";
import type { ResourceScale, WorkerCost } from "./workerIndex.ts";
import { type HeldRoom, type TaskEntry, WorkerNode } from "./workerNode.ts";

/** Workers and rooms of one shard. */
export class WorkerPool {
    readonly workers = new Map<string, WorkerNode>();
    /** Capacity of workers that are present and available. */
    readonly capacity = new ResourceTally();
    readonly demand = new AcceleratorDemand();
    private readonly rooms = new RoomIndexes(this.demand);
    private reserveFraction = 0;
    private reserveStale = false;
    private kinds: readonly WorkerKind[] = [];

    setReserve(fraction: number): void {
        this.reserveFraction = fraction;
        this.reserveStale = true;
    }

    addWorker(worker: PolicyWorker): WorkerNode {
        const node = this.nodeFor(worker.id);
        this.uncount(node);
        node.rack = worker.rack;
        node.capacity = worker.capacity;
        node.present = true;
        node.available = true;
        this.recount(node);
        return node;
    }

    removeWorker(id: string): WorkerNode | undefined {
        const node = this.workers.get(id);
        if (node === undefined) {
            return undefined;
        }
        this.uncount(node);
        node.present = false;
        node.capacity = noResources;
        this.recount(node);
        this.forgetIfUnused(node);
        return node;
    }

    setAvailable(id: string, available: boolean): WorkerNode | undefined {
        const node = this.workers.get(id);
        if (node !== undefined && node.available !== available) {
            this.uncount(node);
            node.available = available;
            this.recount(node);
        }
        return node;
    }

    setQuarantined(id: string, quarantined: boolean): void {
        const node = this.workers.get(id);
        if (node !== undefined) {
            node.quarantined = quarantined;
            this.rooms.refresh(node);
        }
    }

    /** Node of a worker, made as absent when a task names a worker that is not known yet. */
    nodeFor(id: string): WorkerNode {
        const node = this.workers.get(id) ?? new WorkerNode(id);
        this.workers.set(id, node);
        return node;
    }

    addTask(entry: TaskEntry): void {
        const node = entry.worker;
        node.tasks.add(entry);
        this.countTask(entry, 1);
        this.rooms.refresh(node);
    }

    removeTask(entry: TaskEntry): void {
        const node = entry.worker;
        if (node.tasks.delete(entry)) {
            this.countTask(entry, -1);
            this.rooms.refresh(node);
            this.forgetIfUnused(node);
        }
    }

    /** Applies a change to a counted task and keeps the sums right. */
    updateTask(entry: TaskEntry, change: () => void): void {
        this.countTask(entry, -1);
        change();
        this.countTask(entry, 1);
        this.rooms.refresh(entry.worker);
    }

    claim(node: WorkerNode, size: Resources): void {
        node.claimed.add(size);
        this.rooms.refresh(node);
    }

    unclaim(node: WorkerNode, size: Resources): void {
        node.claimed.subtract(size);
        this.rooms.refresh(node);
    }

    /** Holds room for a planned gang, or ends that with `undefined`. */
    hold(node: WorkerNode, held: HeldRoom | undefined): void {
        node.held = held;
        node.outlasting.assign(noResources);
        for (const entry of node.tasks) {
            entry.outlasts = held !== undefined && entry.expectedEnd > held.startAt;
            if (entry.outlasts) {
                node.outlasting.add(entry.counted);
            }
        }
        this.rooms.refresh(node, held === undefined);
    }

    /** Best worker with room for `size` within the access, or `undefined`. */
    find(size: Resources, access: Access, cost?: WorkerCost): WorkerNode | undefined {
        return this.rooms.find(size, access, cost);
    }

    /** Best worker with room for `size` of whose reserve at least half is free, or `undefined`. */
    findReserved(size: Resources): WorkerNode | undefined {
        return this.rooms.findReserved(size);
    }

    /** Workers with room for `size` if batch work on them were preempted. */
    preemptionCandidates(size: Resources, limit: number): WorkerNode[] {
        return this.rooms.preemptionCandidates(size, limit);
    }

    /** Whether `count` tasks of `size` could fit if all batch work were preempted. */
    mayHoldAfterPreemption(size: Resources, count: number): boolean {
        let missing = count;
        for (const { usable, rooms } of this.workers.values()) {
            missing -= usable ? countFitting(size, rooms.afterPreemption, missing) : 0;
            if (missing <= 0) {
                return true;
            }
        }
        return false;
    }

    /** Tasks of `size` that fit in room without the reserve and without the held room, counted up to `limit`. */
    countFitting(size: Resources, limit: number): number {
        return this.rooms.countFitting(size, limit);
    }

    /** Whether work of this size can run without the reserve; if not, it may use the reserve to run at all. */
    fitsOutsideReserve(size: Resources): boolean {
        return this.kinds.some(kind => fitsInto(size, kind.unreserved));
    }

    /** Whether some worker could hold the size when empty. */
    canHold(size: Resources): boolean {
        return this.kinds.some(kind => fitsInto(size, kind.capacity));
    }

    /** Workers whose room has grown since the last call. */
    takeGrown(): Set<WorkerNode> {
        return this.rooms.takeGrown();
    }

    /** Runs a change that is undone before it ends, so that the returned room does not count as grown. */
    withoutGrowth<Value>(change: () => Value): Value {
        return this.rooms.withoutGrowth(change);
    }

    /** Kind of room that tasks of a size may use without further access. */
    commonKind(size: Resources): "common" | "besideAccelerators" {
        return this.rooms.commonKind(size);
    }

    /** Renews the reserve and the scale of the indexes after workers have come or gone; answers whether any have. */
    prepareRound(now: number): boolean {
        this.rooms.leaveRoomForAccelerators(this.demand.isActive(now));
        if (!this.reserveStale) {
            return false;
        }
        this.reserveStale = false;
        this.kinds = distributeReserve(
            this.workers.values(),
            this.reserveFraction,
            node => this.rooms.refresh(node, true),
        );
        this.rooms.setScale(this.scale());
        return true;
    }

    freeResources(): Resources {
        const free = new ResourceTally();
        for (const node of this.workers.values()) {
            if (node.usable) {
                const room = new ResourceTally();
                room.add(node.openRoom());
                room.raise(noResources);
                free.add(room);
            }
        }
        return free.snapshot();
    }

    /** Sum of the capacities of all workers that are present, whether they take work now or not. */
    presentCapacity(): Resources {
        const sum = new ResourceTally();
        for (const node of this.workers.values()) {
            sum.add(node.capacity);
        }
        return sum.snapshot();
    }

    /** Largest capacity in each resource. */
    largestWorker(): Resources {
        const largest = new ResourceTally();
        for (const node of this.workers.values()) {
            largest.raise(node.capacity);
        }
        return largest.snapshot();
    }

    private scale(): ResourceScale {
        const count = Math.max(1, this.workers.size);
        return {
            processor: count / Math.max(1, this.capacity.processorMillis),
            memory: count / Math.max(1, this.capacity.memoryMebibytes),
            accelerator: count / Math.max(1, this.capacity.accelerators),
        };
    }

    private uncount(node: WorkerNode): void {
        if (node.present && node.available) {
            this.capacity.subtract(node.capacity);
        }
    }

    private recount(node: WorkerNode): void {
        if (node.present && node.available) {
            this.capacity.add(node.capacity);
        }
        this.reserveStale = true;
        this.rooms.refresh(node);
    }

    private countTask(entry: TaskEntry, sign: 1 | -1): void {
        const node = entry.worker;
        node.used.add(entry.counted, sign);
        if (entry.preempted && !entry.stalled) {
            node.ending.add(entry.counted, sign);
        }
        else if (!entry.preempted && entry.preemptible) {
            node.preemptible.add(entry.counted, sign);
        }
        if (sign === 1) {
            entry.outlasts = node.held !== undefined && entry.expectedEnd > node.held.startAt;
        }
        if (entry.outlasts) {
            node.outlasting.add(entry.counted, sign);
        }
    }

    private forgetIfUnused(node: WorkerNode): void {
        if (!node.present && node.tasks.size === 0) {
            this.workers.delete(node.id);
        }
    }
}
