/** Finds steps that could not start even if every worker were empty. */
import type { StepHints } from "@tanagerlink/hints";
import { fitsInto, multiplyResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { StepRun } from "@tanagerlink/workflow";
import { occupied } from "./workerAttempts.ts";
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

/** The first obstacle that holds for all workers of the service; `undefined` if the step can run or none is known. */
export function obstacleOf(
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
    const large = workers.filter(({ entry }) => fitsInto(occupied(step), entry.capacity));
    if (large.length === 0) {
        return Obstacle.Size;
    }
    const labelled = large.filter(({ entry }) => requiredLabel === undefined || entry.labels.includes(requiredLabel));
    if (labelled.length === 0) {
        return Obstacle.Label;
    }
    const permitted = labelled.filter(({ id }) => hints?.isRefused(id) !== true);
    if (permitted.length === 0) {
        return Obstacle.Hints;
    }
    return gang && placesOn(step, permitted) < count ? Obstacle.Gang : undefined;
}

/** Tasks of the step that empty workers could hold together. */
function placesOn(step: StepRun, workers: readonly WorkerSession[]): number {
    const { maximumPerWorker = Infinity, count } = step.specification;
    let places = 0;
    for (const { entry } of workers) {
        let room = entry.capacity;
        for (let onWorker = 0; onWorker < maximumPerWorker && fitsInto(occupied(step), room); onWorker++) {
            room = subtractResources(room, occupied(step));
            places++;
            if (places >= count) {
                return places;
            }
        }
    }
    return places;
}
