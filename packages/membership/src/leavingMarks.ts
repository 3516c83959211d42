/**
 * Marks of VMs that announced that they leave. A mark is kept until the VM is gone from the platform's list, so that a
 * lagging list cannot make a leaving VM usable again.
 */
import type { VmRecord } from "@tanagerlink/model";

/** Time after which the mark of a VM that the list never contained is removed. */
const UNLISTED_MARK_RETENTION_MILLISECONDS = 600_000;

interface Mark {
    readonly since: number;
    /** Address under which the VM was listed; a VM with the same identifier and another address is its successor. */
    address: string | undefined;
}

export class LeavingMarks {
    private readonly marks = new Map<string, Mark>();

    /** Adds a mark; returns `false` if the VM already has one. */
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

    /** Removes the marks of VMs that are gone from a successfully read list. */
    update(list: ReadonlyMap<string, VmRecord>, now: number): void {
        for (const [id, mark] of this.marks) {
            const record = list.get(id);
            mark.address ??= record?.address;
            const isGone = mark.address === undefined
                ? now - mark.since > UNLISTED_MARK_RETENTION_MILLISECONDS
                : record?.address !== mark.address;
            if (isGone) {
                this.marks.delete(id);
            }
        }
    }
}
