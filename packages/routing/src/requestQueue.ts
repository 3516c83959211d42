/**
 * Bounded queue of the requests that wait for a slot of one service, ordered by class and then by arrival. When it
 * is full, the newest request of the lowest class makes room for one of a higher class.
 */
import { WorkClass } from "@tanagerlink/model";

/** From first to be served to first to be shed. */
const classOrder: readonly WorkClass[] = [WorkClass.Urgent, WorkClass.Service, WorkClass.Batch];

/** One waiting request. */
export interface Waiting {
    readonly workClass: WorkClass;
    /** Order of arrival; a retry keeps the one of its first try. */
    readonly arrival: number;
}

/** Queue of waiting requests. */
export class RequestQueue<Entry extends Waiting> {
    private readonly limit: number;
    private readonly entries: Readonly<Record<WorkClass, Entry[]>> = { urgent: [], service: [], batch: [] };

    constructor(limit: number) {
        this.limit = limit;
    }

    get size(): number {
        return classOrder.reduce((sum, workClass) => sum + this.entries[workClass].length, 0);
    }

    /** Adds a request. Returns the request that is shed for it: another one, itself, or `undefined`. */
    offer(entry: Entry): Entry | undefined {
        const shed = this.size < this.limit ? undefined : this.takeLowest(entry.workClass);
        if (shed === undefined && this.size >= this.limit) {
            return entry;
        }
        const sameClass = this.entries[entry.workClass];
        let index = sameClass.length;
        while (index > 0 && sameClass[index - 1]!.arrival > entry.arrival) {
            index--;
        }
        sameClass.splice(index, 0, entry);
        return shed;
    }

    /** The request to be served next. */
    first(): Entry | undefined {
        for (const workClass of classOrder) {
            const entry = this.entries[workClass][0];
            if (entry !== undefined) {
                return entry;
            }
        }
        return undefined;
    }

    remove(entry: Entry): boolean {
        const sameClass = this.entries[entry.workClass];
        const index = sameClass.indexOf(entry);
        if (index >= 0) {
            sameClass.splice(index, 1);
        }
        return index >= 0;
    }

    /** Removes and returns all requests. */
    drain(): Entry[] {
        return classOrder.flatMap(workClass => this.entries[workClass].splice(0));
    }

    private takeLowest(above: WorkClass): Entry | undefined {
        for (const workClass of classOrder.toReversed()) {
            if (workClass === above) {
                return undefined;
            }
            const entry = this.entries[workClass].pop();
            if (entry !== undefined) {
                return entry;
            }
        }
        return undefined;
    }
}
