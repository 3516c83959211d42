/** Finds the reason why a step could not start even if every worker were empty. */
import type { StepHints } from "@tanagerlink/hints";
import { fitsInto, multiplyResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { StepRun } from "@tanagerlink/workflow";
import { occupiedResources } from "./workerAttempts.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Why a step can never start. */
export const Obstacle = {
    Size: "size",
    Label: "label",
    Hints: "hints",
    Gang: "gang",
    Limit: "limit",
} as const;
export type Obstacle = (typeof Obstacle)[keyof typeof Obstacle];

/** The first obstacle that rules out all workers of the service; `undefined` without an obstacle or a worker. */
export function findObstacle(
    step: StepRun,
    workers: readonly WorkerSession[],
    hints: StepHints | undefined,
    fitsLimit: (size: Resources) => boolean,
): Obstacle | undefined {
    const { requiredLabel, size, gang, count } = step.specification;
    if (workers.length === 0) {
        return undefined;
    }
    if (!fitsLimit(gang ? multiplyResources(size, count) : size)) {
        return Obstacle.Limit;
    }
    const largeEnough = workers.filter(({ entry }) => fitsInto(occupiedResources(step), entry.capacity));
    if (largeEnough.length === 0) {
        return Obstacle.Size;
    }
    const labelled = largeEnough.filter(({ entry }) =>
        requiredLabel === undefined || entry.labels.includes(requiredLabel)
    );
    if (labelled.length === 0) {
        return Obstacle.Label;
    }
    const notForbidden = labelled.filter(({ id }) => hints?.isForbidden(id) !== true);
    if (notForbidden.length === 0) {
        return Obstacle.Hints;
    }
    return gang && countPlaceableTasks(step, notForbidden) < count ? Obstacle.Gang : undefined;
}

/** Number of tasks of the step that fit on the workers together if these are empty, at most the step's count. */
function countPlaceableTasks(step: StepRun, workers: readonly WorkerSession[]): number {
    const { maximumPerWorker = Infinity, count } = step.specification;
    let taskCount = 0;
    for (const { entry } of workers) {
        let freeCapacity = entry.capacity;
        for (
            let workerTaskCount = 0;
            workerTaskCount < maximumPerWorker && fitsInto(occupiedResources(step), freeCapacity);
            workerTaskCount++
        ) {
            freeCapacity = subtractResources(freeCapacity, occupiedResources(step));
            taskCount++;
            if (taskCount >= count) {
                return taskCount;
            }
        }
    }
    return taskCount;
}
