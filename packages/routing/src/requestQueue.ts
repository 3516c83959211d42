/**
 * Bounded queue of the requests that wait for a slot of one service, ordered by work class and then by arrival. When it
 * is full, a request of a higher class displaces the newest request of the lowest class.
 */
import { WorkClass } from "@tanagerlink/model";

/** Work classes in the order in which they are served; they are shed in reverse order. */
const classOrder: readonly WorkClass[] = [WorkClass.Urgent, WorkClass.Service, WorkClass.Batch];

/** One request in the queue. */
export interface QueueEntry {
    readonly workClass: WorkClass;
    /** Sequence number of the arrival; a retry keeps the number of the first attempt. */
    readonly arrival: number;
}

/** Queue of waiting requests. */
export class RequestQueue<Entry extends QueueEntry> {
    private readonly limit: number;
    private readonly entries: Readonly<Record<WorkClass, Entry[]>> = { urgent: [], service: [], batch: [] };

    constructor(limit: number) {
        this.limit = limit;
    }

    get size(): number {
        return classOrder.reduce((sum, workClass) => sum + this.entries[workClass].length, 0);
    }

    /** Adds a request. Returns the request that is shed: a displaced one, the new one, or `undefined` for none. */
    enqueue(entry: Entry): Entry | undefined {
        const shed = this.size < this.limit ? undefined : this.removeLowestBelow(entry.workClass);
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

    private removeLowestBelow(incomingClass: WorkClass): Entry | undefined {
        for (const workClass of classOrder.toReversed()) {
            if (workClass === incomingClass) {
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
