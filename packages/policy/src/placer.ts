/** Selects workers for the tasks and gangs that one round starts, and records the placements. */
import { Reason, type Resources, WorkClass } from "@tanagerlink/model";
import { type CapacityAccess, fullAccess, heldAccess, ordinaryAccess } from "./capacityIndexes.ts";
import type { Reservation } from "./gangReservation.ts";
import { MutableResources } from "./mutableResources.ts";
import type { PolicyState } from "./policyState.ts";
import type { Placement } from "./schedulingPolicy.ts";
import type { JobEntry, SizeClass, WaitingGroup } from "./waitingGroup.ts";
import type { WorkerCost } from "./workerIndex.ts";
import type { TaskEntry, WorkerNode } from "./workerNode.ts";

/** Cost of each task of the same service in the rack and on the worker; larger than any difference in packing. */
const SAME_RACK_COST = 1_000;
const SAME_WORKER_COST = 100;

/** Placements of one round. */
export class Placer {
    readonly placements: Placement[] = [];
    private readonly state: PolicyState;
    private readonly now: number;

    constructor(state: PolicyState, now: number) {
        this.state = state;
        this.now = now;
    }

    /** Places one task of a service or batch job. */
    placeSingle(entry: JobEntry): boolean {
        const { group } = entry;
        const access = this.accessOf(group);
        const worker = this.findUnlessFailed(group.sizeClass, access, () => this.findSingle(entry, access));
        if (worker === undefined) {
            return false;
        }
        this.start(entry, worker, worker.held !== undefined && access.held ? Reason.PlacedBackfill : Reason.Placed);
        return true;
    }

    /** Places one urgent task, preferably on capacity that a preemption has freed for it. */
    placeUrgent(entry: JobEntry): boolean {
        const { group } = entry;
        const { size } = group.sizeClass;
        const freed = this.state.preemptor.consumeClaim(group);
        if (freed !== undefined) {
            this.start(entry, freed, Reason.PlacedByPreemption);
            return true;
        }
        const worker = this.findUnlessFailed(group.sizeClass, fullAccess, () => {
            const { pool, rules } = this.state;
            return (rules.reserveFirst ? pool.findInReserve(size) : undefined)
                ?? pool.find(size, ordinaryAccess)
                ?? pool.find(size, fullAccess);
        });
        if (worker === undefined) {
            return false;
        }
        const reserved = worker.reserve.processorMillis > 0 || worker.reserve.memoryMebibytes > 0;
        this.start(entry, worker, reserved ? Reason.PlacedUrgentReserve : Reason.Placed);
        return true;
    }

    /** Places all waiting tasks of an urgent gang or none, including on capacity that preemptions have freed for it. */
    placeUrgentGang(entry: JobEntry): boolean {
        const { preemptor } = this.state;
        const reason = preemptor.claimCount(entry.group) > 0 ? Reason.PlacedByPreemption : Reason.PlacedGang;
        return preemptor.placeClaimed(entry.group, () => this.startAll(entry, fullAccess, reason));
    }

    /** Places all waiting tasks of a gang or none. */
    placeGang(entry: JobEntry): boolean {
        const { group } = entry;
        const { size } = group.sizeClass;
        const access = this.accessOf(group);
        const count = entry.tasks.length;
        if (access === ordinaryAccess && this.state.pool.countFittingTasks(size, count) < count) {
            return false;
        }
        return this.startAll(entry, access, access === heldAccess ? Reason.PlacedBackfill : Reason.PlacedGang);
    }

    /** Places the gang or the single task that the reservation was made for; a gang as a whole or not at all. */
    placeReserved(planned: Reservation): boolean {
        const { entry, usesReserve } = planned;
        const access = { reserve: usesReserve, held: true };
        if (entry.job.allAtOnce) {
            return this.startAll(entry, access, Reason.PlacedGang);
        }
        const worker = this.state.pool.find(planned.size, access);
        if (worker !== undefined) {
            this.start(entry, worker, Reason.Placed);
        }
        return worker !== undefined;
    }

    /** Whether a task of the group would fit if it could use the capacity held for the planned gang. */
    fitsHeldCapacity(group: WaitingGroup): boolean {
        return this.state.reservation.current !== undefined
            && this.state.pool.find(group.sizeClass.size, heldAccess) !== undefined;
    }

