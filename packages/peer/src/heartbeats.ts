/**
 * Sends heartbeats on the links of all sessions and delivers received heartbeat payloads to the listeners.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import { FRAME_FIELDS_RESERVE_BYTES } from "./callCodec.ts";
import { encodeFrame, pack, unpack } from "./frames.ts";
import type { Link } from "./link.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { HeartbeatListener } from "./peerNetwork.ts";
import type { PeerNetworkLimits } from "./peerOptions.ts";
import type { PeerSession } from "./peerSession.ts";

export class Heartbeats {
    private readonly limits: PeerNetworkLimits;
    private readonly logger: Logger;
    private readonly metrics: PeerMetrics;
    private readonly listeners: HeartbeatListener[] = [];
    private payloadProvider: (() => unknown) | undefined;

    constructor(limits: PeerNetworkLimits, logger: Logger, metrics: PeerMetrics) {
        this.limits = limits;
        this.logger = logger;
        this.metrics = metrics;
    }

    setPayloadProvider(provider: () => unknown): void {
        this.payloadProvider = provider;
    }

    addListener(listener: HeartbeatListener): void {
        this.listeners.push(listener);
    }

    /** Packs the payload once for all links; `undefined` when there is none or it is too large. */
    packPayload(): Uint8Array | undefined {
        const provider = this.payloadProvider;
        const packed = provider === undefined
            ? undefined
            : this.runGuarded("heartbeat payload provider failed", () => pack(provider()));
        if (packed !== undefined && packed.byteLength > this.limits.maximumMessageBytes - FRAME_FIELDS_RESERVE_BYTES) {
            this.logger.error(
                { bytes: packed.byteLength },
                "heartbeat payload is too large; sending heartbeats without it",
            );
            this.metrics.recordDropped("oversized");
            return undefined;
        }
        return packed;
    }

    /**
     * Closes the link if it is faulty, otherwise sends a heartbeat. A pair of processes has up to two links; the
     * payload is only sent on the one that this process uses for calls.
     */
    checkAndSend(link: Link, session: PeerSession, payload: Uint8Array | undefined): void {
        const fault = link.monitor.findFault(link.readBytes);
        if (fault !== undefined && link.isOpen) {
            this.logger.warn({ peer: session.peer.id, direction: link.direction, fault }, "closing faulty peer link");
            link.close(fault);
        }
        if (link.isOpen && link.bufferedBytes <= this.limits.maximumBufferedBytes) {
            link.send(encodeFrame(link.monitor.createHeartbeat(session.link === link ? payload : undefined)));
        }
    }

    /** Unpacks a received payload and passes it to the listeners. */
    deliver(peer: string, payload: Uint8Array | undefined): void {
        const unpacked = payload === undefined ? undefined : unpack(payload);
        if (unpacked === "malformed") {
            this.metrics.recordDropped("malformed");
            return;
        }
        if (unpacked === undefined) {
            return;
        }
        for (const listener of this.listeners) {
            this.runGuarded("heartbeat listener failed", () => listener(peer, unpacked.value));
        }
    }

    /** Runs a callback of another component. Its exceptions are logged, so that they do not end a link. */
    private runGuarded<Value>(message: string, action: () => Value): Value | undefined {
        try {
            return action();
        }
        catch (failure) {
            this.logger.error({ reason: describeUnknown(failure) }, message);
            return undefined;
        }
    }
}
