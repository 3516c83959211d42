/**
 * Removes log fields that may hold secrets, at any depth. The filter works on names, so that a new call site is safe
 * without knowing about it.
 */

/** A field is removed when its last word is one of these; `keyId`, the public part of a key, therefore stays. */
const REMOVED_LAST_WORDS = new Set(["key", "keys", "token", "tokens", "cookie"]);
/** A field is removed when any of its words is one of these. */
const REMOVED_WORDS = new Set(["secret", "secrets", "authorization", "password"]);
/** Deeper structures are cut, which also ends cycles. */
const DEEPEST_LEVEL = 6;
const MOST_ENTRIES = 100;

/** Copies the fields without those whose names mark a secret; binary values become their length. */
export function filterFields(fields: object): Record<string, unknown> {
    return filterObject(fields, 0);
}

function filterObject(value: object, level: number): Record<string, unknown> {
    const kept = Object.entries(value).slice(0, MOST_ENTRIES).filter(([name]) => !isSecretName(name));
    return Object.fromEntries(kept.map(([name, entry]) => [name, filterValue(entry, level + 1)]));
}

function filterValue(value: unknown, level: number): unknown {
    if (typeof value === "bigint") {
        return String(value);
    }
    if (typeof value !== "object" || !value) {
        return typeof value === "function" ? undefined : value;
    }
    if (value instanceof Error) {
        return { name: value.name, message: value.message, stack: value.stack };
    }
    if (ArrayBuffer.isView(value)) {
        return `${value.byteLength} bytes`;
    }
    if (level >= DEEPEST_LEVEL) {
        return "cut";
    }
    if (Array.isArray(value)) {
        return value.slice(0, MOST_ENTRIES).map(entry => filterValue(entry, level + 1));
    }
    return filterObject(value instanceof Map ? Object.fromEntries(value) : value, level);
}

function isSecretName(name: string): boolean {
    const words = name.replace(/([a-z0-9])([A-Z])/g, "$1 $2").toLowerCase().split(/[^a-z0-9]+/);
    return REMOVED_LAST_WORDS.has(words.at(-1) ?? "") || words.some(word => REMOVED_WORDS.has(word));
}
