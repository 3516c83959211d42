/**
 * Workers reserved for gangs that have waited long, so that later steps of the same or a lower priority do not occupy
 * them one by one. Only one gang of a service reserves workers at a time; several waiting gangs would keep all workers
 * idle. Only workers are reserved on which the gang is expected to find room before long, beside tasks that last or have
 * long to run, and a reservation that does not let it start in time ends, since such expectations may be wrong.
 */
import { fitsInto, type Resources, subtractResources } from "@tanagerlink/model";
import type { ActiveStep } from "./activeSteps.ts";
import { capacityExpectedWithin } from "./expectedCapacity.ts";
import { findObstacle } from "./feasibility.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Waiting time of a gang before workers are reserved for it. */
const RESERVATION_DELAY_MILLISECONDS = 2_000;
/** Maximum duration of a reservation, and of its holder's pause before the next one. */
const MAXIMUM_RESERVATION_MILLISECONDS = 10_000;

interface Reservation {
    readonly holder: ActiveStep;
    readonly workers: ReadonlySet<WorkerSession>;
    readonly endsAt: number;
}

export class GangReservations {
    private readonly byService = new Map<string, Reservation>();
    /** Monotonic time of the next reservation for gangs that have had one in vain. */
    private readonly pausedUntil = new WeakMap<ActiveStep, number>();

    /** Whether the worker is reserved for a gang that precedes the step. */
    isReserved(worker: WorkerSession, entry: ActiveStep, now: number): boolean {
        const reservation = this.byService.get(entry.service);
        return reservation !== undefined && reservation.holder !== entry && reservation.workers.has(worker)
            && reservation.holder.priority <= entry.priority && now < reservation.endsAt;
    }

    /**
     * Reserves the emptiest workers that the gang may use, as many as it needs once what ends before long has ended; none
     * if it does not fit even then. Returns the workers that are no longer reserved.
     */
    reserve(holder: ActiveStep, workers: readonly WorkerSession[], now: number): readonly WorkerSession[] {
        const { step, service, isHinted, hints } = holder;
        const current = this.byService.get(service);
        const hasWaitedLong = now - (step.readyAt ?? now) > RESERVATION_DELAY_MILLISECONDS;
        if (!step.specification.gang || !hasWaitedLong || now < (this.pausedUntil.get(holder) ?? -Infinity)) {
            return [];
        }
        if (current !== undefined && current.holder !== holder && now < current.endsAt) {
            return [];
        }
        if (current !== undefined && now >= current.endsAt) {
            this.pausedUntil.set(current.holder, now + MAXIMUM_RESERVATION_MILLISECONDS);
            return this.release(current.holder);
        }
        const remaining = workers.filter(({ isListed, entry }) => isListed && !entry.leaving);
        if (findObstacle(step, remaining, hints, () => true) !== undefined) {
            return this.release(holder);
        }
        const candidates = workers.filter(worker =>
            worker.canAcceptTasks(now) && (!isHinted || hints.isAllowed(worker.id))
        );
        candidates.sort((left, right) =>
            right.freeCapacity.accelerators - left.freeCapacity.accelerators
            || right.freeCapacity.processorMillis - left.freeCapacity.processorMillis
        );
        const reserved = new Set<WorkerSession>();
        let placeable = 0;
        for (const worker of candidates) {
            if (placeable >= step.specification.count) {
                break;
            }
            const added = countPlaceable(
                holder,
                capacityExpectedWithin(worker, MAXIMUM_RESERVATION_MILLISECONDS, now),
            );
            if (added > 0) {
                reserved.add(worker);
                placeable += added;
            }
        }
        if (placeable < step.specification.count) {
            return this.release(holder);
        }
        const endsAt = current?.endsAt ?? now + MAXIMUM_RESERVATION_MILLISECONDS;
        this.byService.set(service, { holder, workers: reserved, endsAt });
        return [...current?.workers ?? []].filter(worker => !reserved.has(worker));
    }

    /** Ends the reservation of a step and returns its workers. */
    release(holder: ActiveStep): readonly WorkerSession[] {
        const reservation = this.byService.get(holder.service);
        if (reservation?.holder !== holder) {
            return [];
        }
        this.byService.delete(holder.service);
        return [...reservation.workers];
    }
}

/** Number of the step's tasks that fit into a worker's capacity. */
function countPlaceable({ step, taskSize }: ActiveStep, capacity: Resources): number {
    const { count, maximumPerWorker = count } = step.specification;
    let freeCapacity = capacity;
    let placeable = 0;
    while (placeable < maximumPerWorker && fitsInto(taskSize, freeCapacity)) {
        freeCapacity = subtractResources(freeCapacity, taskSize);
        placeable++;
    }
    return placeable;
}
