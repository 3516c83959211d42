/** Chooses which blocked work gets the shard's reservation, and starts it when its room is there. */
import { WorkClass } from "@tanagerlink/model";
import type { Placer } from "./placer.ts";
import type { PolicyState } from "./policyState.ts";
import type { LimitGate } from "./schedulingPolicy.ts";
import type { JobEntry } from "./waitingGroup.ts";

/** Candidates that are tried when the oldest cannot be planned. */
const PLANNED_CANDIDATES = 4;

/** Time without a start after which a service gets a reservation; it must be restored soon after a loss. */
const SERVICE_RESERVATION_MS = 2_000;

/** The reservation's part of one round. */
export class ReservationStart {
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

    /** Starts the planned work; without growth of room only when its time has come. */
    start(grown: boolean): void {
        const { reservation, queue } = this.state;
        const planned = reservation.current;
        if (planned === undefined || (!grown && this.now < planned.startAt)) {
            return;
        }
        const { entry, count } = planned;
        const { group } = entry;
        const lane = queue.laneOf(group);
        if (!this.limits.take(entry.job.team, count)) {
            // Its team has no units, so it would hold the room for nothing.
            reservation.clear();
            group.blocked = false;
            lane.attention = true;
            return;
        }
        if (!this.placer.placeReserved(planned)) {
            this.limits.giveBack(entry.job.team, count);
            return;
        }
        this.state.blockedGangs.delete(group);
        reservation.clear();
        group.blocked = false;
        lane.lastStart = this.now;
        lane.attention = true;
        queue.place(group);
    }

    /** Plans a new reservation when there is none. */
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
        const singles = oldest(this.passedOverTasks());
        return this.state.reservation.takeTurn() ? [...gangs, ...singles] : [...singles, ...gangs];
    }

    private blockedGangs(): JobEntry[] {
        const entries: JobEntry[] = [];
        for (const group of this.state.blockedGangs) {
            const entry = group.head();
            if (entry === undefined || !group.blocked) {
                this.state.blockedGangs.delete(group);
            }
            else {
                entries.push(entry);
            }
        }
        return entries;
    }

    /** Oldest task of each team, where its kind had room for none for the ageing time, or a shorter one for services. */
    private passedOverTasks(): JobEntry[] {
        if (!this.state.reservation.mayReadTeams(this.now)) {
            return [];
        }
        const agingMilliseconds = this.state.settings.agingSeconds * 1_000;
        const entries: JobEntry[] = [];
        for (const workClass of [WorkClass.Service, WorkClass.Batch]) {
            const longest = workClass === WorkClass.Service
                ? Math.min(SERVICE_RESERVATION_MS, agingMilliseconds)
                : agingMilliseconds;
            for (const { first } of this.state.queue.ofClass(workClass).lanes) {
                const entry = first?.blocked === true && !first.sample.allAtOnce ? first.head() : undefined;
                const since = Math.max(entry?.job.waitingSince ?? Infinity, first?.lastStart ?? Infinity);
                if (entry !== undefined && this.now - since >= longest) {
                    entries.push(entry);
                }
            }
        }
        return entries;
    }
}

function oldest(entries: JobEntry[]): JobEntry[] {
    return entries.sort((left, right) => left.job.waitingSince - right.job.waitingSince).slice(0, PLANNED_CANDIDATES);
}
