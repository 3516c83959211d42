/**
 * Workers whose free capacity has grown since the last round. Work that was blocked before can only fit on one of them,
 * so the largest of their free capacities shows which waiting sizes are worth a search.
 */
import { MutableResources } from "./mutableResources.ts";
import { type FreeCapacities, noFreeCapacities, type WorkerNode } from "./workerNode.ts";

/**
 * Placements after which the maximum is recomputed, as a fraction of the number of grown workers. An outdated maximum
 * can only be too large, because free capacity does not grow within a round.
 */
const REFRESH_FRACTION = 0.125;

/** Largest free capacities of a set of workers, recomputed as placements use them up. */
export class CapacityGrowth {
    private readonly workers: ReadonlySet<WorkerNode>;
    private largestCapacities: FreeCapacities = noFreeCapacities;
    private placementsUntilRefresh = 0;

    constructor(workers: ReadonlySet<WorkerNode>) {
        this.workers = workers;
        this.refresh();
    }

    get hasWorkers(): boolean {
        return this.workers.size > 0;
    }

    /** Component-wise maximum of the workers' free capacities. */
    get largest(): FreeCapacities {
        return this.largestCapacities;
    }

    /** Counts a placement and recomputes the maximum when enough of them have been made. */
    recordPlacement(): void {
        this.placementsUntilRefresh--;
        if (this.placementsUntilRefresh <= 0) {
            this.refresh();
        }
    }

    /** Workers to be considered again in a later round. */
    grownWorkers(): ReadonlySet<WorkerNode> {
        return this.workers;
    }

    private refresh(): void {
        this.placementsUntilRefresh = this.workers.size * REFRESH_FRACTION;
        const common = new MutableResources();
        const besideAccelerators = new MutableResources();
        const unreserved = new MutableResources();
        const unclaimed = new MutableResources();
        const afterPreemption = new MutableResources();
        for (const { isUsable, freeCapacities } of this.workers) {
            if (isUsable) {
                common.raiseTo(freeCapacities.common);
                besideAccelerators.raiseTo(freeCapacities.besideAccelerators);
                unreserved.raiseTo(freeCapacities.unreserved);
                unclaimed.raiseTo(freeCapacities.unclaimed);
                afterPreemption.raiseTo(freeCapacities.afterPreemption);
            }
        }
        this.largestCapacities = { common, besideAccelerators, unreserved, unclaimed, afterPreemption };
    }
}
