/** The preemptions that one round decides for urgent work without room. */
import type { PolicyState } from "./policyState.ts";
import type { LimitGate, Preemption } from "./schedulingPolicy.ts";
import type { JobEntry, WaitingGroup } from "./waitingGroup.ts";
import type { TaskEntry } from "./workerNode.ts";

/** Preemptions of a single round. */
export class RoundPreemptions {
    readonly decided: Preemption[] = [];
    private readonly state: PolicyState;
    private readonly limits: LimitGate;
    private readonly now: number;
    private readonly maximum: number;

    constructor(state: PolicyState, limits: LimitGate, now: number, maximum: number) {
        this.state = state;
        this.limits = limits;
        this.now = now;
        this.maximum = maximum;
    }

    /** Decides preemptions until each waiting task of the group has a claim or no more room can be made. */
    forTasks(group: WaitingGroup): void {
        const { preemptor } = this.state;
        for (const entry of group.entriesFrom(preemptor.claimCount(group))) {
            if (this.decided.length >= this.maximum || !this.limitAllows(group, preemptor.claimCount(group) + 1)) {
                return;
            }
            const victims = preemptor.preempt(group, group.sizeClass.size, this.now);
            if (victims === undefined) {
                return;
            }
            this.note(victims, entry);
        }
    }

    /** Whether room for all tasks of the gang is being freed; decides the preemptions for it if it is not yet. */
    forGang(entry: JobEntry): boolean {
        const { group, tasks } = entry;
        const { preemptor, reservation } = this.state;
        if (preemptor.claimCount(group) === tasks.length) {
            return true;
        }
        preemptor.release(group);
        const victims = preemptor.preemptGang(group, tasks.length, this.now);
        if (victims === undefined) {
            return false;
        }
        if (reservation.current?.entry === entry) {
            reservation.clear();
        }
        this.note(victims, entry);
        return true;
    }

    /** Preemption would be needless for work that its team's limit then keeps from starting. */
    private limitAllows(group: WaitingGroup, units: number): boolean {
        const allowed = this.limits.take(group.sample.team, units);
        if (allowed) {
            this.limits.giveBack(group.sample.team, units);
        }
        return allowed;
    }

    private note(victims: readonly TaskEntry[], beneficiary: JobEntry): void {
        for (const { job, task, worker } of victims) {
            this.decided.push({ job, task, worker: worker.id, beneficiary: beneficiary.job.id });
        }
    }
}
