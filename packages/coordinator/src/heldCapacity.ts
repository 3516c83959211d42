/**
 * Capacity held for steps that wait for tickets, so that work which comes later neither uses it nor asks hints for it.
 * More urgent steps may use it all the same.
 */
import { type Resources, subtractResources } from "@tanagerlink/model";
import type { ActiveStep } from "./activeSteps.ts";
import type { WorkerSession } from "./workerSession.ts";

export class HeldCapacity {
    private readonly holdersByWorker = new Map<WorkerSession, ActiveStep[]>();
    private readonly workersByHolder = new Map<ActiveStep, readonly WorkerSession[]>();

    /** Holds capacity for one task on each of the workers; a worker may be listed several times. */
    hold(holder: ActiveStep, workers: readonly WorkerSession[]): void {
        if (workers.length === 0) {
            return;
        }
        this.workersByHolder.set(holder, workers);
        for (const worker of workers) {
            const holders = this.holdersByWorker.get(worker) ?? [];
            holders.push(holder);
            this.holdersByWorker.set(worker, holders);
        }
    }

    /** Releases all that is held for a step and returns the workers concerned. */
    release(holder: ActiveStep): readonly WorkerSession[] {
        const workers = this.workersByHolder.get(holder) ?? [];
        this.workersByHolder.delete(holder);
        for (const worker of new Set(workers)) {
            const remaining = (this.holdersByWorker.get(worker) ?? []).filter(other => other !== holder);
            if (remaining.length === 0) {
                this.holdersByWorker.delete(worker);
            }
            else {
                this.holdersByWorker.set(worker, remaining);
            }
        }
        return workers;
    }

    /** Free capacity of a worker less what is held for other steps of the same or a higher priority. */
    freeCapacityFor(worker: WorkerSession, entry: ActiveStep): Resources {
        const holders = this.holdersByWorker.get(worker);
        let { freeCapacity } = worker;
        if (holders === undefined) {
            return freeCapacity;
        }
        for (const holder of holders) {
            if (holder !== entry && holder.priority <= entry.priority) {
                freeCapacity = subtractResources(freeCapacity, holder.taskSize);
            }
        }
        return freeCapacity;
    }
}
