/**
 * The exchange of hello frames at the start of a link. The side that opened the link speaks first.
 */
import { namesIdentity, peerIdentity } from "@tanagerlink/certificates";
import { type Timers, withDeadline } from "@tanagerlink/timers";
import { decodeFrame, encodeFrame, FrameKind, type HelloFrame, PROTOCOL_VERSION } from "./frames.ts";
import type { Link } from "./link.ts";

/** Why a handshake failed. */
export interface HandshakeFault {
    /** In words for the log. */
    readonly text: string;
    /** Whether the certificate belongs to another process. */
    readonly foreign: boolean;
}

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
        return fault("no hello was received");
    }
    const hello = decodeFrame(message);
    if (hello?.kind !== FrameKind.Hello) {
        return fault("the first message is not a hello");
    }
    link.remote = hello;
    const foreign = identityFault(link);
    if (foreign !== undefined) {
        return { text: foreign, foreign: true };
    }
    // Sent before the other checks, so that the other side can log the same fault. A process with a false identity gets
    // none: it would take the link for open and send calls, whose outcome it could not know.
    if (link.direction === "incoming" && link.open) {
        link.send(encodeFrame(own));
    }
    const text = helloFault(hello, own, expectedNode);
    return text === undefined ? undefined : fault(text);
}

function fault(text: string): HandshakeFault {
    return { text, foreign: false };
}

/**
 * Compares the names of the hello with the certificate of the link. Both sides do so, and addresses are not compared,
 * since they change with each replaced VM. `undefined` when they agree or the link has no TLS.
 */
function identityFault(link: Link): string | undefined {
    const { node, failureDomain } = link.remote;
    const expected = peerIdentity(failureDomain, node);
    const { certificate } = link;
    return !link.encrypted || (certificate !== undefined && namesIdentity(certificate, expected))
        ? undefined
        : `the certificate lacks the URI ${expected}`;
}

function helloFault(hello: HelloFrame, own: HelloFrame, expectedNode: string | undefined): string | undefined {
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
