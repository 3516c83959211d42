/**
 * Checks a caller's request before it is sent to an executor.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest } from "@tanagerlink/model";

const methods: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]);

/** First segment of the paths by which an owner controls an executor. */
const CONTROL_SEGMENT = "executor";

/** Why the request is not sent, if it must not be. */
export function checkRequest(request: ServiceRequest, maximumBodyBytes: number): ServiceError | undefined {
    if (request.body.byteLength > maximumBodyBytes) {
        const message = `The request body is larger than ${maximumBodyBytes} bytes.`;
        return serviceError(ErrorKind.BodyTooLarge, message, { maximumBodyBytes });
    }
    if (!methods.has(request.method)) {
        return serviceError(ErrorKind.InvalidRequest, `The method ${request.method} is not supported.`);
    }
    const segment = firstSegment(request.path);
    if (segment === undefined || segment === CONTROL_SEGMENT) {
        const message = `The path is malformed or below /${CONTROL_SEGMENT}, which is reserved for owners.`;
        return serviceError(ErrorKind.InvalidRequest, message);
    }
    if (request.remainingMilliseconds <= 0) {
        return serviceError(ErrorKind.DeadlineExceeded, "The deadline passed before the request was sent.");
    }
    return undefined;
}

/** First segment in lower case after decoding and removing dot segments; `undefined` for a malformed path. */
function firstSegment(path: string): string | undefined {
    if (!path.startsWith("/")) {
        return undefined;
    }
    try {
        const decoded = decodeURIComponent(path.split(/[?#]/)[0]!).replaceAll("\\", "/").replace(/^\/+/, "");
        return new URL(`http://target/${decoded}`).pathname.split("/").find(segment => segment !== "")?.toLowerCase() ??
            "";
    }
    catch {
        return undefined;
    }
}
