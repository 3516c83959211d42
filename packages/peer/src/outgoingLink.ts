/**
 * Keeps one link open to one peer: connects, serves the link until it ends, and reconnects with exponential backoff.
 */
import { sleep, type Timers } from "@tanagerlink/timers";
import { type ClientOptions, WebSocket } from "ws";
import { Link } from "./link.ts";
import { errorCodeOf, type LinkRefusals, RefusalReason, tlsRefusalReason } from "./linkRefusal.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerAddress } from "./peerNetwork.ts";
import { type PeerNetworkLimits, type PeerTls, PeerTlsMode } from "./peerOptions.ts";

export const PEER_PATH = "/peer";

export interface OutgoingLinkDependencies {
    readonly timers: Timers;
    readonly limits: PeerNetworkLimits;
    readonly metrics: PeerMetrics;
    readonly refusals: LinkRefusals;
    readonly tls: PeerTls | undefined;
    readonly random: () => number;
    /** Serves a connected link until it ends; returns whether its handshake succeeded. */
    readonly serve: (link: Link, expectedNode: string) => Promise<boolean>;
}

export class OutgoingLink implements AsyncDisposable {
    readonly peer: PeerAddress;
    private readonly dependencies: OutgoingLinkDependencies;
    private readonly abort = new AbortController();
    private readonly task: Promise<void>;
    private link: Link | undefined;

    constructor(peer: PeerAddress, dependencies: OutgoingLinkDependencies) {
        this.peer = peer;
        this.dependencies = dependencies;
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
            const hasCompletedHandshake = await this.connectAndServe();
            failures = hasCompletedHandshake ? 0 : failures + 1;
            await sleep(this.dependencies.timers, this.backoffMilliseconds(failures), this.abort.signal);
        }
    }

    private async connectAndServe(): Promise<boolean> {
        const { serve, tls } = this.dependencies;
        const firstAttempt = await this.connect(tls);
        const link = firstAttempt === RefusalReason.Plain && tls?.mode === PeerTlsMode.Optional
            ? await this.connect(undefined)
            : firstAttempt;
        return link instanceof Link && await serve(link, this.peer.id);
    }

    /** Opens a connection. Returns the refusal reason when TLS failed, and `undefined` when anything else failed. */
    private async connect(tls: PeerTls | undefined): Promise<Link | RefusalReason | undefined> {
        const { limits, metrics, timers, refusals } = this.dependencies;
        const url = `${tls === undefined ? "ws" : "wss"}://${this.peer.address}${PEER_PATH}`;
        if (!URL.canParse(url)) {
            return undefined;
        }
        const socket = new WebSocket(url, {
            ...(tls === undefined ? {} : tlsClientOptions(tls)),
            perMessageDeflate: false,
            maxPayload: limits.maximumMessageBytes,
            // Masking protects HTTP intermediaries, which peer links do not pass through, and took half of the CPU time
            // of calls with 16 KiB bodies. The library skips a mask of zeros.
            generateMask: mask => void mask.fill(0),
        });
        const link = new Link(socket, undefined, "outgoing", timers, limits, metrics);
        this.link = link;
        const failure = await this.waitForOpen(socket);
        if (failure === undefined && !this.abort.signal.aborted) {
            return link;
        }
        link.close("handshake");
        const reason = tls === undefined ? undefined : tlsRefusalReason(errorCodeOf(failure));
        const fallsBackToPlain = reason === RefusalReason.Plain && tls?.mode === PeerTlsMode.Optional;
        if (reason !== undefined && !fallsBackToPlain) {
            refusals.recordRefusal(reason, this.peer.id, failure);
        }
        return reason;
    }

    /**
     * Waits until the socket is open. Returns the error if it does not open, also when it takes longer than
     * `silenceMilliseconds`.
     */
    private waitForOpen(socket: WebSocket): Promise<Error | undefined> {
        return new Promise(resolve => {
            const finish = (failure: Error | undefined): void => {
                timeout[Symbol.dispose]();
                this.abort.signal.removeEventListener("abort", stop);
                resolve(failure);
            };
            const stop = (): void => finish(new Error("the peer connection did not open"));
            const timeout = this.dependencies.timers.after(this.dependencies.limits.silenceMilliseconds, stop);
            this.abort.signal.addEventListener("abort", stop);
            socket.once("open", () => finish(undefined));
            socket.once("close", stop);
            // Runs before the link's own listener, which terminates the socket, so that the error is not lost.
            socket.prependOnceListener("error", finish);
        });
    }

    /** Exponential backoff with full jitter, so that processes do not reconnect to a restarted peer simultaneously. */
    private backoffMilliseconds(failures: number): number {
        const { minimumBackoffMilliseconds, maximumBackoffMilliseconds } = this.dependencies.limits;
        const upperBound = Math.min(
            maximumBackoffMilliseconds,
            minimumBackoffMilliseconds * 2 ** Math.min(failures, 16),
        );
        return minimumBackoffMilliseconds * 0.5
            + this.dependencies.random() * (upperBound - minimumBackoffMilliseconds * 0.5);
    }
}

/** Host names do not identify a process, so they are not checked here; the handshake checks the peer's identity. */
function tlsClientOptions({ credentials }: PeerTls): ClientOptions {
    const { certificate, key, authority } = credentials.current();
    return {
        cert: certificate,
        key,
        ca: authority ?? [],
        minVersion: "TLSv1.3",
        rejectUnauthorized: true,
        // At run time an error or a falsy value is expected, although the declared return type is a boolean.
        checkServerIdentity: () => false,
    };
}
