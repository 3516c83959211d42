/** Selects the blocked work that gets the shard's reservation, and starts it when the reserved capacity is free. */
import { WorkClass } from "@tanagerlink/model";
import type { Placer } from "./placer.ts";
import type { PolicyState } from "./policyState.ts";
import type { LimitGate } from "./schedulingPolicy.ts";
import type { JobEntry } from "./waitingGroup.ts";

/** Oldest gangs and oldest single tasks that are considered, in case the first ones cannot be planned. */
const MAXIMUM_CANDIDATES = 4;

/** Time without a start after which a service gets a reservation; services must be restored soon after a loss. */
const SERVICE_RESERVATION_DELAY_MILLISECONDS = 2_000;

/** Plans and starts the reservation in one round. */
export class ReservationScheduler {
    private readonly state: PolicyState;
    private readonly placer: Placer;
    private readonly limits: LimitGate;
    private readonly now: number;

    constructor(state: PolicyState, placer: Placer, limits: LimitGate, now: number) {
        this.state = state;
        this.placer = placer;
        this.limits = limits;
        this.now = now;
    }

    /** Starts the planned work if free capacity has grown or the planned start has come. */
    start(hasCapacityGrown: boolean): void {
        const { reservation, queue } = this.state;
        const planned = reservation.current;
        if (planned === undefined || (!hasCapacityGrown && this.now < planned.startAt)) {
            return;
        }
        const { entry, count } = planned;
        const { group } = entry;
        const teamQueue = queue.teamQueueOf(group);
        if (!this.limits.acquire(entry.job.team, count)) {
            // The limit of its team is exhausted, so holding the capacity would be useless.
            reservation.clear();
            group.blocked = false;
            teamQueue.mustVisit = true;
            return;
        }
        if (!this.placer.placeReserved(planned)) {
            this.limits.release(entry.job.team, count);
            return;
        }
        this.state.blockedGangs.delete(group);
        reservation.clear();
        group.blocked = false;
        teamQueue.lastStartAt = this.now;
        teamQueue.mustVisit = true;
        queue.updatePosition(group);
    }

    /** Plans a reservation if there is none, and starts it if its capacity is already free. */
    plan(): void {
        const { reservation } = this.state;
        if (!reservation.canPlan(this.now)) {
            return;
        }
        const candidates = this.candidates();
        if (candidates.length === 0) {
            return;
        }
        reservation.plan(candidates, this.now);
        if (reservation.current !== undefined && reservation.current.startAt <= this.now) {
            this.start(true);
        }
    }

    private candidates(): readonly JobEntry[] {
        const gangs = oldest(this.blockedGangs());
        const singles = oldest(this.starvedTasks());
        return this.state.reservation.alternateGangsFirst() ? [...gangs, ...singles] : [...singles, ...gangs];
    }

    private blockedGangs(): JobEntry[] {
        const entries: JobEntry[] = [];
        for (const group of this.state.blockedGangs) {
            const entry = group.oldestEntry();
            if (entry === undefined || !group.blocked) {
                this.state.blockedGangs.delete(group);
            }
            else {
                entries.push(entry);
            }
        }
        return entries;
    }

    /**
     * The oldest task of each team if its group is blocked and has had no start for the ageing time, or for the shorter
     * delay of services.
     */
    private starvedTasks(): JobEntry[] {
        if (!this.state.reservation.tryBeginTeamScan(this.now)) {
            return [];
        }
        const agingMilliseconds = this.state.settings.agingSeconds * 1_000;
        const entries: JobEntry[] = [];
        for (const workClass of [WorkClass.Service, WorkClass.Batch]) {
            const delay = workClass === WorkClass.Service
                ? Math.min(SERVICE_RESERVATION_DELAY_MILLISECONDS, agingMilliseconds)
                : agingMilliseconds;
            for (const { oldestGroup } of this.state.queue.classQueueOf(workClass).teamQueues) {
                const entry = oldestGroup?.blocked === true && !oldestGroup.representative.allAtOnce
                    ? oldestGroup.oldestEntry()
                    : undefined;
                const since = Math.max(entry?.job.waitingSince ?? Infinity, oldestGroup?.lastStartAt ?? Infinity);
                if (entry !== undefined && this.now - since >= delay) {
                    entries.push(entry);
                }
            }
        }
        return entries;
    }
}

function oldest(entries: JobEntry[]): JobEntry[] {
    return entries.sort((left, right) => left.job.waitingSince - right.job.waitingSince).slice(0, MAXIMUM_CANDIDATES);
}
