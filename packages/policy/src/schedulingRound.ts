/**
 * One scheduling round. Classes are served in order; within a class the team with the lowest rank starts one task or one
 * gang at a time. Groups that failed before are skipped until room has grown that could hold them.
 */
import { fitsInto, Reason, type Resources, WorkClass } from "@tanagerlink/model";
import { Growth } from "./growth.ts";
import { Placer } from "./placer.ts";
import type { PolicyState } from "./policyState.ts";
import { ReservationStart } from "./reservationStart.ts";
import { RoundPreemptions } from "./roundPreemptions.ts";
import type { Hold, LimitGate, RoundResult } from "./schedulingPolicy.ts";
import type { TeamLane } from "./teamLane.ts";
import type { JobEntry, WaitingGroup } from "./waitingGroup.ts";
import { classOrder } from "./waitingQueue.ts";

/** Reports of waiting reasons in one round; the rest follows in later rounds. */
const MAXIMUM_HOLDS = 256;

const Outcome = {
    /** A task or gang was placed. */
    Placed: "placed",
    /** Nothing fits until room grows. */
    Blocked: "blocked",
    /** To be tried again in the next round; the next group of the team is served. */
    Skipped: "skipped",
    /** The team has no unit left; none of its groups can start. */
    Limited: "limited",
} as const;
type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Runs a single round over the state. */
export class SchedulingRound {
    private readonly state: PolicyState;
    private readonly now: number;
    private readonly limits: LimitGate;
    private readonly maximum: number;
    private readonly placer: Placer;
    private readonly preemptions: RoundPreemptions;
    private growth = new Growth(new Set());
    private incomplete = false;

    constructor(state: PolicyState, now: number, limits: LimitGate, maximum: number) {
        this.state = state;
        this.now = now;
        this.limits = limits;
        this.maximum = maximum;
        this.placer = new Placer(state, now);
        this.preemptions = new RoundPreemptions(state, limits, now, maximum);
    }

    run(): RoundResult {
        const { state, now } = this;
        state.roundNumber++;
        if (state.pool.prepareRound(now)) {
            state.shares.capacityChanged();
            state.reserveNeeded = false;
        }
        state.preemptor.review(now);
        state.reservation.review(now);
        const grown = state.pool.takeGrown();
        state.unusedGrowth.forEach(worker => grown.add(worker));
        this.growth = new Growth(grown);
        const reserved = new ReservationStart(state, this.placer, this.limits, now);
        this.serveClass(WorkClass.Urgent);
        reserved.start(this.growth.some);
        this.growth.used();
        classOrder.filter(name => name !== WorkClass.Urgent).forEach(name => this.serveClass(name));
        reserved.plan();
        state.unusedGrowth = this.incomplete ? this.growth.remaining() : new Set();
        return { placements: this.placer.placements, preemptions: this.preemptions.decided, holds: this.takeHolds() };
    }

    private get full(): boolean {
        return this.placer.placements.length >= this.maximum;
    }

    private serveClass(workClass: WorkClass): void {
        const { state } = this;
        const queue = state.queue.ofClass(workClass);
        queue.reorder(state.settings.agingSeconds);
        let room = this.largestRoom(workClass);
        for (let position = 0; position < queue.lanes.length;) {
            const lane = queue.lanes[position]!;
            if (!lane.attention && !lane.mayFit(room)) {
                position++;
                continue;
            }
            if (this.full) {
                this.incomplete = true;
                return;
            }
            // A lane that started work moves behind; the next one is then at the same position.
            if (this.serveLane(lane)) {
                lane.lastStart = this.now;
                queue.move(lane);
                room = this.largestRoom(workClass);
            }
            else if (!queue.dropIfEmpty(position)) {
                position++;
            }
        }
    }

    /** Largest room that has grown, for work of a class; `undefined` when none has. */
    private largestRoom(workClass: WorkClass): Resources | undefined {
        if (!this.growth.some) {
            return undefined;
        }
        const { open, unreserved, afterPreemption } = this.growth.present;
        if (workClass === WorkClass.Urgent) {
            return afterPreemption;
        }
        return this.state.reserveNeeded ? open : unreserved;
    }

    private mayFitGroup(group: WaitingGroup): boolean {
        const { open, unreserved, afterPreemption, ...rooms } = this.growth.present;
        const { size } = group.sizeClass;
        if (group.sample.workClass === WorkClass.Urgent) {
            return fitsInto(size, afterPreemption);
        }
        if (this.state.reserveNeeded) {
            return fitsInto(size, open);
        }
        return fitsInto(size, rooms[this.state.pool.commonKind(size)])
            || (fitsInto(size, unreserved) && this.placer.mayBackfill(group));
    }

    /** Next group of the walk that is worth a try. */
    private nextGroup(lane: TeamLane): WaitingGroup | undefined {
        for (let group = lane.current(); group !== undefined; group = lane.current()) {
            if (!group.blocked || (this.growth.some && this.mayFitGroup(group))) {
                return group;
            }
            lane.advance();
        }
        return undefined;
    }

