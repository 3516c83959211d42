/** The preemptions that one round decides for urgent work that does not fit. */
import type { PolicyState } from "./policyState.ts";
import type { LimitGate, Preemption } from "./schedulingPolicy.ts";
import type { JobEntry, WaitingGroup } from "./waitingGroup.ts";
import type { TaskEntry } from "./workerNode.ts";

/** Decides the preemptions of a single round, up to a maximum. */
export class RoundPreemptions {
    readonly decisions: Preemption[] = [];
    private readonly state: PolicyState;
    private readonly limits: LimitGate;
    private readonly now: number;
    private readonly maximumPreemptions: number;

    constructor(state: PolicyState, limits: LimitGate, now: number, maximumPreemptions: number) {
        this.state = state;
        this.limits = limits;
        this.now = now;
        this.maximumPreemptions = maximumPreemptions;
    }

    /** Decides preemptions until each waiting task of the group has a claim or no more capacity can be freed. */
    preemptForTasks(group: WaitingGroup): void {
        const { preemptor } = this.state;
        for (const entry of group.entriesFrom(preemptor.claimCount(group))) {
            if (
                this.decisions.length >= this.maximumPreemptions
                || !this.isWithinLimit(group, preemptor.claimCount(group) + 1)
            ) {
                return;
            }
            const victims = preemptor.preempt(group, group.sizeClass.size, this.now);
            if (victims === undefined) {
                return;
            }
            this.recordDecisions(victims, entry);
        }
    }

    /**
     * Whether capacity for the whole gang is being freed; decides the preemptions if they have not been decided yet.
     */
    preemptForGang(entry: JobEntry): boolean {
        const { group, tasks } = entry;
        const { preemptor, reservation } = this.state;
        if (preemptor.claimCount(group) === tasks.length) {
            return true;
        }
        preemptor.releaseClaims(group);
        const victims = preemptor.preemptGang(group, tasks.length, this.now);
        if (victims === undefined) {
            return false;
        }
        if (reservation.current?.entry === entry) {
            reservation.clear();
        }
        this.recordDecisions(victims, entry);
        return true;
    }

    /** Prevents preemptions for work that the limit of its team would keep from starting. */
    private isWithinLimit(group: WaitingGroup, units: number): boolean {
        const allowed = this.limits.acquire(group.representative.team, units);
        if (allowed) {
            this.limits.release(group.representative.team, units);
        }
        return allowed;
    }

    private recordDecisions(victims: readonly TaskEntry[], beneficiary: JobEntry): void {
        for (const { job, task, worker } of victims) {
            this.decisions.push({ job, task, worker: worker.id, beneficiary: beneficiary.job.id });
        }
    }
}
