/**
 * Headers between this side and an executor: which ones control the exchange and which ones pass through.
 */
import type { ServiceRequest } from "@tanagerlink/model";

/** Headers that control the exchange with an executor. */
export const TargetHeader = {
    RequestId: "x-request-id",
    Epoch: "x-epoch",
    Team: "x-team",
    Remaining: "x-remaining-milliseconds",
    /** In an answer: the executor did not run the request; the value is the reason. */
    NotRun: "x-not-run",
    Leaving: "x-target-leaving",
} as const;

/** Headers of one connection or of framing; they never pass from one connection to another. */
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

/** Headers of a request to an executor. A caller can't set a control header. */
export function requestHeaders(request: ServiceRequest, epoch: number): Record<string, string> {
    return {
        ...passing(request.headers, name => !controlHeaders.has(name)),
        [TargetHeader.RequestId]: request.id,
        [TargetHeader.Epoch]: `${epoch}`,
        [TargetHeader.Team]: request.team,
        [TargetHeader.Remaining]: `${Math.max(0, Math.floor(request.remainingMilliseconds))}`,
    };
}

/** Headers of an answer that pass to the caller. */
export function responseHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
    return passing(headers, name => name !== TargetHeader.Leaving);
}

function passing(
    headers: Readonly<Record<string, string>>,
    allowed: (name: string) => boolean,
): Record<string, string> {
    const listed = new Set((headers["connection"] ?? "").toLowerCase().split(",").map(name => name.trim()));
    const passed: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        const lower = name.toLowerCase();
        if (!connectionHeaders.has(lower) && !listed.has(lower) && allowed(lower)) {
            passed[lower] = value;
        }
    }
    return passed;
}
