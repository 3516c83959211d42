/**
 * The one reservation of a shard. It plans when and where the oldest blocked gang can start, from the expected ends of
 * the running tasks, and holds that room against work that would still run then. Until the start, the room can be used
 * by shorter work; the waiting gang itself occupies nothing. Single tasks too large for the usual gaps take turns with
 * gangs, treated as gangs of one task.
 */
import { multiplyResources, type Resources } from "@tanagerlink/model";
import { countFitting, ResourceTally } from "./resourceTally.ts";
import type { JobEntry } from "./waitingGroup.ts";
import type { TaskEntry, WorkerNode } from "./workerNode.ts";
import type { WorkerPool } from "./workerPool.ts";

/** A plan that was not met is renewed after this time. */
const PLAN_GRACE_MS = 1_000;
/** Shortest time between two attempts to plan, because planning reads all running tasks. */
const PLAN_INTERVAL_MS = 250;
/** Shortest time between two searches of all teams for tasks that smaller ones have passed over. */
const TEAMS_INTERVAL_MS = 1_000;
/** Part of its present run time that an overdue task is expected to need in addition. */
const OVERDUE_PART = 0.25;
/** Least additional time expected of an overdue task. */
const OVERDUE_MINIMUM_MS = 1_000;

/** The planned start of one gang. */
export interface Reservation {
    readonly entry: JobEntry;
    readonly size: Resources;
    readonly count: number;
    /** Monotonic milliseconds of the planned start. */
    readonly startAt: number;
    /** Whether the gang needs the room that is otherwise kept for urgent work. */
    readonly usesReserve: boolean;
    readonly workers: readonly WorkerNode[];
}

interface SlotEvent {
    readonly at: number;
    readonly worker: WorkerNode;
    readonly slots: number;
}

/** Makes, keeps and ends the reservation. */
export class GangReservation {
    current: Reservation | undefined;
    private readonly pool: WorkerPool;
    private nextPlanAt = -Infinity;
    private nextTeamsAt = -Infinity;
    private gangsFirst = false;

    constructor(pool: WorkerPool) {
        this.pool = pool;
    }

    /**
     * Ends the reservation when its job no longer waits as planned. A plan that lost a worker or was not met is made
     * anew at once: the room that is free already must not go to other work in between.
     */
    review(now: number): void {
        const { current } = this;
        if (current === undefined) {
            return;
        }
        const { entry } = current;
        const changed = entry.job.allAtOnce ? entry.tasks.length !== current.count : entry.tasks.length === 0;
        const lost = current.workers.some(worker => !worker.usable);
        if (changed || lost || now > current.startAt + PLAN_GRACE_MS) {
            this.clear();
        }
        if (!changed && this.current === undefined) {
            this.plan([entry], now);
        }
    }

    clear(): void {
        const workers = this.current?.workers ?? [];
        this.current = undefined;
        workers.forEach(worker => this.pool.hold(worker, undefined));
    }

    /** Whether gangs come before single tasks this time; alternates. */
    takeTurn(): boolean {
        this.gangsFirst = !this.gangsFirst;
        return this.gangsFirst;
    }

    /** Whether the oldest tasks of all teams may be read again. */
    mayReadTeams(now: number): boolean {
        if (now < this.nextTeamsAt) {
            return false;
        }
        this.nextTeamsAt = now + TEAMS_INTERVAL_MS;
        return true;
    }

    canPlan(now: number): boolean {
        return this.current === undefined && now >= this.nextPlanAt;
    }

    /** Plans for the first of the candidates that can start at a known time. */
    plan(candidates: readonly JobEntry[], now: number): void {
        this.nextPlanAt = now + PLAN_INTERVAL_MS;
        for (const entry of candidates) {
            const size = entry.group.sizeClass.size;
            const count = entry.job.allAtOnce ? entry.tasks.length : 1;
            // A gang that does not fit beside the reserve may use it; otherwise it could never start.
            for (const usesReserve of [false, true]) {
                const events = this.slotEvents(size, count, usesReserve, now);
                const reservation = choose(events, { entry, size, count, usesReserve });
                if (reservation !== undefined) {
                    this.adopt(reservation, events);
                    return;
                }
            }
        }
    }

    private adopt(reservation: Reservation, events: readonly SlotEvent[]): void {
        this.current = reservation;
        const slots = new Map<WorkerNode, number>();
        let missing = reservation.count;
        for (const event of events) {
            const taken = Math.min(missing, event.slots);
            slots.set(event.worker, (slots.get(event.worker) ?? 0) + taken);
            missing -= taken;
            if (missing === 0) {
                break;
            }
        }
        for (const [worker, count] of slots) {
            this.pool.hold(worker, {
                startAt: reservation.startAt,
                amount: multiplyResources(reservation.size, count),
            });
        }
    }

    /** When which worker has room for how many more tasks of `size`, earliest first. */
    private slotEvents(size: Resources, count: number, usesReserve: boolean, now: number): SlotEvent[] {
        const events: SlotEvent[] = [];
        for (const worker of this.pool.workers.values()) {
            if (worker.usable && countFitting(size, worker.capacity, 1) === 1) {
                addSlotEvents(events, worker, size, count, usesReserve, now);
            }
        }
        return events.sort((left, right) => left.at - right.at);
    }
}

function addSlotEvents(
    events: SlotEvent[],
    worker: WorkerNode,
    size: Resources,
    count: number,
    usesReserve: boolean,
    now: number,
): void {
    const room = new ResourceTally();
    room.add(worker.freeRoom());
    room.subtract(worker.claimed);
    if (!usesReserve) {
        room.subtract(worker.reserve);
    }
    let slots = countFitting(size, room, count);
    if (slots > 0) {
        events.push({ at: now, worker, slots });
    }
    const ends = [...worker.tasks]
        .map(task => ({ at: likelyEnd(task, now), counted: task.counted }))
        .filter(end => end.at < Infinity)
        .sort((left, right) => left.at - right.at);
    for (const end of ends) {
        if (slots >= count) {
            break;
        }
        room.add(end.counted);
        const more = countFitting(size, room, count);
        if (more > slots) {
            events.push({ at: end.at, worker, slots: more - slots });
            slots = more;
        }
    }
}

function likelyEnd(task: TaskEntry, now: number): number {
    if (task.preempted) {
        return now + OVERDUE_MINIMUM_MS;
    }
    return task.expectedEnd > now
        ? task.expectedEnd
        : now + Math.max(OVERDUE_MINIMUM_MS, (now - task.startedAt) * OVERDUE_PART);
}

function choose(
    events: readonly SlotEvent[],
    wanted: Pick<Reservation, "entry" | "size" | "count" | "usesReserve">,
): Reservation | undefined {
    const workers = new Set<WorkerNode>();
    let slots = 0;
    for (const event of events) {
        slots += event.slots;
        workers.add(event.worker);
        if (slots >= wanted.count) {
            return { ...wanted, startAt: event.at, workers: [...workers] };
        }
    }
    return undefined;
}
