/**
 * Removes log fields that may contain secrets, at any depth. The filter goes by field names, so that callers need not
 * know which values are secret.
 */

/** A field is removed when its last word is one of these; `keyId`, the public part of a key, therefore stays. */
const SECRET_LAST_WORDS = new Set(["key", "keys", "token", "tokens", "cookie"]);
/** A field is removed when any of its words is one of these. */
const SECRET_WORDS = new Set(["secret", "secrets", "authorization", "password"]);
/** Objects nested more deeply are truncated, which also ends cycles. */
const MAXIMUM_DEPTH = 6;
/** Entries of an object or array beyond this number are omitted. */
const MAXIMUM_ENTRIES = 100;

/** Copies the fields without those whose name indicates a secret. Binary values are replaced by their length. */
export function filterFields(fields: object): Record<string, unknown> {
    return filterObject(fields, 0);
}

function filterObject(value: object, depth: number): Record<string, unknown> {
    const kept = Object.entries(value).slice(0, MAXIMUM_ENTRIES).filter(([name]) => !isSecretName(name));
    return Object.fromEntries(kept.map(([name, entry]) => [name, filterValue(entry, depth + 1)]));
}

function filterValue(value: unknown, depth: number): unknown {
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
    if (depth >= MAXIMUM_DEPTH) {
        return "cut";
    }
    if (Array.isArray(value)) {
        return value.slice(0, MAXIMUM_ENTRIES).map(entry => filterValue(entry, depth + 1));
    }
    return filterObject(value instanceof Map ? Object.fromEntries(value) : value, depth);
}

function isSecretName(name: string): boolean {
    const words = name.replace(/([a-z0-9])([A-Z])/g, "$1 $2").toLowerCase().split(/[^a-z0-9]+/);
    return SECRET_LAST_WORDS.has(words.at(-1) ?? "") || words.some(word => SECRET_WORDS.has(word));
}
