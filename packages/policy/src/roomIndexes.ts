/**
 * Indexes over the rooms of workers, one for each kind of access, and the record of what has grown since the last round.
 */
import { addResources, fitsInto, type Resources, subtractResources } from "@tanagerlink/model";
import type { AcceleratorDemand } from "./acceleratorDemand.ts";
import { ResourceTally } from "./resourceTally.ts";
import { type ResourceScale, type WorkerCost, WorkerIndex } from "./workerIndex.ts";
import { type HeldRoom, noRooms, type WorkerNode } from "./workerNode.ts";

/** Which kept-free rooms a task may use. */
export interface Access {
    /** Room reserved for urgent work. */
    readonly reserve: boolean;
    /** Room held for the planned gang. */
    readonly held: boolean;
}

/** Access of ordinary work. */
export const ordinaryAccess: Access = { reserve: false, held: false };
/** Access of work that ends before the planned gang starts, and of that gang. */
export const heldAccess: Access = { reserve: false, held: true };
/** Access of urgent work. */
export const fullAccess: Access = { reserve: true, held: true };

/** Rooms of all usable workers. */
export class RoomIndexes {
    /** Room that any work may use, on workers without and with accelerators. */
    private readonly plain = new WorkerIndex();
    private readonly accelerated = new WorkerIndex();
    /** The same on workers with accelerators, less what their free accelerators need beside them. */
    private readonly besideAccelerators = new WorkerIndex();
    /** Room without the reserve, on workers where a gang holds room. */
    private readonly outsideReserve = new WorkerIndex();
    /** Whole open room, on workers where it may exceed the common room. */
    private readonly open = new WorkerIndex();
    /** Whole open room of workers of whose reserve half is free, apart from those that hold room for a gang. */
    private readonly reserved = new WorkerIndex();
    /** Projected room if all batch work were preempted, on workers with such work. */
    private readonly afterPreemption = new WorkerIndex();
    private readonly all = [
        this.plain,
        this.accelerated,
        this.besideAccelerators,
        this.outsideReserve,
        this.open,
        this.reserved,
        this.afterPreemption,
    ];
    private readonly demand: AcceleratorDemand;
    private leavesRoom = false;
    /** Workers whose room has grown since the last call of `takeGrown`. */
    private grown = new Set<WorkerNode>();

    constructor(demand: AcceleratorDemand) {
        this.demand = demand;
    }

    /** Whether work without accelerators leaves room for accelerator work from now on. */
    leaveRoomForAccelerators(leavesRoom: boolean): void {
        if (this.leavesRoom && !leavesRoom) {
            for (const worker of this.accelerated.workers()) {
                this.grown.add(worker);
            }
        }
        this.leavesRoom = leavesRoom;
    }

    /** Kind of room that tasks of a size may use without further access. */
    commonKind(size: Resources): "common" | "besideAccelerators" {
        return size.accelerators === 0 && this.leavesRoom ? "besideAccelerators" : "common";
    }

    setScale(scale: ResourceScale): void {
        this.all.forEach(index => index.setScale(scale));
    }

    /** Best worker with room for `size` within the access, or `undefined`. */
    find(size: Resources, access: Access, cost?: WorkerCost): WorkerNode | undefined {
        const found = this.findCommon(size, access, cost);
        if (found !== undefined) {
            return found;
        }
        const backfill = access.held ? this.outsideReserve.find(size, cost) : undefined;
        if (backfill !== undefined || !access.reserve) {
            return backfill;
        }
        return this.open.find(size, cost);
    }

    /** Best worker with room for `size` of whose reserve at least half is free, or `undefined`. */
    findReserved(size: Resources): WorkerNode | undefined {
        return this.reserved.find(size);
    }

    preemptionCandidates(size: Resources, limit: number): WorkerNode[] {
        return this.afterPreemption.sample(size, limit);
    }

