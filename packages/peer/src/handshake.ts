/**
 * The exchange of hello frames at the start of a link. The side that opened the link sends its hello frame first.
 */
import { hasIdentity, peerIdentity } from "@tanagerlink/certificates";
import { type Timers, withDeadline } from "@tanagerlink/timers";
import { decodeFrame, encodeFrame, FrameKind, type HelloFrame, PROTOCOL_VERSION } from "./frames.ts";
import type { Link } from "./link.ts";

/** Why a handshake failed. */
export interface HandshakeFault {
    readonly message: string;
    /** Whether the certificate of the peer does not contain the identity that its hello frame claims. */
    readonly isIdentityFault: boolean;
}

/** Exchanges hello frames and sets `link.remote`. Returns `undefined` when the link may be used. */
export async function performHandshake(
    link: Link,
    ownHello: HelloFrame,
    expectedNode: string | undefined,
    timers: Timers,
    withinMilliseconds: number,
): Promise<HandshakeFault | undefined> {
    if (link.direction === "outgoing") {
        link.send(encodeFrame(ownHello));
    }
    const message = await withDeadline(timers, withinMilliseconds, link.receive());
    if (message === undefined) {
        return createFault("no hello frame was received");
    }
    const hello = decodeFrame(message);
    if (hello?.kind !== FrameKind.Hello) {
        return createFault("the first message is not a hello frame");
    }
    link.remote = hello;
    const identityMessage = findIdentityFault(link);
    if (identityMessage !== undefined) {
        return { message: identityMessage, isIdentityFault: true };
    }
    // Sent before the other checks, so that the peer can log the same fault. A process with a false identity gets no
    // hello frame: it would consider the link open and send calls, whose outcome would then be unknown to it.
    if (link.direction === "incoming" && link.isOpen) {
        link.send(encodeFrame(ownHello));
    }
    const helloMessage = findHelloFault(hello, ownHello, expectedNode);
    return helloMessage === undefined ? undefined : createFault(helloMessage);
}

function createFault(message: string): HandshakeFault {
    return { message, isIdentityFault: false };
}

/**
 * Compares the node and failure domain of the hello frame with the identity in the peer's certificate. Both sides do
 * so. Addresses are not compared, since they change with each replaced VM. Returns `undefined` when the names match or
 * the link has no TLS.
 */
function findIdentityFault(link: Link): string | undefined {
    const { node, failureDomain } = link.remote;
    const expected = peerIdentity(failureDomain, node);
    const { certificate } = link;
    return !link.isEncrypted || (certificate !== undefined && hasIdentity(certificate, expected))
        ? undefined
        : `the certificate does not contain the URI ${expected}`;
}

function findHelloFault(hello: HelloFrame, ownHello: HelloFrame, expectedNode: string | undefined): string | undefined {
    if (hello.version !== PROTOCOL_VERSION) {
        return `peer protocol version is ${hello.version}, not ${PROTOCOL_VERSION}; run the same release on all processes`;
    }
    if (hello.node === ownHello.node) {
        return `the peer has the same identifier ${ownHello.node} as this process; give each process its own --node-id`;
    }
    if (expectedNode !== undefined && hello.node !== expectedNode) {
        return `the process at this address is ${hello.node}, not ${expectedNode}`;
    }
    return undefined;
}
