/**
 * One scheduling round. Classes are served in order; within a class, the team with the lowest sort key starts one task
 * or one gang at a time. Blocked groups are skipped until free capacity has grown that could fit them.
 */
import { fitsInto, Reason, type Resources, WorkClass } from "@tanagerlink/model";
import { CapacityGrowth } from "./capacityGrowth.ts";
import { Placer } from "./placer.ts";
import type { PolicyState } from "./policyState.ts";
import { ReservationScheduler } from "./reservationScheduler.ts";
import { RoundPreemptions } from "./roundPreemptions.ts";
import type { LimitGate, RoundResult, WaitReason } from "./schedulingPolicy.ts";
import type { TeamQueue } from "./teamQueue.ts";
import type { JobEntry, WaitingGroup } from "./waitingGroup.ts";
import { classOrder } from "./waitingQueue.ts";

/** Jobs whose wait reason is reported in one round; the rest is reported in later rounds. */
const MAXIMUM_WAIT_REASONS_PER_ROUND = 256;

const Outcome = {
    /** A task or gang was placed. */
    Placed: "placed",
    /** The group does not fit until free capacity grows. */
    Blocked: "blocked",
    /** The group must be retried in the next round; the next group of the team is served. */
    Skipped: "skipped",
    /** The limit of the team is exhausted; none of its groups can start. */
    Limited: "limited",
} as const;
type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Runs a single round on the state of the policy. */
export class SchedulingRound {
    private readonly state: PolicyState;
    private readonly now: number;
    private readonly limits: LimitGate;
    private readonly maximumPlacements: number;
    private readonly placer: Placer;
    private readonly preemptions: RoundPreemptions;
    private growth = new CapacityGrowth(new Set());
    /** Whether the round ended at its placement limit before all teams were served. */
    private isIncomplete = false;

    constructor(state: PolicyState, now: number, limits: LimitGate, maximumPlacements: number) {
        this.state = state;
        this.now = now;
        this.limits = limits;
        this.maximumPlacements = maximumPlacements;
        this.placer = new Placer(state, now);
        this.preemptions = new RoundPreemptions(state, limits, now, maximumPlacements);
    }

    run(): RoundResult {
        const { state, now } = this;
        state.roundNumber++;
        if (state.pool.prepareRound(now)) {
            state.shares.onCapacityChanged();
            state.reserveNeeded = false;
        }
        state.preemptor.endExpiredClaims(now);
        state.reservation.revalidate(now);
        const grown = state.pool.takeGrownWorkers();
        state.unvisitedGrownWorkers.forEach(worker => grown.add(worker));
        this.growth = new CapacityGrowth(grown);
        const reservations = new ReservationScheduler(state, this.placer, this.limits, now);
        this.serveClass(WorkClass.Urgent);
        reservations.start(this.growth.hasWorkers);
        this.growth.recordPlacement();
        classOrder.filter(name => name !== WorkClass.Urgent).forEach(name => this.serveClass(name));
        reservations.plan();
        state.unvisitedGrownWorkers = this.isIncomplete ? this.growth.grownWorkers() : new Set();
        return {
            placements: this.placer.placements,
            preemptions: this.preemptions.decisions,
            waitReasons: this.takeWaitReasons(),
        };
    }

    private get isPlacementLimitReached(): boolean {
        return this.placer.placements.length >= this.maximumPlacements;
    }

    private serveClass(workClass: WorkClass): void {
        const { state } = this;
        const queue = state.queue.classQueueOf(workClass);
        queue.reorder(state.settings.agingSeconds);
        let largest = this.largestGrownCapacity(workClass);
        for (let position = 0; position < queue.teamQueues.length;) {
            const teamQueue = queue.teamQueues[position]!;
            if (!teamQueue.mustVisit && !teamQueue.mayFit(largest)) {
                position++;
                continue;
            }
            if (this.isPlacementLimitReached) {
                this.isIncomplete = true;
                return;
            }
            // A team that started work is repositioned; the next one is then at the same position.
            if (this.serveTeamQueue(teamQueue)) {
                teamQueue.lastStartAt = this.now;
                queue.reposition(teamQueue);
                largest = this.largestGrownCapacity(workClass);
            }
            else if (!queue.removeIfEmpty(position)) {
                position++;
            }
        }
    }

    /** Largest grown capacity that work of a class may use; `undefined` if none has grown. */
    private largestGrownCapacity(workClass: WorkClass): Resources | undefined {
        if (!this.growth.hasWorkers) {
            return undefined;
        }
        const { unclaimed, unreserved, afterPreemption } = this.growth.largest;
        if (workClass === WorkClass.Urgent) {
            return afterPreemption;
        }
        return this.state.reserveNeeded ? unclaimed : unreserved;
    }

    private mayFitGroup(group: WaitingGroup): boolean {
        const { unclaimed, unreserved, afterPreemption, ...commonCapacities } = this.growth.largest;
        const { size } = group.sizeClass;
        if (group.representative.workClass === WorkClass.Urgent) {
            return fitsInto(size, afterPreemption);
        }
        if (this.state.reserveNeeded) {
            return fitsInto(size, unclaimed);
        }
        return fitsInto(size, commonCapacities[this.state.pool.commonCapacityKind(size)])
            || (fitsInto(size, unreserved) && this.placer.mayBackfill(group));
    }

    /** Next group of the traversal that is not blocked or may fit now. */
    private nextGroup(teamQueue: TeamQueue): WaitingGroup | undefined {
        for (let group = teamQueue.current(); group !== undefined; group = teamQueue.current()) {
            if (!group.blocked || (this.growth.hasWorkers && this.mayFitGroup(group))) {
                return group;
            }
            teamQueue.advance();
        }
        return undefined;
    }

