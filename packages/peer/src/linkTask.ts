/**
 * Serves one link: performs the handshake, then dispatches the received messages one by one until the link ends.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { CallReceiver } from "./callReceiver.ts";
import { type AnswerFrame, decodeFrame, type FailureFrame, FrameKind, type HelloFrame } from "./frames.ts";
import { performHandshake } from "./handshake.ts";
import type { Heartbeats } from "./heartbeats.ts";
import type { Link } from "./link.ts";
import { type LinkRefusals, RefusalReason } from "./linkRefusal.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerAddress } from "./peerNetwork.ts";
import type { PeerNetworkLimits } from "./peerOptions.ts";
import type { PeerSession } from "./peerSession.ts";

export interface LinkTaskDependencies {
    readonly timers: Timers;
    readonly limits: PeerNetworkLimits;
    readonly logger: Logger;
    readonly metrics: PeerMetrics;
    readonly refusals: LinkRefusals;
    readonly heartbeats: Heartbeats;
    readonly receiver: CallReceiver;
    readonly createHello: () => HelloFrame;
    readonly sessionOf: (peer: PeerAddress) => PeerSession;
    /** Whether the call identifier was never used, or belongs to a pending call to another peer. */
    readonly isForeignCallId: (id: number) => boolean;
}

/** Serves a link until it ends; returns whether its handshake succeeded. */
export async function serveLink(
    dependencies: LinkTaskDependencies,
    link: Link,
    expectedNode?: string,
): Promise<boolean> {
    const { timers, limits, logger, heartbeats } = dependencies;
    // The opening of the connection and the exchange of hello frames share one time limit. With a limit for each, a
    // connection that goes silent in between would take all the time for which calls wait for a link.
    const deadline = link.createdAt + limits.silenceMilliseconds;
    const fault = await performHandshake(
        link,
        dependencies.createHello(),
        expectedNode,
        timers,
        Math.max(0, deadline - timers.now()),
    );
    if (fault?.isIdentityFault === true) {
        dependencies.refusals.recordRefusal(RefusalReason.Identity, link.remote.node, fault.message);
    }
    else if (fault !== undefined) {
        logger.warn({ peer: expectedNode ?? link.remote.node, fault: fault.message }, "peer link refused");
    }
    if (fault !== undefined) {
        link.close("handshake");
        return false;
    }
    const { node, address, failureDomain } = link.remote;
    const session = dependencies.sessionOf({ id: node, address, failureDomain });
    link.monitor.resetSilence();
    session.attach(link);
    logger.info({ peer: node, direction: link.direction, encrypted: link.isEncrypted }, "peer link opened");
    heartbeats.checkAndSend(link, session, heartbeats.packPayload());
    for (let message = await link.receive(); message !== undefined; message = await link.receive()) {
        dispatchGuarded(dependencies, link, session, message);
    }
    session.detach(link);
    logger.info({ peer: node, direction: link.direction }, "peer link ended");
    return true;
}

function dispatchGuarded(
    dependencies: LinkTaskDependencies,
    link: Link,
    session: PeerSession,
    message: Uint8Array,
): void {
    try {
        dispatch(dependencies, link, session, message);
    }
    catch (failure) {
        dependencies.metrics.recordDropped("malformed");
        dependencies.logger.error(
            { peer: session.peer.id, reason: describeUnknown(failure) },
            "failed to handle a frame from a peer",
        );
    }
}

function dispatch(dependencies: LinkTaskDependencies, link: Link, session: PeerSession, message: Uint8Array): void {
    const frame = decodeFrame(message);
    switch (frame?.kind) {
        case FrameKind.Heartbeat:
            link.monitor.receiveHeartbeat(frame);
            dependencies.heartbeats.deliver(session.peer.id, frame.payload);
            break;
        case FrameKind.Call:
            dependencies.receiver.receive(link, frame);
            break;
        case FrameKind.Answer:
        case FrameKind.Failure:
            deliverAnswer(dependencies, link, session, frame);
            break;
        default:
            dependencies.metrics.recordDropped(frame === undefined ? "malformed" : "unexpected");
    }
}

function deliverAnswer(
    dependencies: LinkTaskDependencies,
    link: Link,
    session: PeerSession,
    frame: AnswerFrame | FailureFrame,
): void {
    if (!session.receiveAnswer(link, frame)) {
        dependencies.metrics.recordDropped(dependencies.isForeignCallId(frame.id) ? "foreign" : "late");
    }
}
