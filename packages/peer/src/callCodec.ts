/**
 * Checks and packs the bodies of calls on the calling side.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { pack, unpack } from "./frames.ts";
import type { PeerMethod } from "./peerNetwork.ts";

/** Room for everything in a frame but its body. */
export const FRAME_BYTES = 1_024;

/** Errors: `invalid_request`, `body_too_large`; both before anything was sent. */
export function encodeRequest<Request>(
    method: Pick<PeerMethod<Request, unknown>, "name" | "request">,
    request: Request,
    maximumMessageBytes: number,
): Result<Uint8Array, ServiceError> {
    const checked = method.request.safeParse(request);
    if (!checked.success) {
        const reason = checked.error.issues[0]?.message ?? "";
        const message = `the request to ${method.name} does not fit its schema: ${reason}`;
        return err(serviceError(ErrorKind.InvalidRequest, message));
    }
    const body = pack(request);
    return body.byteLength <= maximumMessageBytes - FRAME_BYTES
        ? ok(body)
        : err(serviceError(ErrorKind.BodyTooLarge, `the request to ${method.name} has ${body.byteLength} bytes`));
}

/** Errors: `outcome_unknown`, since the peer has handled a call whose answer cannot be read. */
export function decodeAnswer<Answer>(
    method: Pick<PeerMethod<unknown, Answer>, "name" | "answer">,
    packed: Uint8Array,
    peer: string,
): Result<Answer, ServiceError> {
    const unpacked = unpack(packed);
    const checked = unpacked === "malformed" ? undefined : method.answer.safeParse(unpacked.value);
    return checked?.success === true
        ? ok(checked.data)
        : err(serviceError(
            ErrorKind.OutcomeUnknown,
            `${peer} handled ${method.name}, but its answer does not fit the schema`,
            { peer, method: method.name },
        ));
}
