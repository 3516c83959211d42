/**
 * One WebSocket connection to a peer with an inbox of received messages. Socket events only fill the inbox or end the
 * link; the task that serves the link reads from the inbox.
 */
import { type Timers, withDeadline } from "@tanagerlink/timers";
import type { X509Certificate } from "node:crypto";
import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";
import { type RawData, WebSocket } from "ws";
import { FrameKind, type HelloFrame } from "./frames.ts";
import { LinkMonitor, type LinkMonitorLimits } from "./linkMonitor.ts";
import type { CloseReason, PeerMetrics } from "./peerMetrics.ts";

/** Status code of a closing frame for an endpoint that goes away (RFC 6455). */
const GOING_AWAY_STATUS = 1001;

/** Who opened the link. */
export type LinkDirection = "outgoing" | "incoming";

/** Value of `Link.remote` until the hello frame of the peer has been received. */
const unidentifiedHello: HelloFrame = {
    kind: FrameKind.Hello,
    version: 0,
    node: "",
    boot: "",
    address: "",
    failureDomain: "",
};

export class Link {
    readonly direction: LinkDirection;
    readonly monitor: LinkMonitor;
    /** Hello frame of the peer, set by the handshake. */
    remote = unidentifiedHello;
    private readonly socket: WebSocket;
    private readonly metrics: PeerMetrics;
    private readonly inbox: Uint8Array[] = [];
    private reader: ((message: Uint8Array | undefined) => void) | undefined;
    private ended = false;
    /** Monotonic time at which the connection was accepted, or at which its opening began. */
    readonly createdAt: number;
    private stream: Socket | undefined;

    /** `stream` is the connection of an accepted socket; for an outgoing one it is set when the connection opens. */
    constructor(
        socket: WebSocket,
        stream: Socket | undefined,
        direction: LinkDirection,
        timers: Timers,
        limits: LinkMonitorLimits,
        metrics: PeerMetrics,
    ) {
        this.socket = socket;
        this.stream = stream;
        this.direction = direction;
        this.metrics = metrics;
        this.monitor = new LinkMonitor(timers, limits);
        this.createdAt = timers.now();
        socket.on("upgrade", response => {
            this.stream = response.socket;
        });
        socket.on("message", (data, isBinary) => this.receiveMessage(data, isBinary));
        socket.on("close", () => this.close("remote"));
        socket.on("error", () => this.close("remote"));
    }

    get isOpen(): boolean {
        return !this.ended && this.socket.readyState === WebSocket.OPEN;
    }

    /** Bytes written to the socket that the operating system has not accepted yet. */
    get bufferedBytes(): number {
        return this.socket.bufferedAmount;
    }

    /** Bytes read from the connection, including those of incomplete messages. */
    get readBytes(): number {
        return this.stream?.bytesRead ?? 0;
    }

    get isEncrypted(): boolean {
        return this.stream instanceof TLSSocket;
    }

    /** Certificate that the peer presented. It has already been verified against the accepted authorities. */
    get certificate(): X509Certificate | undefined {
        return this.stream instanceof TLSSocket ? this.stream.getPeerX509Certificate() : undefined;
    }

    /** Writes a message to the socket; calls `onDone` once the operating system has accepted it or the link failed. */
    send(message: Uint8Array, onDone?: () => void): void {
        this.metrics.recordSent(message.byteLength);
        this.socket.send(message, () => onDone?.());
    }

    /** Returns the next message, or `undefined` once the link has ended. Unread messages are discarded at the end. */
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

    /** Closes the link immediately, without a closing handshake, since the peer may be silent. */
    close(reason: CloseReason): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.metrics.recordClosed(reason);
        this.socket.terminate();
        this.inbox.length = 0;
        this.reader?.(undefined);
        this.reader = undefined;
    }

    /**
     * Closes the link after a closing handshake: the closing frame of the peer confirms that everything sent has arrived.
     * Closing a connection with unread data resets it, and a reset discards data that is still in transit to the peer.
     */
    async closeGracefully(reason: CloseReason, timers: Timers, withinMilliseconds: number): Promise<void> {
        if (this.isOpen) {
            const closed = new Promise<void>(resolve => this.socket.once("close", () => resolve()));
            this.socket.close(GOING_AWAY_STATUS);
            await withDeadline(timers, withinMilliseconds, closed);
        }
        this.close(reason);
    }

    private receiveMessage(data: RawData, isBinary: boolean): void {
        if (this.ended) {
            return;
        }
        this.monitor.recordReceived();
        if (!isBinary || !(data instanceof Uint8Array)) {
            this.metrics.recordDropped("malformed");
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
