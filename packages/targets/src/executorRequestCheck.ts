/** Checks of a caller's request before it is sent to an executor. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceRequest } from "@tanagerlink/model";

const methods: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]);

/** First segment of the paths of the control calls to an executor. */
const CONTROL_SEGMENT = "executor";

/** Returns the error of a request that must not be sent; `undefined` if it may be sent. */
export function checkRequest(request: ServiceRequest, maximumBodyBytes: number): ServiceError | undefined {
    if (request.body.byteLength > maximumBodyBytes) {
        const message =
            `The request body has ${request.body.byteLength} bytes; at most ${maximumBodyBytes} are allowed.`;
        return serviceError(ErrorKind.BodyTooLarge, message, { maximumBodyBytes });
    }
    if (!methods.has(request.method)) {
        return serviceError(ErrorKind.InvalidRequest, `The method ${request.method} is not supported.`);
    }
    const segment = firstSegment(request.path);
    if (segment === undefined || segment === CONTROL_SEGMENT) {
        const message =
            `The path is malformed, or it is below /${CONTROL_SEGMENT}, which is reserved for control calls.`;
        return serviceError(ErrorKind.InvalidRequest, message);
    }
    if (request.remainingMilliseconds <= 0) {
        return serviceError(ErrorKind.DeadlineExceeded, "The deadline passed before the request was sent.");
    }
    return undefined;
}

/** First path segment in lower case, after decoding and removal of dot segments; `undefined` for a malformed path. */
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
