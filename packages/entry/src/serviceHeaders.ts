/** Headers of requests on their way to executors and back. */
import { connectionHeaders } from "@tanagerlink/targets";

/** Headers that belong to one connection or to this system and are not passed on. */
const NOT_PASSED_ON: ReadonlySet<string> = new Set([
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

/** Headers by which this system tells its own errors from the answers of executors. */
const OWN_PREFIX = "x-tanagerlink-";

/** Headers that go with the request or the answer; those that `connection` names belong to one connection. */
export function passedOnHeaders(headers: Iterable<readonly [string, string]>): Record<string, string> {
    const entries = Array.from(headers, ([name, value]) => [name.toLowerCase(), value] as const);
    const ofConnection = new Set(
        entries.filter(([name]) => name === "connection")
            .flatMap(([, value]) => value.toLowerCase().split(",").map(name => name.trim())),
    );
    return Object.fromEntries(
        entries.filter(([name]) => !NOT_PASSED_ON.has(name) && !ofConnection.has(name) && !name.startsWith(OWN_PREFIX)),
    );
}
