/**
 * The task that keeps one link open to one peer: connect, serve until the link ends, wait, connect again.
 */
import { sleep, type Timers } from "@tanagerlink/timers";
import { type ClientOptions, WebSocket } from "ws";
import { Link } from "./link.ts";
import { codeOf, type LinkRefusals, RefusalReason, tlsRefusal } from "./linkRefusal.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerAddress } from "./peerNetwork.ts";
import { type PeerNetworkLimits, type PeerTls, PeerTlsMode } from "./peerOptions.ts";

export const PEER_PATH = "/peer";

export interface OutgoingLinkParts {
    readonly timers: Timers;
    readonly limits: PeerNetworkLimits;
    readonly metrics: PeerMetrics;
    readonly refusals: LinkRefusals;
    readonly tls: PeerTls | undefined;
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
        const { serve, tls } = this.parts;
        const first = await this.connect(tls);
        const link = first === RefusalReason.Plain && tls?.mode === PeerTlsMode.Optional
            ? await this.connect(undefined)
            : first;
        return link instanceof Link && await serve(link, this.peer.id);
    }

    /** Opens a connection; the result is the reason when TLS failed, and `undefined` for other causes. */
    private async connect(tls: PeerTls | undefined): Promise<Link | RefusalReason | undefined> {
        const { limits, metrics, timers, refusals } = this.parts;
        const url = `${tls === undefined ? "ws" : "wss"}://${this.peer.address}${PEER_PATH}`;
        if (!URL.canParse(url)) {
            return undefined;
        }
        const socket = new WebSocket(url, {
            ...(tls === undefined ? {} : secureOptions(tls)),
            perMessageDeflate: false,
            maxPayload: limits.maximumMessageBytes,
            // Masking protects HTTP intermediaries, of which there are none here. It took half of the CPU time of calls
            // with bodies of 16 KiB; a mask of zeros is skipped.
            generateMask: mask => void mask.fill(0),
        });
        const link = new Link(socket, undefined, "outgoing", timers, limits, metrics);
        this.link = link;
        const failure = await this.opened(socket);
        if (failure === undefined && !this.abort.signal.aborted) {
            return link;
        }
        link.close("handshake");
        const reason = tls === undefined ? undefined : tlsRefusal(codeOf(failure));
        const fallsBack = reason === RefusalReason.Plain && tls?.mode === PeerTlsMode.Optional;
        if (reason !== undefined && !fallsBack) {
            refusals.refuse(reason, this.peer.id, failure);
        }
        return reason;
    }

    /** Waits until the socket is open; the result is why it is not, also after the permitted silence. */
    private opened(socket: WebSocket): Promise<Error | undefined> {
        return new Promise(resolve => {
            const finish = (failure: Error | undefined): void => {
                timeout[Symbol.dispose]();
                this.abort.signal.removeEventListener("abort", stop);
                resolve(failure);
            };
            const stop = (): void => finish(new Error("not opened"));
            const timeout = this.parts.timers.after(this.parts.limits.silenceMilliseconds, stop);
            this.abort.signal.addEventListener("abort", stop);
            socket.once("open", () => finish(undefined));
            socket.once("close", stop);
            // Before the link's own listener, which ends the socket, so that the cause is not lost.
            socket.prependOnceListener("error", finish);
        });
    }

    /** Exponential with full jitter, so that the processes do not reconnect to a restarted peer at the same moment. */
    private backoff(failures: number): number {
        const { shortestBackoffMilliseconds, longestBackoffMilliseconds } = this.parts.limits;
        const longest = Math.min(longestBackoffMilliseconds, shortestBackoffMilliseconds * 2 ** Math.min(failures, 16));
        return shortestBackoffMilliseconds * 0.5 + this.parts.random() * (longest - shortestBackoffMilliseconds * 0.5);
    }
}

/** The identity is compared after the handshake; host names say nothing about a process. */
function secureOptions({ credentials }: PeerTls): ClientOptions {
    const { certificate, key, authority } = credentials.current();
    return {
        cert: certificate,
        key,
        ca: authority ?? [],
        minVersion: "TLSv1.3",
        rejectUnauthorized: true,
        // The library expects an error or nothing, although its declared type is a boolean.
        checkServerIdentity: () => false,
    };
}