    /** Serves groups of the team until a task or gang was placed; returns whether one was. */
    private serveTeamQueue(teamQueue: TeamQueue): boolean {
        if (teamQueue.beginTraversal(this.state.roundNumber)) {
            teamQueue.mustRevisit = false;
        }
        for (let group = this.nextGroup(teamQueue); group !== undefined; group = this.nextGroup(teamQueue)) {
            const outcome = this.serveGroup(group, group.oldestEntry()!);
            group.blocked = outcome === Outcome.Blocked;
            if (outcome === Outcome.Placed) {
                this.growth.recordPlacement();
                teamQueue.updatePosition(group);
                return true;
            }
            this.markUnreported(group);
            teamQueue.mustRevisit ||= outcome !== Outcome.Blocked;
            if (outcome === Outcome.Limited) {
                break;
            }
            teamQueue.advance();
        }
        teamQueue.mustVisit = teamQueue.mustRevisit;
        return false;
    }

    private serveGroup(group: WaitingGroup, entry: JobEntry): Outcome {
        this.refreshSize(group);
        const urgent = group.representative.workClass === WorkClass.Urgent;
        if (this.state.reservation.current?.entry === entry && !urgent) {
            group.setWaitReason(entry.job.allAtOnce ? Reason.WaitingForGang : Reason.WaitingForCapacity);
            return Outcome.Blocked;
        }
        if (entry.job.allAtOnce) {
            return this.serveGang(entry, urgent);
        }
        return urgent ? this.serveUrgent(entry) : this.serveSingle(entry);
    }

    private refreshSize(group: WaitingGroup): void {
        const planned = group.profile.plannedSize(group.representative.size);
        // With a learned size that fits no worker, the job would wait forever.
        const usable = planned === group.representative.size || this.state.pool.fitsEmptyWorker(planned);
        this.state.queue.setPlannedSize(group, usable ? planned : group.representative.size);
    }

    private serveSingle(entry: JobEntry): Outcome {
        const { group } = entry;
        if (!this.limits.acquire(group.representative.team, 1)) {
            group.setWaitReason(Reason.WaitingForLimit);
            return Outcome.Limited;
        }
        if (this.placer.placeSingle(entry)) {
            return Outcome.Placed;
        }
        this.limits.release(group.representative.team, 1);
        this.recordCapacityShortage(entry);
        return Outcome.Blocked;
    }

    private recordCapacityShortage(entry: JobEntry): void {
        const { group } = entry;
        if (group.sizeClass.size.accelerators > 0) {
            this.state.pool.acceleratorDemand.recordBlocked(group, this.now);
        }
        if (this.placer.fitsHeldCapacity(group)) {
            group.setWaitReason(Reason.WaitingForReservation);
        }
        else {
            const overShare = this.state.shares.rank(group.representative.team) > 1;
            group.setWaitReason(overShare ? Reason.WaitingForShare : Reason.WaitingForCapacity);
        }
    }

    private serveGang(entry: JobEntry, urgent: boolean): Outcome {
        const { group } = entry;
        const { blockedGangs, preemptor, reservation } = this.state;
        const count = entry.tasks.length;
        const remaining = this.maximumPlacements - this.placer.placements.length;
        // A gang larger than the placement limit of a round could never start, so it may exceed the limit.
        if (count > remaining && count <= this.maximumPlacements) {
            group.setWaitReason(Reason.WaitingForGang);
            return Outcome.Skipped;
        }
        if (!this.limits.acquire(group.representative.team, count)) {
            preemptor.releaseClaims(group);
            group.setWaitReason(Reason.WaitingForLimit);
            return Outcome.Skipped;
        }
        if (urgent ? this.placer.placeUrgentGang(entry) : this.placer.placeGang(entry)) {
            blockedGangs.delete(group);
            if (reservation.current?.entry === entry) {
                reservation.clear();
            }
            return Outcome.Placed;
        }
        this.limits.release(group.representative.team, count);
        group.setWaitReason(Reason.WaitingForGang);
        if (urgent && this.preemptions.preemptForGang(entry)) {
            return Outcome.Skipped;
        }
        blockedGangs.add(group);
        return Outcome.Blocked;
    }

    private serveUrgent(entry: JobEntry): Outcome {
        const { group } = entry;
        const { team } = group.representative;
        const { preemptor } = this.state;
        preemptor.trimClaims(group);
        if (!this.limits.acquire(team, 1)) {
            group.setWaitReason(Reason.WaitingForLimit);
            return Outcome.Limited;
        }
        if (this.placer.placeUrgent(entry)) {
            preemptor.trimClaims(group);
            return Outcome.Placed;
        }
        this.limits.release(team, 1);
        this.preemptions.preemptForTasks(group);
        group.setWaitReason(Reason.WaitingForCapacity);
        return preemptor.claimCount(group) > 0 ? Outcome.Skipped : Outcome.Blocked;
    }

    private markUnreported(group: WaitingGroup): void {
        if (group.hasUnreported) {
            this.state.queue.unreportedGroups.add(group);
        }
    }

    private takeWaitReasons(): WaitReason[] {
        const waitReasons: WaitReason[] = [];
        for (const group of this.state.queue.unreportedGroups) {
            const reason = group.waitReason ?? Reason.WaitingForCapacity;
            for (const entry of group.takeUnreported(MAXIMUM_WAIT_REASONS_PER_ROUND - waitReasons.length)) {
                waitReasons.push({ job: entry.job.id, reason });
            }
            if (!group.hasUnreported) {
                this.state.queue.unreportedGroups.delete(group);
            }
            if (waitReasons.length >= MAXIMUM_WAIT_REASONS_PER_ROUND) {
                break;
            }
        }
        return waitReasons;
    }
}
