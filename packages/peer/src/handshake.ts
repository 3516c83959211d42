/**
 * The exchange of hello frames at the start of a link. The side that opened the link speaks first.
 */
import { type Timers, withDeadline } from "@tanagerlink/timers";
import { decodeFrame, encodeFrame, FrameKind, type HelloFrame, PROTOCOL_VERSION } from "./frames.ts";
import type { Link } from "./link.ts";

/** Why a handshake failed, in words for the log. */
export type HandshakeFault = string;

/** Exchanges hello frames and sets `link.remote`; `undefined` when the link may be used. */
export async function shakeHands(
    link: Link,
    own: HelloFrame,
    expectedNode: string | undefined,
    timers: Timers,
    withinMilliseconds: number,
): Promise<HandshakeFault | undefined> {
    if (link.direction === "outgoing") {
        link.send(encodeFrame(own));
    }
    const message = await withDeadline(timers, withinMilliseconds, link.receive());
    if (message === undefined) {
        return "no hello was received";
    }
    const hello = decodeFrame(message);
    if (hello?.kind !== FrameKind.Hello) {
        return "the first message is not a hello";
    }
    // Sent before the checks, so that the other side can log the same fault.
    if (link.direction === "incoming" && link.open) {
        link.send(encodeFrame(own));
    }
    link.remote = hello;
    return helloFault(hello, own, expectedNode);
}

function helloFault(hello: HelloFrame, own: HelloFrame, expectedNode: string | undefined): HandshakeFault | undefined {
    if (hello.version !== PROTOCOL_VERSION) {
        return `protocol version ${hello.version} differs from ${PROTOCOL_VERSION}; run the same release on all processes`;
    }
    if (hello.node === own.node) {
        return `the other process has the same identifier ${own.node}; give each process its own --node-id`;
    }
    if (expectedNode !== undefined && hello.node !== expectedNode) {
        return `the process at this address is ${hello.node}, not ${expectedNode}`;
    }
    return undefined;
}
