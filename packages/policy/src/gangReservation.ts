/**
 * The single reservation of a shard. It plans when and where the oldest blocked gang can start, from the expected
 * ends of the running tasks, and holds that capacity against work that would still be running at that time. Until the
 * planned start, shorter tasks may backfill the held capacity; the waiting gang itself occupies nothing. Single tasks
 * that are too large for the capacity that usually becomes free alternate with gangs and are treated as gangs of one
 * task.
 */
import { multiplyResources, type Resources } from "@tanagerlink/model";
import { countFitting, MutableResources } from "./mutableResources.ts";
import type { JobEntry } from "./waitingGroup.ts";
import type { TaskEntry, WorkerNode } from "./workerNode.ts";
import type { WorkerPool } from "./workerPool.ts";

/** Time after the planned start at which a reservation that could not be started is planned anew. */
const PLAN_GRACE_MILLISECONDS = 1_000;
/** Planning reads all running tasks, so it is attempted no more often than this. */
const MINIMUM_PLAN_INTERVAL_MILLISECONDS = 250;
/** Interval between two scans of all teams for tasks that smaller ones have overtaken. */
const MINIMUM_TEAM_SCAN_INTERVAL_MILLISECONDS = 1_000;
/** Remaining time expected of an overdue task, as a fraction of the time it has run. */
const OVERDUE_EXTENSION_FRACTION = 0.25;
/** Lower bound of the remaining time expected of an overdue task. */
const MINIMUM_OVERDUE_EXTENSION_MILLISECONDS = 1_000;

/** The planned start of one gang, or of one large task. */
export interface Reservation {
    readonly entry: JobEntry;
    readonly size: Resources;
    readonly count: number;
    /** Planned start in monotonic milliseconds. */
    readonly startAt: number;
    /** Whether the gang needs capacity that is otherwise kept free for urgent work. */
    readonly usesReserve: boolean;
    readonly workers: readonly WorkerNode[];
}

/** Number of further tasks of the planned size that fit on a worker from a certain time. */
interface AvailableSlots {
    readonly at: number;
    readonly worker: WorkerNode;
    readonly slots: number;
}

/** Creates, validates and clears the reservation. */
export class GangReservation {
    current: Reservation | undefined;
    private readonly pool: WorkerPool;
    private nextPlanAt = -Infinity;
    private nextTeamScanAt = -Infinity;
    private gangsFirst = false;

    constructor(pool: WorkerPool) {
        this.pool = pool;
    }

    /**
     * Clears the reservation if its job no longer waits as planned. If a worker was lost or the planned start has
     * passed, plans again in the same call, so that other work cannot take the capacity that is already free.
     */
    revalidate(now: number): void {
        const { current } = this;
        if (current === undefined) {
            return;
        }
        const { entry } = current;
        const changed = entry.job.allAtOnce ? entry.tasks.length !== current.count : entry.tasks.length === 0;
        const lost = current.workers.some(worker => !worker.isUsable);
        if (changed || lost || now > current.startAt + PLAN_GRACE_MILLISECONDS) {
            this.clear();
        }
        if (!changed && this.current === undefined) {
            this.plan([entry], now);
        }
    }

    clear(): void {
        const workers = this.current?.workers ?? [];
        this.current = undefined;
        workers.forEach(worker => this.pool.setHeldCapacity(worker, undefined));
    }

    /** Returns whether gangs are planned before single tasks; alternates with each call. */
    alternateGangsFirst(): boolean {
        this.gangsFirst = !this.gangsFirst;
        return this.gangsFirst;
    }

    /** Whether a scan of the oldest tasks of all teams is due; if so, counts it as begun. */
    tryBeginTeamScan(now: number): boolean {
        if (now < this.nextTeamScanAt) {
            return false;
        }
        this.nextTeamScanAt = now + MINIMUM_TEAM_SCAN_INTERVAL_MILLISECONDS;
        return true;
    }

