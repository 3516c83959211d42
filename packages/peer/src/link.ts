/**
 * One WebSocket with an inbox that its task reads from. Events of the socket only fill the inbox or end the link.
 */
import { type Timers, withDeadline } from "@tanagerlink/timers";
import type { X509Certificate } from "node:crypto";
import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import { type RawData, WebSocket } from "ws";
import { FrameKind, type HelloFrame } from "./frames.ts";
import type { CloseReason, PeerMetrics } from "./peerMetrics.ts";
import { Pulse, type PulseLimits } from "./pulse.ts";

/** Status of a closing frame when the endpoint goes away, from RFC 6455. */
const GOING_AWAY = 1001;

/** Who opened the link. */
export type LinkDirection = "outgoing" | "incoming";

const nobody: HelloFrame = {
    kind: FrameKind.Hello,
    version: 0,
    node: "",
    boot: "",
    address: "",
    failureDomain: "",
};

export class Link {
    readonly direction: LinkDirection;
    readonly pulse: Pulse;
    /** Set by the handshake. */
    remote = nobody;
    private readonly socket: WebSocket;
    private readonly metrics: PeerMetrics;
    private readonly inbox: Uint8Array[] = [];
    private reader: ((message: Uint8Array | undefined) => void) | undefined;
    private ended = false;
    private stream: Socket | undefined;

    /** `stream` is the connection of an accepted socket; that of an outgoing one is known when it opens. */
    constructor(
        socket: WebSocket,
        stream: Socket | undefined,
        direction: LinkDirection,
        timers: Timers,
        limits: PulseLimits,
        metrics: PeerMetrics,
    ) {
        this.socket = socket;
        this.stream = stream;
        this.direction = direction;
        this.metrics = metrics;
        this.pulse = new Pulse(timers, limits);
        socket.on("upgrade", response => {
            this.stream = response.socket;
        });
        socket.on("message", (data, isBinary) => this.receiveMessage(data, isBinary));
        socket.on("close", () => this.close("remote"));
        socket.on("error", () => this.close("remote"));
    }

    get open(): boolean {
        return !this.ended && this.socket.readyState === WebSocket.OPEN;
    }

    /** Bytes that the operating system has not accepted yet. */
    get bufferedBytes(): number {
        return this.socket.bufferedAmount;
    }

    /** Bytes read from the connection, parts of messages included. */
    get readBytes(): number {
        return this.stream?.bytesRead ?? 0;
    }

    get encrypted(): boolean {
        return this.stream instanceof TLSSocket;
    }

    /** Certificate that the peer presented, already checked against the authorities. */
    get certificate(): X509Certificate | undefined {
        return this.stream instanceof TLSSocket ? this.stream.getPeerX509Certificate() : undefined;
    }

    /** Gives a message to the socket; `sent` is called once the operating system has accepted it or the link failed. */
    send(message: Uint8Array, sent?: () => void): void {
        this.metrics.sent(message.byteLength);
        this.socket.send(message, () => sent?.());
    }

    /** The next message, or `undefined` when the link has ended. Messages left over at the end are discarded. */
    receive(): Promise<Uint8Array | undefined> {
        if (this.ended) {
            return Promise.resolve(undefined);
        }
        const message = this.inbox.shift();
        if (message !== undefined) {
            return Promise.resolve(message);
        }
        return new Promise(resolve => {
            this.reader = resolve;
        });
    }

    /** Ends the link at once. A closing handshake is not waited for, since the peer may be silent. */
    close(reason: CloseReason): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.metrics.closed(reason);
        this.socket.terminate();
        this.inbox.length = 0;
        this.reader?.(undefined);
        this.reader = undefined;
    }

    /**
     * Ends the link after everything sent on it has arrived, which the peer confirms by its closing frame. A connection
     * that is closed with unread data is reset, and a reset discards data that is still on its way to the peer.
     */
    async end(reason: CloseReason, timers: Timers, withinMilliseconds: number): Promise<void> {
        if (this.open) {
            const closed = new Promise<void>(resolve => this.socket.once("close", () => resolve()));
            this.socket.close(GOING_AWAY);
            await withDeadline(timers, withinMilliseconds, closed);
        }
        this.close(reason);
    }

    private receiveMessage(data: RawData, isBinary: boolean): void {
        if (this.ended) {
            return;
        }
        this.pulse.heard();
        if (!isBinary || !(data instanceof Uint8Array)) {
            this.metrics.dropped("malformed");
            return;
        }
        const reader = this.reader;
        if (reader === undefined) {
            this.inbox.push(data);
            return;
        }
        this.reader = undefined;
        reader(data);
    }
}
