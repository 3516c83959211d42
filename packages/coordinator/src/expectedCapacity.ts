/** Estimates which capacity of a worker its attempts will leave free before long. */
import { type Resources, subtractResources } from "@tanagerlink/model";
import { type Attempt, AttemptStatus } from "@tanagerlink/workflow";
import { occupiedResources } from "./workerAttempts.ts";
import type { WorkerSession } from "./workerSession.ts";

const COMPLETE_PERCENT = 100;

/** Capacity of the worker less what its attempts are expected to occupy beyond the given time. */
export function capacityExpectedWithin(worker: WorkerSession, milliseconds: number, now: number): Resources {
    let { capacity } = worker.entry;
    for (const attempt of worker.liveAttempts) {
        if (remainingMilliseconds(attempt, now) > milliseconds) {
            capacity = subtractResources(capacity, occupiedResources(attempt.task.step));
        }
    }
    return capacity;
}

/** Expected time until an attempt ends. Its reported progress goes before the estimate, which is often wrong. */
function remainingMilliseconds({ task, status, startedAt, percent }: Attempt, now: number): number {
    const { specification, job } = task.step;
    if (status === AttemptStatus.Stopping || !job.isOpen) {
        return 0;
    }
    if (specification.lasting) {
        return Infinity;
    }
    const elapsed = now - startedAt;
    return percent > 0
        ? elapsed * (COMPLETE_PERCENT - percent) / percent
        : Math.max(elapsed, specification.estimateMilliseconds - elapsed);
}