    /** Whether the group's tasks end before the planned gang starts. */
    mayBackfill(group: WaitingGroup): boolean {
        return this.accessOf(group) === heldAccess;
    }

    private accessOf(group: WaitingGroup): CapacityAccess {
        const planned = this.state.reservation.current;
        const ends = planned !== undefined && this.expectedEnd(group) <= planned.startAt;
        return ends ? heldAccess : ordinaryAccess;
    }

    private expectedEnd(group: WaitingGroup): number {
        const seconds = group.profile.runSeconds(group.representative.runSeconds);
        return seconds === undefined ? Infinity : this.now + seconds * 1_000;
    }

    private findSingle(entry: JobEntry, access: CapacityAccess): WorkerNode | undefined {
        const { pool } = this.state;
        const { size } = entry.group.sizeClass;
        const spread = entry.job.workClass === WorkClass.Service ? this.spreadCost(entry.job.id) : undefined;
        if (pool.fitsOutsideReserve(size)) {
            return pool.find(size, access, spread);
        }
        this.state.reserveNeeded = true;
        // Too large for any worker without its reserve, so it may use the reserve. Held capacity still needs access.
        const avoidHeld: WorkerCost = worker => worker.held === undefined ? (spread?.(worker) ?? 0) : Infinity;
        return pool.find(size, { reserve: true, held: access.held }, access.held ? spread : avoidHeld);
    }

    private spreadCost(job: string): WorkerCost {
        return worker => {
            const { inRack, onWorker } = this.state.running.spreadOf(job, worker.rack, worker.id);
            return inRack * SAME_RACK_COST + onWorker * SAME_WORKER_COST;
        };
    }

    /**
     * Searches for a size with an access unless this has already failed in the current round; free capacity does not
     * grow within a round.
     */
    private findUnlessFailed(
        sizeClass: SizeClass,
        access: CapacityAccess,
        search: () => WorkerNode | undefined,
    ): WorkerNode | undefined {
        const kind = access === ordinaryAccess ? 0 : access === heldAccess ? 1 : 2;
        if (sizeClass.failedRounds[kind] === this.state.roundNumber) {
            return undefined;
        }
        const worker = search();
        if (worker === undefined) {
            sizeClass.failedRounds[kind] = this.state.roundNumber;
        }
        return worker;
    }

    private startAll(entry: JobEntry, access: CapacityAccess, reason: Reason): boolean {
        const { pool, running, queue } = this.state;
        const { size } = entry.group.sizeClass;
        const started: TaskEntry[] = [];
        return pool.withoutRecordingGrowth(() => {
            while (entry.tasks.length > 0) {
                const worker = pool.find(size, access);
                if (worker === undefined) {
                    started.forEach(task => running.remove(task));
                    queue.returnTasks(entry, started.map(task => task.task));
                    return false;
                }
                started.push(this.recordStart(entry, worker));
            }
            for (const { task, worker } of started) {
                this.placements.push({ job: entry.job.id, task, worker: worker.id, reason });
            }
            return true;
        });
    }

    private start(entry: JobEntry, worker: WorkerNode, reason: Reason): void {
        const { task } = this.recordStart(entry, worker);
        this.placements.push({ job: entry.job.id, task, worker: worker.id, reason });
    }

    private recordStart(entry: JobEntry, worker: WorkerNode): TaskEntry {
        const { group, job } = entry;
        const size: Resources = group.sizeClass.size;
        const started: TaskEntry = {
            job: job.id,
            task: this.state.queue.takeTask(entry),
            team: job.team,
            workClass: job.workClass,
            preemptible: job.preemptible && job.workClass === WorkClass.Batch,
            allAtOnce: job.allAtOnce,
            worker,
            rack: worker.rack,
            profile: group.profile,
            minimumSize: size,
            countedSize: size,
            peakUsage: new MutableResources(),
            startedAt: this.now,
            expectedEnd: this.expectedEnd(group),
            preempted: false,
            stalled: false,
            outlastsHold: false,
        };
        group.lastStartAt = this.now;
        if (size.accelerators > 0) {
            this.state.pool.acceleratorDemand.recordStart(size, this.now);
        }
        this.state.running.add(started);
        return started;
    }
}
