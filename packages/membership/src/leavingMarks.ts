/**
 * VMs that announced that they leave before the platform's list says so. A mark lasts until the VM is gone from the
 * list, so that a lagging list cannot make a leaving VM usable again.
 */
import type { VmRecord } from "@tanagerlink/model";

/** A VM that the list never named is forgotten after this time. */
const UNLISTED_MILLISECONDS = 600_000;

interface Mark {
    readonly since: number;
    /** Address under which the VM was listed; another address belongs to its successor. */
    address: string | undefined;
}

export class LeavingMarks {
    private readonly marks = new Map<string, Mark>();

    /** Returns whether the mark is new. */
    add(id: string, listed: VmRecord | undefined, now: number): boolean {
        if (this.marks.has(id)) {
            return false;
        }
        this.marks.set(id, { since: now, address: listed?.address });
        return true;
    }

    has(id: string): boolean {
        return this.marks.has(id);
    }

    get isEmpty(): boolean {
        return this.marks.size === 0;
    }

    /** Drops marks of VMs that a list which was read successfully no longer names. */
    update(list: ReadonlyMap<string, VmRecord>, now: number): void {
        for (const [id, mark] of this.marks) {
            const record = list.get(id);
            mark.address ??= record?.address;
            const isGone = mark.address === undefined
                ? now - mark.since > UNLISTED_MILLISECONDS
                : record?.address !== mark.address;
            if (isGone) {
                this.marks.delete(id);
            }
        }
    }
}
