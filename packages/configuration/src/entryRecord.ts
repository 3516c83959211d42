/**
 * Records of entries by name, safe against names that every object knows.
 */

/** @internal A record without a prototype, so that looking up "constructor" or "toString" finds nothing. */
export function entryRecord<Entry>(entries: Iterable<readonly [string, Entry]>): Record<string, Entry> {
    // eslint-disable-next-line no-restricted-syntax -- the language has no other way to create such an object
    const record = Object.create(null) as Record<string, Entry>;
    for (const [name, entry] of entries) {
        record[name] = entry;
    }
    return record;
}
