/**
 * Records of entries by name, safe for names that are also properties of `Object.prototype`.
 */

/** @internal Creates a record without a prototype, so that lookups of "constructor" or "toString" find nothing. */
export function entryRecord<Entry>(entries: Iterable<readonly [string, Entry]>): Record<string, Entry> {
    // eslint-disable-next-line no-restricted-syntax -- the language has no other way to create such an object
    const record = Object.create(null) as Record<string, Entry>;
    for (const [name, entry] of entries) {
        record[name] = entry;
    }
    return record;
}
