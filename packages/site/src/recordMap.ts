/** The latest known version of each record of a followed table. Older versions, as in a stale listing, are ignored. */
import type { RecordChange, StoredRecord } from "@tanagerlink/platform";

interface KnownRecord {
    /** `undefined` for a removed record, which stays as a tombstone. */
    readonly value: Uint8Array | undefined;
    readonly version: number;
}

export class RecordMap {
    private readonly known = new Map<string, KnownRecord>();

    /** Applies a listing of `version`. Known records that it lacks have been removed, unless they are newer than it. */
    replace(records: readonly StoredRecord[], version: number): void {
        const listed = new Set(records.map(({ key }) => key));
        this.apply(records);
        for (const [key, known] of [...this.known]) {
            if (!listed.has(key) && known.version <= version) {
                this.known.delete(key);
            }
        }
    }

    apply(changes: readonly (RecordChange | StoredRecord)[]): void {
        for (const { key, value, version } of changes) {
            if (version >= (this.known.get(key)?.version ?? 0)) {
                this.known.set(key, { value, version });
            }
        }
    }

    /** Values of the existing records by key. */
    values(): Map<string, Uint8Array> {
        const present = new Map<string, Uint8Array>();
        for (const [key, { value }] of this.known) {
            if (value !== undefined) {
                present.set(key, value);
            }
        }
        return present;
    }
}
