/** Chooses which blocked work gets the shard's reservation, and starts it when its room is there. */
import type { Placer } from "./placer.ts";
import type { PolicyState } from "./policyState.ts";
import type { LimitGate } from "./schedulingPolicy.ts";
import type { JobEntry } from "./waitingGroup.ts";

/** Candidates that are tried when the oldest cannot be planned. */
const PLANNED_CANDIDATES = 4;

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
        this.state.blockedGroups.delete(group);
        reservation.clear();
        group.blocked = false;
        lane.lastStart = this.now;
        lane.place(group);
        lane.attention = true;
    }

    /** Plans a new reservation when there is none. */
    plan(): void {
        const { reservation, blockedGroups } = this.state;
        if (blockedGroups.size === 0 || !reservation.canPlan(this.now)) {
            return;
        }
        reservation.plan(this.candidates(), this.now);
        if (reservation.current !== undefined && reservation.current.startAt <= this.now) {
            this.start(true);
        }
    }

    /** Oldest blocked gangs, and tasks that got no start for the ageing time, in turns. */
    private candidates(): readonly JobEntry[] {
        const agingMilliseconds = this.state.settings.agingSeconds * 1_000;
        const gangs: JobEntry[] = [];
        const singles: JobEntry[] = [];
        for (const group of this.state.blockedGroups) {
            const entry = group.head();
            if (entry === undefined || !group.blocked) {
                this.state.blockedGroups.delete(group);
            }
            else if (entry.job.allAtOnce) {
                gangs.push(entry);
            }
            else if (this.now - Math.max(entry.job.waitingSince, group.lastStart) >= agingMilliseconds) {
                singles.push(entry);
            }
        }
        const gangsFirst = this.state.reservation.takeTurn();
        return gangsFirst ? [...oldest(gangs), ...oldest(singles)] : [...oldest(singles), ...oldest(gangs)];
    }
}

function oldest(entries: JobEntry[]): JobEntry[] {
    return entries.sort((left, right) => left.job.waitingSince - right.job.waitingSince).slice(0, PLANNED_CANDIDATES);
}