    /** Serves groups of the team until one start was made; answers whether one was. */
    private serveLane(lane: TeamLane): boolean {
        if (lane.beginWalk(this.state.roundNumber)) {
            lane.retry = false;
        }
        for (let group = this.nextGroup(lane); group !== undefined; group = this.nextGroup(lane)) {
            const outcome = this.serveGroup(group, group.head()!);
            group.blocked = outcome === Outcome.Blocked;
            if (outcome === Outcome.Placed) {
                this.growth.used();
                lane.place(group);
                return true;
            }
            this.report(group);
            lane.retry ||= outcome !== Outcome.Blocked;
            if (outcome === Outcome.Limited) {
                break;
            }
            lane.advance();
        }
        lane.attention = lane.retry;
        return false;
    }

    private serveGroup(group: WaitingGroup, entry: JobEntry): Outcome {
        this.renewSize(group);
        const urgent = group.sample.workClass === WorkClass.Urgent;
        if (this.state.reservation.current?.entry === entry && !urgent) {
            group.setHold(entry.job.allAtOnce ? Reason.WaitingForGang : Reason.WaitingForCapacity);
            return Outcome.Blocked;
        }
        if (entry.job.allAtOnce) {
            return this.serveGang(entry, urgent);
        }
        return urgent ? this.serveUrgent(entry) : this.serveSingle(entry);
    }

    private renewSize(group: WaitingGroup): void {
        const planned = group.profile.plannedSize(group.sample.size);
        // A learned size that no worker can hold would keep the job waiting forever.
        const usable = planned === group.sample.size || this.state.pool.canHold(planned);
        this.state.queue.refreshSize(group, usable ? planned : group.sample.size);
    }

    private serveSingle(entry: JobEntry): Outcome {
        const { group } = entry;
        if (!this.limits.take(group.sample.team, 1)) {
            group.setHold(Reason.WaitingForLimit);
            return Outcome.Limited;
        }
        if (this.placer.placeSingle(entry)) {
            return Outcome.Placed;
        }
        this.limits.giveBack(group.sample.team, 1);
        this.blockForCapacity(entry);
        return Outcome.Blocked;
    }

    private blockForCapacity(entry: JobEntry): void {
        const { group } = entry;
        if (group.sizeClass.size.accelerators > 0) {
            this.state.pool.demand.blocked(group, this.now);
        }
        if (this.placer.heldRoomFits(group)) {
            group.setHold(Reason.WaitingForReservation);
        }
        else {
            const overShare = this.state.shares.rank(group.sample.team) > 1;
            group.setHold(overShare ? Reason.WaitingForShare : Reason.WaitingForCapacity);
        }
    }

    private serveGang(entry: JobEntry, urgent: boolean): Outcome {
        const { group } = entry;
        const { blockedGangs, preemptor, reservation } = this.state;
        const count = entry.tasks.length;
        const remaining = this.maximum - this.placer.placements.length;
        // A gang above the bound of a round can never be within it, so it is allowed to exceed it.
        if (count > remaining && count <= this.maximum) {
            group.setHold(Reason.WaitingForGang);
            return Outcome.Skipped;
        }
        if (!this.limits.take(group.sample.team, count)) {
            preemptor.release(group);
            group.setHold(Reason.WaitingForLimit);
            return Outcome.Skipped;
        }
        if (urgent ? this.placer.placeUrgentGang(entry) : this.placer.placeGang(entry)) {
            blockedGangs.delete(group);
            if (reservation.current?.entry === entry) {
                reservation.clear();
            }
            return Outcome.Placed;
        }
        this.limits.giveBack(group.sample.team, count);
        group.setHold(Reason.WaitingForGang);
        if (urgent && this.preemptions.forGang(entry)) {
            return Outcome.Skipped;
        }
        blockedGangs.add(group);
        return Outcome.Blocked;
    }

    private serveUrgent(entry: JobEntry): Outcome {
        const { group } = entry;
        const { team } = group.sample;
        const { preemptor } = this.state;
        preemptor.trim(group);
        if (!this.limits.take(team, 1)) {
            group.setHold(Reason.WaitingForLimit);
            return Outcome.Limited;
        }
        if (this.placer.placeUrgent(entry)) {
            preemptor.trim(group);
            return Outcome.Placed;
        }
        this.limits.giveBack(team, 1);
        this.preemptions.forTasks(group);
        group.setHold(Reason.WaitingForCapacity);
        return preemptor.claimCount(group) > 0 ? Outcome.Skipped : Outcome.Blocked;
    }

    private report(group: WaitingGroup): void {
        if (group.hasUnreported) {
            this.state.queue.unreported.add(group);
        }
    }

    private takeHolds(): Hold[] {
        const holds: Hold[] = [];
        for (const group of this.state.queue.unreported) {
            const reason = group.holdReason ?? Reason.WaitingForCapacity;
            for (const entry of group.takeUnreported(MAXIMUM_HOLDS - holds.length)) {
                holds.push({ job: entry.job.id, reason });
            }
            if (!group.hasUnreported) {
                this.state.queue.unreported.delete(group);
            }
            if (holds.length >= MAXIMUM_HOLDS) {
                break;
            }
        }
        return holds;
    }
}
