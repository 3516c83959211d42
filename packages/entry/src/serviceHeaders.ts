/** Selects the headers that are forwarded between callers and executors. */
import { connectionHeaders } from "@tanagerlink/targets";

/** Hop-by-hop headers and headers of this system, which are not forwarded. */
const NOT_FORWARDED: ReadonlySet<string> = new Set([
    ...connectionHeaders,
    "authorization",
    "idempotency-key",
    "x-deadline-milliseconds",
    "x-epoch",
    "x-idempotent",
    "x-not-run",
    "x-request-id",
    "x-target-leaving",
    "x-team",
]);

/** Prefix of the headers that mark this system's own errors; an executor must not be able to set them. */
const RESERVED_PREFIX = "x-tanagerlink-";

/** Returns the headers to forward. Headers that `connection` names are hop-by-hop and left out. */
export function forwardedHeaders(headers: Iterable<readonly [string, string]>): Record<string, string> {
    const entries = Array.from(headers, ([name, value]) => [name.toLowerCase(), value] as const);
    const hopByHop = new Set(
        entries.filter(([name]) => name === "connection")
            .flatMap(([, value]) => value.toLowerCase().split(",").map(name => name.trim())),
    );
    return Object.fromEntries(
        entries.filter(([name]) =>
            !NOT_FORWARDED.has(name) && !hopByHop.has(name) && !name.startsWith(RESERVED_PREFIX)
        ),
    );
}
