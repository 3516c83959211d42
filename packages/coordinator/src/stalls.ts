/** Finds attempts that stand still on a worker that looks sound. */
import { type Attempt, AttemptStatus } from "@tanagerlink/workflow";

/** Shortest time without progress that counts as a stall; reports come at least each second. */
const SHORTEST_STALL_MILLISECONDS = 2_500;
/** Part of the estimated duration within which one percent must pass, on slow workers and with wrong estimates too. */
const STALL_SHARE_OF_ESTIMATE = 0.3;
/** Tasks at a lower pace may rightly stand still. */
const LOWEST_JUDGED_PACE = 50;
const COMPLETE_PERCENT = 100;

export function isStalled(attempt: Attempt, now: number): boolean {
    const { specification, tasks } = attempt.task.step;
    if (attempt.status !== AttemptStatus.Running || !(attempt.pace >= LOWEST_JUDGED_PACE)) {
        return false;
    }
    if (specification.lasting && attempt.percent >= COMPLETE_PERCENT) {
        return false;
    }
    if (specification.gang && tasks.some(task => task.current?.status !== AttemptStatus.Running)) {
        return false;
    }
    const patience = Math.max(
        SHORTEST_STALL_MILLISECONDS,
        specification.estimateMilliseconds * STALL_SHARE_OF_ESTIMATE,
    );
    // A gang begins when its last member has come.
    const since = specification.gang
        ? Math.max(attempt.movedAt, ...tasks.map(task => task.current?.changedAt ?? now))
        : attempt.movedAt;
    return now - since > patience;
}
