/** Headers of requests on their way to executors and back. */

/** Headers that belong to one connection or to this system and are not passed on. */
const NOT_PASSED_ON: ReadonlySet<string> = new Set([
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-milliseconds",
    "x-epoch",
    "x-idempotent",
    "x-not-run",
    "x-request-id",
    "x-target-leaving",
    "x-team",
]);

/** Headers that go with the request or the answer. */
export function passedOnHeaders(headers: Iterable<readonly [string, string]>): Record<string, string> {
    const result: Record<string, string> = {};
    for (const [name, value] of headers) {
        const lower = name.toLowerCase();
        if (!NOT_PASSED_ON.has(lower)) {
            result[lower] = value;
        }
    }
    return result;
}