    countFitting(size: Resources, limit: number): number {
        const accelerated = this.commonKind(size) === "common" ? this.accelerated : this.besideAccelerators;
        const count = accelerated.count(size, limit);
        return size.accelerators > 0 ? count : count + this.plain.count(size, limit);
    }

    takeGrown(): Set<WorkerNode> {
        const { grown } = this;
        this.grown = new Set();
        return grown;
    }

    withoutGrowth<Value>(change: () => Value): Value {
        const { grown } = this;
        this.grown = new Set();
        const value = change();
        this.grown = grown;
        return value;
    }

    /** Renews the rooms of a worker; `retry` lets blocked work be tried again although no room has grown. */
    refresh(node: WorkerNode, retry = false): void {
        if (!node.usable) {
            this.all.forEach(index => index.delete(node));
            node.rooms = noRooms;
            return;
        }
        const open = node.openRoom();
        const unreserved = subtractResources(open, node.reserve);
        const common = node.held === undefined ? unreserved : commonRoom(node, unreserved, node.held);
        const beside = this.besideFreeAccelerators(common);
        const hasAccelerators = node.capacity.accelerators > 0;
        setOrDelete(this.plain, node, common, !hasAccelerators);
        setOrDelete(this.accelerated, node, common, hasAccelerators);
        setOrDelete(this.besideAccelerators, node, beside, hasAccelerators);
        setOrDelete(this.outsideReserve, node, unreserved, node.held !== undefined);
        setOrDelete(this.open, node, open, node.held !== undefined || hasAny(node.reserve));
        setOrDelete(this.reserved, node, open, node.held === undefined && keepsHalf(node.reserve, open));
        const projected = addResources(node.projectedRoom(), node.preemptible);
        setOrDelete(this.afterPreemption, node, projected, hasAny(node.preemptible) || hasAny(node.ending));
        const before = node.rooms;
        node.rooms = { common, besideAccelerators: beside, unreserved, open, afterPreemption: projected };
        if (retry || !fitsInto(open, before.open) || !fitsInto(projected, before.afterPreemption)) {
            this.grown.add(node);
        }
    }

    /** Work without accelerators goes to workers without them first. */
    private findCommon(size: Resources, access: Access, cost?: WorkerCost): WorkerNode | undefined {
        if (size.accelerators > 0) {
            return this.accelerated.find(size, cost);
        }
        const leavesRoom = this.leavesRoom && !access.reserve;
        const other = leavesRoom ? this.besideAccelerators : this.accelerated;
        return this.plain.find(size, cost) ?? other.find(size, cost);
    }

    private besideFreeAccelerators(common: Resources): Resources {
        const free = Math.max(0, common.accelerators);
        if (free === 0) {
            return common;
        }
        return {
            processorMillis: Math.floor(common.processorMillis - free * this.demand.processorMillis),
            memoryMebibytes: Math.floor(common.memoryMebibytes - free * this.demand.memoryMebibytes),
            accelerators: common.accelerators,
        };
    }
}

/** Room that even work of unknown length may use on a worker with held room. */
function commonRoom(node: WorkerNode, unreserved: Resources, held: HeldRoom): Resources {
    const spare = new ResourceTally();
    spare.add(node.capacity);
    spare.subtract(node.reserve);
    spare.subtract(node.outlasting);
    spare.subtract(node.claimed);
    spare.subtract(held.amount);
    spare.lower(unreserved);
    return spare.snapshot();
}

function setOrDelete(index: WorkerIndex, node: WorkerNode, room: Resources, included: boolean): void {
    if (included) {
        index.set(node, room);
    }
    else {
        index.delete(node);
    }
}

/** Whether at least half of the reserve is free. */
function keepsHalf(reserve: Resources, open: Resources): boolean {
    return hasAny(reserve) && open.processorMillis * 2 >= reserve.processorMillis
        && open.memoryMebibytes * 2 >= reserve.memoryMebibytes;
}

function hasAny(size: Resources): boolean {
    return size.processorMillis > 0 || size.memoryMebibytes > 0 || size.accelerators > 0;
}
