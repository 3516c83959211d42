/** Detects attempts that make no progress on a worker that responds normally. */
import { type Attempt, AttemptStatus } from "@tanagerlink/workflow";

/** Minimum time without progress that counts as a stall. Reports arrive at least once per second. */
const MINIMUM_STALL_MILLISECONDS = 2_500;
/**
 * One percent of progress may take this share of the estimated duration, to allow for slow workers and wrong
 * estimates.
 */
const STALL_SHARE_OF_ESTIMATE = 0.3;
/** One percent of progress may take this many times as long as those before it. */
const STALL_FACTOR_OF_PACE = 4;
/** The permitted time doubles with each stall of the task, so that one whose percents take long is not begun for ever. */
const MAXIMUM_DOUBLINGS = 10;
/** Tasks throttled below this pace may make no progress for long. */
const MINIMUM_CHECKED_PACE_PERCENT = 50;
const COMPLETE_PERCENT = 100;

export function isStalled(attempt: Attempt, now: number): boolean {
    const { specification, tasks } = attempt.task.step;
    if (attempt.status !== AttemptStatus.Running || !(attempt.pace >= MINIMUM_CHECKED_PACE_PERCENT)) {
        return false;
    }
    if (specification.lasting && attempt.percent >= COMPLETE_PERCENT) {
        return false;
    }
    if (specification.gang && tasks.some(task => task.current?.status !== AttemptStatus.Running)) {
        return false;
    }
    const { percent, progressedAt, startedAt, task } = attempt;
    const permittedMilliseconds = Math.max(
        MINIMUM_STALL_MILLISECONDS,
        specification.estimateMilliseconds * STALL_SHARE_OF_ESTIMATE,
        percent > 0 ? (progressedAt - startedAt) / percent * STALL_FACTOR_OF_PACE : 0,
    );
    const stallMilliseconds = permittedMilliseconds * 2 ** Math.min(MAXIMUM_DOUBLINGS, task.stalls);
    // A gang makes progress only once its last member runs.
    const since = specification.gang
        ? Math.max(attempt.progressedAt, ...tasks.map(task => task.current?.statusChangedAt ?? now))
        : attempt.progressedAt;
    return now - since > stallMilliseconds;
}
