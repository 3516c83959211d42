/**
 * The task that keeps one link open to one peer: connect, serve until the link ends, wait, connect again.
 */
import { sleep, type Timers } from "@tanagerlink/timers";
import { WebSocket } from "ws";
import { Link } from "./link.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerAddress } from "./peerNetwork.ts";
import type { PeerNetworkLimits } from "./peerOptions.ts";

export const PEER_PATH = "/peer";

export interface OutgoingLinkParts {
    readonly timers: Timers;
    readonly limits: PeerNetworkLimits;
    readonly metrics: PeerMetrics;
    readonly random: () => number;
    /** Runs a connected link to its end; returns whether its handshake succeeded. */
    readonly serve: (link: Link, expectedNode: string) => Promise<boolean>;
}

export class OutgoingLink implements AsyncDisposable {
    readonly peer: PeerAddress;
    private readonly parts: OutgoingLinkParts;
    private readonly abort = new AbortController();
    private readonly task: Promise<void>;
    private link: Link | undefined;

    constructor(peer: PeerAddress, parts: OutgoingLinkParts) {
        this.peer = peer;
        this.parts = parts;
        this.task = this.run();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.abort.abort();
        this.link?.close("retired");
        await this.task;
    }

    private async run(): Promise<void> {
        let failures = 0;
        while (!this.abort.signal.aborted) {
            const served = await this.connectAndServe();
            failures = served ? 0 : failures + 1;
            await sleep(this.parts.timers, this.backoff(failures), this.abort.signal);
        }
    }

    private async connectAndServe(): Promise<boolean> {
        const { limits, metrics, timers, serve } = this.parts;
        const url = `ws://${this.peer.address}${PEER_PATH}`;
        if (!URL.canParse(url)) {
            return false;
        }
        const socket = new WebSocket(url, {
            perMessageDeflate: false,
            maxPayload: limits.maximumMessageBytes,
            // Masking protects HTTP intermediaries, of which there are none here. It took half of the CPU time of calls
            // with bodies of 16 KiB; a mask of zeros is skipped.
            generateMask: mask => void mask.fill(0),
        });
        const link = new Link(socket, undefined, "outgoing", timers, limits, metrics);
        this.link = link;
        if (!await this.opened(socket) || this.abort.signal.aborted) {
            link.close("handshake");
            return false;
        }
        return await serve(link, this.peer.id);
    }

    /** Waits until the socket is open; `false` when it fails or takes longer than the permitted silence. */
    private opened(socket: WebSocket): Promise<boolean> {
        return new Promise(resolve => {
            const finish = (opened: boolean): void => {
                timeout[Symbol.dispose]();
                this.abort.signal.removeEventListener("abort", stop);
                resolve(opened);
            };
            const stop = (): void => finish(false);
            const timeout = this.parts.timers.after(this.parts.limits.silenceMilliseconds, stop);
            this.abort.signal.addEventListener("abort", stop);
            socket.once("open", () => finish(true));
            socket.once("close", stop);
            socket.once("error", stop);
        });
    }

    /** Exponential with full jitter, so that the processes do not reconnect to a restarted peer at the same moment. */
    private backoff(failures: number): number {
        const { shortestBackoffMilliseconds, longestBackoffMilliseconds } = this.parts.limits;
        const longest = Math.min(longestBackoffMilliseconds, shortestBackoffMilliseconds * 2 ** Math.min(failures, 16));
        return shortestBackoffMilliseconds * 0.5 + this.parts.random() * (longest - shortestBackoffMilliseconds * 0.5);
    }
}
