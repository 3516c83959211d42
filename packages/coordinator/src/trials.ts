/** Bounds how many tasks that are suspected of crashing workers are tried at the same time. */
import type { Resources } from "@tanagerlink/model";
import type { TaskRun } from "@tanagerlink/workflow";
import type { WorkerSession } from "./workerSession.ts";

/**
 * Shares of the workers of a service, and of its free capacity, on which trials of suspected tasks may run, or which may
 * be down after one, at the same time.
 */
const MAXIMUM_TRIAL_SHARE = 0.25;
const MAXIMUM_TRIAL_SHARE_OF_FREE = 0.5;

/** Claims of workers for trials that have yet to begin. */
export interface TrialClaimCounts {
    /** Claims of the step itself, 0 or 1. */
    readonly own: number;
    readonly others: number;
}

/**
 * Puts suspected tasks first, those with fewer crashes before the others, but no more than may be on trial. A gang is
 * tried as a whole.
 */
export function selectTasks(
    waiting: readonly TaskRun[],
    workers: readonly WorkerSession[],
    claims: TrialClaimCounts,
    now: number,
): readonly TaskRun[] {
    if (waiting[0]?.step.hasWaitingSuspect !== true) {
        return waiting;
    }
    const permitted = Math.max(claims.own, countPermittedTrials(workers, claims.others, now));
    if (waiting[0].step.specification.gang) {
        return permitted > 0 ? waiting : [];
    }
    const suspects = waiting.filter(({ isSuspect }) => isSuspect).sort((left, right) => left.crashes - right.crashes);
    return [
        ...suspects.slice(0, permitted),
        ...waiting.filter(({ isSuspect }) => !isSuspect),
    ];
}

/** Number of further trials of suspected tasks that may start now, beside those for which workers are claimed. */
export function countPermittedTrials(workers: readonly WorkerSession[], claimed: number, now: number): number {
    let onTrial = claimed;
    let down = 0;
    let free = 0;
    const listed = workers.filter(({ isListed }) => isListed);
    for (const worker of listed) {
        // A trial on a worker that does not respond tells nothing until its lease expires.
        if (worker.isDownAfterTrial) {
            down++;
        }
        else if (worker.isOnTrial(now)) {
            onTrial++;
        }
        else if (worker.canAcceptTasks(now)) {
            free += freeShareOf(worker, worker.freeCapacity);
        }
    }
    const maximum = Math.max(
        listed.length * MAXIMUM_TRIAL_SHARE,
        (free + onTrial + down) * MAXIMUM_TRIAL_SHARE_OF_FREE,
    );
    // Workers that stay down must not keep all suspects waiting.
    const minimum = onTrial === 0 ? 1 : 0;
    return Math.max(minimum, Math.floor(maximum) - onTrial - down);
}

/** Free share of a worker's processors. */
export function freeShareOf({ entry }: WorkerSession, { processorMillis }: Resources): number {
    return processorMillis / Math.max(1, entry.capacity.processorMillis);
}
