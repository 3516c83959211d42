/**
 * Workers whose room has grown since the last round. Work that was blocked before can only fit on one of them, so the
 * largest of their present rooms tells which waiting sizes are worth a search.
 */
import { ResourceTally } from "./resourceTally.ts";
import { noRooms, type WorkerNode, type WorkerRooms } from "./workerNode.ts";

/** Part of the grown workers that may change before the rooms are computed again; rooms only shrink in a round. */
const REFRESH_PART = 0.125;

/** Rooms of a set of workers, computed again as placements use them up. */
export class Growth {
    private readonly workers: ReadonlySet<WorkerNode>;
    private rooms: WorkerRooms = noRooms;
    private staleAfter = 0;

    constructor(workers: ReadonlySet<WorkerNode>) {
        this.workers = workers;
        this.compute();
    }

    get some(): boolean {
        return this.workers.size > 0;
    }

    /** Component-wise largest rooms. */
    get present(): WorkerRooms {
        return this.rooms;
    }

    /** Tells that tasks were placed. */
    used(): void {
        this.staleAfter--;
        if (this.staleAfter <= 0) {
            this.compute();
        }
    }

    /** The workers, for a later round. */
    remaining(): ReadonlySet<WorkerNode> {
        return this.workers;
    }

    private compute(): void {
        this.staleAfter = this.workers.size * REFRESH_PART;
        const common = new ResourceTally();
        const besideAccelerators = new ResourceTally();
        const unreserved = new ResourceTally();
        const open = new ResourceTally();
        const afterPreemption = new ResourceTally();
        for (const { usable, rooms } of this.workers) {
            if (usable) {
                common.raise(rooms.common);
                besideAccelerators.raise(rooms.besideAccelerators);
                unreserved.raise(rooms.unreserved);
                open.raise(rooms.open);
                afterPreemption.raise(rooms.afterPreemption);
            }
        }
        this.rooms = { common, besideAccelerators, unreserved, open, afterPreemption };
    }
}
