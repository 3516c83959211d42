/**
 * Networks, raw connections and certificates for the tests of peer links.
 */
import { type Credentials, type CredentialSource, parseCredentials, peerIdentity } from "@tanagerlink/certificates";
import { AuthorityStandIn, type IssuedCertificate } from "@tanagerlink/stand-ins";
import { Metrics, silentLogger } from "@tanagerlink/telemetry";
import { sleep, SystemTimers } from "@tanagerlink/timers";
import { once } from "node:events";
import { WebSocket } from "ws";
import * as z from "zod";
import { decodeFrame, encodeFrame, type Frame, FrameKind, type HelloFrame, PROTOCOL_VERSION } from "../src/frames.ts";
import {
    type PeerMethod,
    type PeerNetworkOptions,
    type PeerTls,
    PeerTlsMode,
    WebSocketPeerNetwork,
} from "../src/index.ts";

export const timers = new SystemTimers(failure => {
    throw failure;
});

const body = z.object({ text: z.string(), bytes: z.instanceof(Uint8Array) });
export type Body = z.infer<typeof body>;
export const append: PeerMethod<Body, Body> = { name: "append", request: body, answer: body };
export const read: PeerMethod<Body, Body> = { ...append, name: "read", idempotent: true };
export const message: Body = { text: "t", bytes: new Uint8Array([0, 255, 128]) };

/** Short periods, so that a link is replaced within tenths of a second. */
const limits = {
    heartbeatMilliseconds: 40,
    silenceMilliseconds: 160,
    minimumBackoffMilliseconds: 5,
    maximumBackoffMilliseconds: 20,
};

/** Authority that issues the certificates of the tests. */
export const authority = await AuthorityStandIn.create();

/** Issues a certificate for a process in the failure domain `north`, which all tests use. */
export function issue(id: string, validMilliseconds?: number, issuer = authority): Promise<IssuedCertificate> {
    const validity = validMilliseconds === undefined ? {} : { validMilliseconds };
    return issuer.issue({ name: id, uris: [peerIdentity("north", id)], ...validity });
}

/** Credentials that a test replaces directly, without files. */
export class ReplaceableCredentials implements PeerTls {
    readonly mode: PeerTlsMode;
    readonly credentials: CredentialSource = this;
    private readonly listeners: ((credentials: Credentials) => void)[] = [];
    private issued: IssuedCertificate;

    constructor(issued: IssuedCertificate, mode: PeerTlsMode = PeerTlsMode.Required) {
        this.issued = issued;
        this.mode = mode;
    }

    current() {
        return parseCredentials(this.issued, ["certificate", "key", "authority"])._unsafeUnwrap();
    }

    subscribe(listener: (credentials: Credentials) => void): void {
        this.listeners.push(listener);
    }

    replace(issued: IssuedCertificate): void {
        this.issued = issued;
        this.listeners.forEach(listener => listener(this.current()));
    }
}

/** Networks, relays and raw peers of one test, which are closed in reverse order of creation. */
export class Fixture implements AsyncDisposable {
    private readonly parts: AsyncDisposable[] = [];
    private readonly metrics = new Map<string, Metrics>();

    private readonly secure: boolean;

    /** With `secure`, all processes have certificates and use TLS. */
    constructor(secure = false) {
        this.secure = secure;
    }

    async start(
        id: string,
        limitOverrides: Partial<PeerNetworkOptions["limits"]> = {},
        options: Partial<PeerNetworkOptions> = {},
    ): Promise<WebSocketPeerNetwork> {
        const metrics = new Metrics();
        this.metrics.set(id, metrics);
        const network = (await WebSocketPeerNetwork.listen({
            id,
            failureDomain: "north",
            address: "127.0.0.1:0",
            timers,
            logger: silentLogger,
            metrics,
            limits: { ...limits, ...limitOverrides },
            tls: this.secure ? new ReplaceableCredentials(await issue(id)) : undefined,
            ...options,
        }))._unsafeUnwrap();
        return this.add(network);
    }

    add<Part extends AsyncDisposable>(part: Part): Part {
        this.parts.unshift(part);
        return part;
    }

    /** Value of one series in the metrics of a network. */
    async metric(id: string, series: string): Promise<number> {
        const text = await this.metrics.get(id)?.exposition() ?? "";
        const line = text.split("\n").find(candidate => candidate.startsWith(`${series} `));
        return line === undefined ? 0 : Number(line.slice(series.length + 1));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const part of this.parts) {
            await part[Symbol.asyncDispose]();
        }
    }
}

/** Waits until the condition holds; throws after 5 s. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
    const end = timers.now() + 5_000;
    while (!await condition()) {
        if (timers.now() > end) {
            throw new Error(`condition did not hold within 5 s: ${condition.toString()}`);
        }
        await sleep(timers, 5);
    }
}

export function link(from: WebSocketPeerNetwork, to: string, address: string): void {
    from.setPeers([{ id: to, address, failureDomain: "north" }]);
}

export function isLinked(from: WebSocketPeerNetwork, to: string): boolean {
    return from.links().some(state => state.peer.id === to && state.connected);
}

export function helloOf(node: string, boot = "boot-1"): HelloFrame {
    return {
        kind: FrameKind.Hello,
        version: PROTOCOL_VERSION,
        node,
        boot,
        address: "127.0.0.1:1",
        failureDomain: "north",
    };
}

/** A connection that sends and receives individual frames, without heartbeats, retries or deduplication. */
export class RawPeer implements AsyncDisposable {
    readonly received: Frame[] = [];
    readonly socket: WebSocket;

    constructor(socket: WebSocket) {
        this.socket = socket;
        socket.on("error", () => undefined);
        socket.on("message", data => {
            const frame = data instanceof Uint8Array ? decodeFrame(data) : undefined;
            if (frame !== undefined) {
                this.received.push(frame);
            }
        });
    }

    static async connect(address: string, hello: HelloFrame, issued?: IssuedCertificate): Promise<RawPeer> {
        const peer = new RawPeer(
            issued === undefined
                ? new WebSocket(`ws://${address}/peer`)
                : new WebSocket(`wss://${address}/peer`, {
                    cert: issued.certificate,
                    key: issued.key,
                    ca: issued.authority,
                    checkServerIdentity: () => false,
                }),
        );
        await once(peer.socket, "open");
        peer.send(hello);
        await until(() => peer.received.some(frame => frame.kind === FrameKind.Hello));
        return peer;
    }

    send(frame: Frame): void {
        this.socket.send(encodeFrame(frame));
    }

    answers(): Frame[] {
        return this.received.filter(frame => frame.kind === FrameKind.Answer || frame.kind === FrameKind.Failure);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.socket.terminate();
        await Promise.resolve();
    }
}
