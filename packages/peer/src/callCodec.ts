/**
 * Encodes requests and decodes answers on the calling side, and validates both against the schemas of the method.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { pack, unpack } from "./frames.ts";
import type { PeerMethod } from "./peerNetwork.ts";

/** Bytes of the maximum message size that are reserved for the fields of a frame other than its body. */
export const FRAME_FIELDS_RESERVE_BYTES = 1_024;

/** Errors: `invalid_request`, `body_too_large`. Nothing has been sent in either case. */
export function encodeRequest<Request>(
    method: Pick<PeerMethod<Request, unknown>, "name" | "request">,
    request: Request,
    maximumMessageBytes: number,
): Result<Uint8Array, ServiceError> {
    const parsed = method.request.safeParse(request);
    if (!parsed.success) {
        const reason = parsed.error.issues[0]?.message ?? "";
        const message = `the request to ${method.name} does not match its schema: ${reason}`;
        return err(serviceError(ErrorKind.InvalidRequest, message));
    }
    const body = pack(request);
    const maximumBodyBytes = maximumMessageBytes - FRAME_FIELDS_RESERVE_BYTES;
    return body.byteLength <= maximumBodyBytes
        ? ok(body)
        : err(
            serviceError(
                ErrorKind.BodyTooLarge,
                `the request to ${method.name} has ${body.byteLength} bytes; the maximum is ${maximumBodyBytes}`,
            ),
        );
}

/** Errors: `outcome_unknown` when the answer is invalid, since the peer has already handled the call. */
export function decodeAnswer<Answer>(
    method: Pick<PeerMethod<unknown, Answer>, "name" | "answer">,
    packed: Uint8Array,
    peer: string,
): Result<Answer, ServiceError> {
    const unpacked = unpack(packed);
    const parsed = unpacked === "malformed" ? undefined : method.answer.safeParse(unpacked.value);
    return parsed?.success === true
        ? ok(parsed.data)
        : err(serviceError(
            ErrorKind.OutcomeUnknown,
            `${peer} handled ${method.name}, but its answer does not match the schema`,
            { peer, method: method.name },
        ));
}
