/**
 * A call of this process to a peer that is not settled yet, and the frame in which it is sent.
 */
import type { ServiceError } from "@tanagerlink/errors";
import type { Subscription } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import { type CallFrame, FrameKind } from "./frames.ts";
import type { Link } from "./link.ts";

/** A call as the caller requests it. */
export interface CallRequest {
    readonly id: number;
    readonly method: string;
    readonly idempotent: boolean;
    /** Packed request, kept for resending the call. */
    readonly body: Uint8Array;
    readonly deadlineMilliseconds: number;
}

export interface PendingCall extends CallRequest {
    readonly startedAt: number;
    readonly settle: (result: Result<Uint8Array, ServiceError>) => void;
    readonly deadlineTimer: Subscription;
    /** Monotonic time at which the call was first sent; `undefined` until it has been passed to a socket. */
    firstSentAt: number | undefined;
    /** Link on which the call was last sent. */
    link: Link | undefined;
}

/** Bytes that each pending call counts towards `maximumPendingBytes` in addition to its body. */
export const PENDING_CALL_OVERHEAD_BYTES = 192;

/** Creates the frame of a call; `now` is the time at which it is sent. */
export function createCallFrame(call: PendingCall, now: number): CallFrame {
    return {
        kind: FrameKind.Call,
        id: call.id,
        method: call.method,
        // At least 1 when the call is resent, since the peer recognises a repeat by an age above 0.
        age: call.firstSentAt === undefined ? 0 : Math.max(1, now - call.firstSentAt),
        remaining: Math.max(0, call.startedAt + call.deadlineMilliseconds - now),
        body: call.body,
    };
}
