/**
 * Frames on a link: msgpack arrays whose first element is the number of the frame kind. Bodies and heartbeat payloads
 * are nested as packed bytes, so that a payload is packed once for all links and a resent call is not packed again.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { Packr } from "msgpackr";
import * as z from "zod";

/** Incremented with each incompatible change of the frames. */
export const PROTOCOL_VERSION = 1;

export const FrameKind = { Hello: 0, Heartbeat: 1, Call: 2, Answer: 3, Failure: 4 } as const;

/** First frame of each side. */
export interface HelloFrame {
    readonly kind: typeof FrameKind.Hello;
    readonly version: number;
    readonly node: string;
    /** Changes with each start of the process. */
    readonly boot: string;
    readonly address: string;
    readonly failureDomain: string;
}

export interface HeartbeatFrame {
    readonly kind: typeof FrameKind.Heartbeat;
    /** Number of this heartbeat among those of the sender on this link, from 1. */
    readonly sequence: number;
    /** Highest sequence that the sender has received on this link; 0 before the first. */
    readonly echo: number;
    /** Milliseconds between the reception of the echoed heartbeat and the sending of this one. */
    readonly held: number;
    /** Bytes that the sender has read from the connection so far, including those of incomplete messages. */
    readonly received: number;
    readonly payload: Uint8Array | undefined;
}

export interface CallFrame {
    readonly kind: typeof FrameKind.Call;
    /** Unique within one boot of the caller, and increasing. */
    readonly id: number;
    readonly method: string;
    /** Milliseconds since the call was first sent; 0 when it is sent for the first time. */
    readonly age: number;
    /** Milliseconds left until the caller's deadline. */
    readonly remaining: number;
    readonly body: Uint8Array;
}

export interface AnswerFrame {
    readonly kind: typeof FrameKind.Answer;
    readonly id: number;
    readonly body: Uint8Array;
}

export interface FailureFrame {
    readonly kind: typeof FrameKind.Failure;
    readonly id: number;
    readonly error: ServiceError;
}

export type Frame = HelloFrame | HeartbeatFrame | CallFrame | AnswerFrame | FailureFrame;

const packr = new Packr({ useRecords: false });

const name = z.string().min(1).max(128);
const count = z.int().min(0);
const milliseconds = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const bytes = z.instanceof(Uint8Array);
const error = z.object({
    kind: z.enum(ErrorKind),
    message: z.string(),
    detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional(),
});

const schemas: Readonly<Record<number, z.ZodType<Frame>>> = {
    [FrameKind.Hello]: z.tuple([z.literal(FrameKind.Hello), count, name, name, name, name])
        .transform(([kind, version, node, boot, address, failureDomain]) => (
            { kind, version, node, boot, address, failureDomain }
        )),
    [FrameKind.Heartbeat]: z.tuple([
        z.literal(FrameKind.Heartbeat),
        count,
        count,
        milliseconds,
        count,
        bytes.optional(),
    ])
        .transform(([kind, sequence, echo, held, received, payload]) => (
            { kind, sequence, echo, held, received, payload }
        )),
    [FrameKind.Call]: z.tuple([z.literal(FrameKind.Call), count, name, milliseconds, milliseconds, bytes])
        .transform(([kind, id, method, age, remaining, body]) => ({ kind, id, method, age, remaining, body })),
    [FrameKind.Answer]: z.tuple([z.literal(FrameKind.Answer), count, bytes])
        .transform(([kind, id, body]) => ({ kind, id, body })),
    [FrameKind.Failure]: z.tuple([z.literal(FrameKind.Failure), count, error])
        .transform(([kind, id, { detail, ...failure }]) => (
            { kind, id, error: detail === undefined ? failure : { ...failure, detail } }
        )),
};

/** Packs a value as msgpack. `Uint8Array` values are packed as binary data. */
export function pack(value: unknown): Uint8Array {
    return packr.pack(value);
}

/** Unpacks a value; `malformed` when the bytes are not exactly one msgpack value. */
export function unpack(packed: Uint8Array): { readonly value: unknown; } | "malformed" {
    try {
        return { value: packr.unpack(packed) as unknown };
    }
    catch {
        return "malformed";
    }
}

export function encodeFrame(frame: Frame): Uint8Array {
    return pack(frameFields(frame));
}

function frameFields(frame: Frame): unknown[] {
    switch (frame.kind) {
        case FrameKind.Hello:
            return [frame.kind, frame.version, frame.node, frame.boot, frame.address, frame.failureDomain];
        case FrameKind.Heartbeat:
            return [frame.kind, frame.sequence, frame.echo, frame.held, frame.received, frame.payload];
        case FrameKind.Call:
            return [frame.kind, frame.id, frame.method, frame.age, frame.remaining, frame.body];
        case FrameKind.Answer:
            return [frame.kind, frame.id, frame.body];
        case FrameKind.Failure:
            return [frame.kind, frame.id, frame.error];
    }
}

/** Unpacks and validates a frame; `undefined` when it is malformed. */
export function decodeFrame(packed: Uint8Array): Frame | undefined {
    const unpacked = unpack(packed);
    if (unpacked === "malformed" || !Array.isArray(unpacked.value)) {
        return undefined;
    }
    const kind: unknown = unpacked.value[0];
    const schema = typeof kind === "number" ? schemas[kind] : undefined;
    const parsed = schema?.safeParse(unpacked.value);
    return parsed?.success === true ? parsed.data : undefined;
}
