/**
 * Sends heartbeats on the links of all sessions and delivers the payloads that are received.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import { FRAME_BYTES } from "./callCodec.ts";
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
    private provider: (() => unknown) | undefined;

    constructor(limits: PeerNetworkLimits, logger: Logger, metrics: PeerMetrics) {
        this.limits = limits;
        this.logger = logger;
        this.metrics = metrics;
    }

    provide(payload: () => unknown): void {
        this.provider = payload;
    }

    listen(listener: HeartbeatListener): void {
        this.listeners.push(listener);
    }

    /** The packed payload, made once for all links; `undefined` when there is none or it is too large. */
    packPayload(): Uint8Array | undefined {
        const provider = this.provider;
        const packed = provider === undefined
            ? undefined
            : this.guard("heartbeat payload failed", () => pack(provider()));
        if (packed !== undefined && packed.byteLength > this.limits.maximumMessageBytes - FRAME_BYTES) {
            this.logger.error({ bytes: packed.byteLength }, "heartbeat payload is too large and was left out");
            this.metrics.dropped("oversized");
            return undefined;
        }
        return packed;
    }

    /**
     * Closes the link if it is silent, otherwise sends a heartbeat. A pair of processes has up to two links; the payload
     * goes over the one that this process uses for calls.
     */
    beat(link: Link, session: PeerSession, payload: Uint8Array | undefined): void {
        const fault = link.pulse.fault(link.readBytes);
        if (fault !== undefined && link.open) {
            this.logger.warn({ peer: session.peer.id, direction: link.direction, fault }, "peer link is replaced");
            link.close(fault);
        }
        if (link.open && link.bufferedBytes <= this.limits.maximumBufferedBytes) {
            link.send(encodeFrame(link.pulse.beat(session.link === link ? payload : undefined)));
        }
    }

    /** Gives a received payload to the listeners. */
    deliver(peer: string, payload: Uint8Array | undefined): void {
        const unpacked = payload === undefined ? undefined : unpack(payload);
        if (unpacked === "malformed") {
            this.metrics.dropped("malformed");
            return;
        }
        if (unpacked === undefined) {
            return;
        }
        for (const listener of this.listeners) {
            this.guard("heartbeat listener failed", () => listener(peer, unpacked.value));
        }
    }

    /** Runs code of another part; its failures are logged and do not end a link. */
    private guard<Value>(message: string, action: () => Value): Value | undefined {
        try {
            return action();
        }
        catch (failure) {
            this.logger.error({ reason: describeUnknown(failure) }, message);
            return undefined;
        }
    }
}
