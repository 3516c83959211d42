/**
 * One call of this process to a peer that has not ended yet.
 */
import type { ServiceError } from "@tanagerlink/errors";
import type { Subscription } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import { type CallFrame, FrameKind } from "./frames.ts";
import type { Link } from "./link.ts";

/** What a caller asks for. */
export interface CallOrder {
    readonly id: number;
    readonly method: string;
    readonly idempotent: boolean;
    /** Packed request, kept so that the call can be sent again. */
    readonly body: Uint8Array;
    readonly deadlineMilliseconds: number;
}

export interface PendingCall extends CallOrder {
    readonly startedAt: number;
    readonly settle: (result: Result<Uint8Array, ServiceError>) => void;
    readonly deadline: Subscription;
    /** Monotonic time of the first send; `undefined` while the call was never given to a socket. */
    firstSentAt: number | undefined;
    /** Link on which the call was sent last. */
    link: Link | undefined;
}

/** Bytes that a call is counted with, including its frame. */
export const FRAME_OVERHEAD_BYTES = 192;

/** Builds the frame of a call for sending now. */
export function callFrame(call: PendingCall, now: number): CallFrame {
    return {
        kind: FrameKind.Call,
        id: call.id,
        method: call.method,
        // A repeat within the same millisecond must still be recognisable as one.
        age: call.firstSentAt === undefined ? 0 : Math.max(1, now - call.firstSentAt),
        remaining: Math.max(0, call.startedAt + call.deadlineMilliseconds - now),
        body: call.body,
    };
}