    canPlan(now: number): boolean {
        return this.current === undefined && now >= this.nextPlanAt;
    }

    /** Reserves capacity for the first candidate whose start time can be predicted. */
    plan(candidates: readonly JobEntry[], now: number): void {
        this.nextPlanAt = now + MINIMUM_PLAN_INTERVAL_MILLISECONDS;
        for (const entry of candidates) {
            const size = entry.group.sizeClass.size;
            const count = entry.job.allAtOnce ? entry.tasks.length : 1;
            // A gang that does not fit outside the urgent reserve may use the reserve; otherwise it could never start.
            for (const usesReserve of [false, true]) {
                const availability = this.availableSlots(size, count, usesReserve, now);
                const reservation = earliestReservation(availability, { entry, size, count, usesReserve });
                if (reservation !== undefined) {
                    this.activate(reservation, availability);
                    return;
                }
            }
        }
    }

    private activate(reservation: Reservation, availability: readonly AvailableSlots[]): void {
        this.current = reservation;
        const slots = new Map<WorkerNode, number>();
        let missing = reservation.count;
        for (const available of availability) {
            const taken = Math.min(missing, available.slots);
            slots.set(available.worker, (slots.get(available.worker) ?? 0) + taken);
            missing -= taken;
            if (missing === 0) {
                break;
            }
        }
        for (const [worker, count] of slots) {
            this.pool.setHeldCapacity(worker, {
                startAt: reservation.startAt,
                amount: multiplyResources(reservation.size, count),
            });
        }
    }

    /** When and on which workers further tasks of `size` will fit, earliest first. */
    private availableSlots(size: Resources, count: number, usesReserve: boolean, now: number): AvailableSlots[] {
        const availability: AvailableSlots[] = [];
        for (const worker of this.pool.workers.values()) {
            if (worker.isUsable && countFitting(size, worker.capacity, 1) === 1) {
                addAvailableSlots(availability, worker, size, count, usesReserve, now);
            }
        }
        return availability.sort((left, right) => left.at - right.at);
    }
}

function addAvailableSlots(
    availability: AvailableSlots[],
    worker: WorkerNode,
    size: Resources,
    count: number,
    usesReserve: boolean,
    now: number,
): void {
    const available = new MutableResources();
    available.add(worker.freeCapacity());
    available.subtract(worker.claimed);
    if (!usesReserve) {
        available.subtract(worker.reserve);
    }
    let slots = countFitting(size, available, count);
    if (slots > 0) {
        availability.push({ at: now, worker, slots });
    }
    const ends = [...worker.tasks]
        .map(task => ({ at: estimatedEnd(task, now), counted: task.countedSize }))
        .filter(end => end.at < Infinity)
        .sort((left, right) => left.at - right.at);
    for (const end of ends) {
        if (slots >= count) {
            break;
        }
        available.add(end.counted);
        const more = countFitting(size, available, count);
        if (more > slots) {
            availability.push({ at: end.at, worker, slots: more - slots });
            slots = more;
        }
    }
}

function estimatedEnd(task: TaskEntry, now: number): number {
    if (task.preempted) {
        return now + MINIMUM_OVERDUE_EXTENSION_MILLISECONDS;
    }
    return task.expectedEnd > now
        ? task.expectedEnd
        : now + Math.max(MINIMUM_OVERDUE_EXTENSION_MILLISECONDS, (now - task.startedAt) * OVERDUE_EXTENSION_FRACTION);
}

function earliestReservation(
    availability: readonly AvailableSlots[],
    plan: Pick<Reservation, "entry" | "size" | "count" | "usesReserve">,
): Reservation | undefined {
    const workers = new Set<WorkerNode>();
    let slots = 0;
    for (const available of availability) {
        slots += available.slots;
        workers.add(available.worker);
        if (slots >= plan.count) {
            return { ...plan, startAt: available.at, workers: [...workers] };
        }
    }
    return undefined;
}
