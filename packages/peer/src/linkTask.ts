/**
 * The task of one link: handshake, then one message after the other until the link ends.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { CallReceiver } from "./callReceiver.ts";
import { type AnswerFrame, decodeFrame, type FailureFrame, FrameKind, type HelloFrame } from "./frames.ts";
import { shakeHands } from "./handshake.ts";
import type { Heartbeats } from "./heartbeats.ts";
import type { Link } from "./link.ts";
import { type LinkRefusals, RefusalReason } from "./linkRefusal.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerAddress } from "./peerNetwork.ts";
import type { PeerNetworkLimits } from "./peerOptions.ts";
import type { PeerSession } from "./peerSession.ts";

export interface LinkTaskParts {
    readonly timers: Timers;
    readonly limits: PeerNetworkLimits;
    readonly logger: Logger;
    readonly metrics: PeerMetrics;
    readonly refusals: LinkRefusals;
    readonly heartbeats: Heartbeats;
    readonly receiver: CallReceiver;
    readonly hello: () => HelloFrame;
    readonly sessionOf: (peer: PeerAddress) => PeerSession;
    /** Whether the identifier was never used, or belongs to a call to another peer. */
    readonly isForeign: (id: number) => boolean;
}

/** Runs a link to its end; returns whether its handshake succeeded. */
export async function serveLink(parts: LinkTaskParts, link: Link, expectedNode?: string): Promise<boolean> {
    const { timers, limits, logger, heartbeats } = parts;
    const fault = await shakeHands(link, parts.hello(), expectedNode, timers, limits.silenceMilliseconds);
    if (fault?.foreign === true) {
        parts.refusals.refuse(RefusalReason.Identity, link.remote.node, fault.text);
    }
    else if (fault !== undefined) {
        logger.warn({ peer: expectedNode ?? link.remote.node, fault: fault.text }, "peer link refused");
    }
    if (fault !== undefined) {
        link.close("handshake");
        return false;
    }
    const { node, address, failureDomain } = link.remote;
    const session = parts.sessionOf({ id: node, address, failureDomain });
    link.pulse.restart();
    session.attach(link);
    logger.info({ peer: node, direction: link.direction, encrypted: link.encrypted }, "peer link open");
    heartbeats.beat(link, session, heartbeats.packPayload());
    for (let message = await link.receive(); message !== undefined; message = await link.receive()) {
        dispatchGuarded(parts, link, session, message);
    }
    session.detach(link);
    logger.info({ peer: node, direction: link.direction }, "peer link ended");
    return true;
}

function dispatchGuarded(parts: LinkTaskParts, link: Link, session: PeerSession, message: Uint8Array): void {
    try {
        dispatch(parts, link, session, message);
    }
    catch (failure) {
        parts.metrics.dropped("malformed");
        parts.logger.error({ peer: session.peer.id, reason: describeUnknown(failure) }, "frame could not be handled");
    }
}

function dispatch(parts: LinkTaskParts, link: Link, session: PeerSession, message: Uint8Array): void {
    const frame = decodeFrame(message);
    switch (frame?.kind) {
        case FrameKind.Heartbeat:
            link.pulse.take(frame);
            parts.heartbeats.deliver(session.peer.id, frame.payload);
            break;
        case FrameKind.Call:
            parts.receiver.receive(link, frame);
            break;
        case FrameKind.Answer:
        case FrameKind.Failure:
            deliverAnswer(parts, link, session, frame);
            break;
        default:
            parts.metrics.dropped(frame === undefined ? "malformed" : "unexpected");
    }
}

function deliverAnswer(
    parts: LinkTaskParts,
    link: Link,
    session: PeerSession,
    frame: AnswerFrame | FailureFrame,
): void {
    if (!session.answer(link, frame)) {
        parts.metrics.dropped(parts.isForeign(frame.id) ? "foreign" : "late");
    }
}
