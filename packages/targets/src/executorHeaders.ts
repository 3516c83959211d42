/**
 * Headers of the requests to executors and of their answers: which ones are for control and which ones are forwarded.
 */
import type { ServiceRequest } from "@tanagerlink/model";

/** Control headers of the calls to an executor. */
export const TargetHeader = {
    RequestId: "x-request-id",
    Epoch: "x-epoch",
    Team: "x-team",
    Remaining: "x-remaining-milliseconds",
    /** In an answer: the executor did not run the request; the value is the reason. */
    NotRun: "x-not-run",
    Leaving: "x-target-leaving",
} as const;

/** Headers of one connection or of its framing; they are never forwarded to another connection. */
export const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "host",
]);

const controlHeaders: ReadonlySet<string> = new Set(Object.values(TargetHeader));

/** Headers of a request to an executor. A caller cannot set a control header. */
export function requestHeaders(request: ServiceRequest, epoch: number): Record<string, string> {
    return {
        ...filterHeaders(request.headers, name => !controlHeaders.has(name)),
        [TargetHeader.RequestId]: request.id,
        [TargetHeader.Epoch]: `${epoch}`,
        [TargetHeader.Team]: request.team,
        [TargetHeader.Remaining]: `${Math.max(0, Math.floor(request.remainingMilliseconds))}`,
    };
}

/** Headers of an answer that are forwarded to the caller. */
export function responseHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
    return filterHeaders(headers, name => name !== TargetHeader.Leaving);
}

function filterHeaders(
    headers: Readonly<Record<string, string>>,
    isAllowed: (name: string) => boolean,
): Record<string, string> {
    const connectionOptions = new Set((headers["connection"] ?? "").toLowerCase().split(",").map(name => name.trim()));
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        const lower = name.toLowerCase();
        if (!connectionHeaders.has(lower) && !connectionOptions.has(lower) && isAllowed(lower)) {
            forwarded[lower] = value;
        }
    }
    return forwarded;
}
