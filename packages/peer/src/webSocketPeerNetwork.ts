/**
 * The peer network of one process: a server, one outgoing link to each wanted peer, and one task for each link.
 *
 * Both processes of a pair open a link, since a peer in another failure domain need not have chosen this process. Calls
 * use the own link, and the peer's one while the own one is broken. Both ends watch each link.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Subscription, type Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { Socket } from "node:net";
import type { WebSocket } from "ws";
import * as z from "zod";
import { decodeAnswer, encodeRequest } from "./callCodec.ts";
import { CallMemory } from "./callMemory.ts";
import { CallReceiver } from "./callReceiver.ts";
import { FrameKind, type HelloFrame, PROTOCOL_VERSION } from "./frames.ts";
import { Heartbeats } from "./heartbeats.ts";
import { Link } from "./link.ts";
import { LinkRefusals } from "./linkRefusal.ts";
import { type LinkTaskParts, serveLink } from "./linkTask.ts";
import { OutgoingLink } from "./outgoingLink.ts";
import { createPeerMetrics, type PeerMetrics } from "./peerMetrics.ts";
import type { HeartbeatListener, PeerAddress, PeerLinkState, PeerMethod, PeerNetwork } from "./peerNetwork.ts";
import { defaultLimits, type PeerNetworkLimits, type PeerNetworkOptions } from "./peerOptions.ts";
import { PeerServer } from "./peerServer.ts";
import { PeerSession } from "./peerSession.ts";

/** Time for which a process that opened a link stays in `links()` after its last message. */
const FORGET_SESSION_MILLISECONDS = 60_000;
/** Longer timers than 24.8 days would end at once. */
const LONGEST_DEADLINE_MILLISECONDS = 86_400_000;

/** Longest wait for a peer's answer to the notice of a stop. */
const LEAVING_NOTICE_MILLISECONDS = 1_000;

/** Time without running calls and unsent answers after which the links may be closed; calls may still be on the way. */
const QUIET_MILLISECONDS = 100;
const DRAIN_POLL_MILLISECONDS = 20;

/** Longest wait for the closing frame of a peer when the network stops. */
const CLOSING_MILLISECONDS = 250;

/** Notice that the process with this boot identifier takes no further calls. */
const leavingMethod: PeerMethod<{ boot: string; }, Record<string, never>> = {
    name: "peer/leaving",
    request: z.strictObject({ boot: z.string() }),
    answer: z.strictObject({}),
    idempotent: true,
};

export class WebSocketPeerNetwork implements PeerNetwork {
    readonly id: string;
    /** Changes with each start. */
    readonly bootId = randomUUID();
    private readonly options: PeerNetworkOptions;
    private readonly limits: PeerNetworkLimits;
    private readonly timers: Timers;
    private readonly logger: Logger;
    private readonly metrics: PeerMetrics;
    private readonly refusals: LinkRefusals;
    private readonly memory: CallMemory;
    private readonly receiver: CallReceiver;
    private readonly heartbeats: Heartbeats;
    private readonly linkParts: LinkTaskParts;
    private readonly sessions = new Map<string, PeerSession>();
    private readonly outgoing = new Map<string, OutgoingLink>();
    private readonly incoming = new Set<Link>();
    private readonly tasks = new Set<Promise<unknown>>();
    private ticker: Subscription | undefined;
    private server: PeerServer | undefined;
    private lastCallId = 0;
    private stopped = false;

    private constructor(options: PeerNetworkOptions) {
        this.id = options.id;
        this.options = options;
        this.limits = { ...defaultLimits, ...options.limits };
        this.timers = options.timers;
        this.logger = options.logger;
        this.metrics = createPeerMetrics(options.metrics);
        this.refusals = new LinkRefusals(this.timers, this.logger, this.metrics);
        this.memory = new CallMemory(this.timers, this.limits);
        this.receiver = new CallReceiver(this.memory, this.limits, this.logger, this.metrics);
        this.heartbeats = new Heartbeats(this.limits, this.logger, this.metrics);
        this.linkParts = {
            timers: this.timers,
            limits: this.limits,
            logger: this.logger,
            metrics: this.metrics,
            refusals: this.refusals,
            heartbeats: this.heartbeats,
            receiver: this.receiver,
            hello: () => this.hello(),
            sessionOf: peer => this.sessionOf(peer),
            isForeign: id => this.isForeign(id),
        };
        this.handle(leavingMethod, ({ boot }, peer) => {
            this.sessions.get(peer)?.retire(boot);
            return Promise.resolve(ok({}));
        });
    }

    /**
     * Prepares the end of the process: peers send it nothing new, running calls are finished and their answers handed
     * over. Calls that still arrive are refused as not executed.
     */
    async drain(withinMilliseconds: number): Promise<void> {
        const deadline = this.timers.now() + withinMilliseconds;
        this.receiver.drain(leavingMethod.name);
        const connected = this.links().filter(link => link.connected).map(link => link.peer.id);
        const notice = Math.min(LEAVING_NOTICE_MILLISECONDS, withinMilliseconds);
        await Promise.all(connected.map(peer => this.call(peer, leavingMethod, { boot: this.bootId }, notice)));
        for (let quietSince = this.timers.now(); this.timers.now() < deadline;) {
            if (this.receiver.running > 0 || this.unsentBytes() > 0) {
                quietSince = this.timers.now();
            }
            else if (this.timers.now() - quietSince >= QUIET_MILLISECONDS) {
                return;
            }
            await sleep(this.timers, DRAIN_POLL_MILLISECONDS);
        }
    }

    private unsentBytes(): number {
        return this.allLinks().reduce((sum, link) => sum + link.bufferedBytes, 0);
    }

    private allLinks(): Link[] {
        const ofSessions = [...this.sessions.values()].flatMap(session => session.openLinks);
        return [...new Set([...this.incoming, ...ofSessions])];
    }

    /** Starts a network. Errors: `invalid_settings` when the address cannot be listened on. */
    static async listen(options: PeerNetworkOptions): Promise<Result<WebSocketPeerNetwork, ServiceError>> {
        const network = new WebSocketPeerNetwork(options);
        const server = await PeerServer.listen({
            address: options.address,
            maximumMessageBytes: network.limits.maximumMessageBytes,
            tls: options.tls,
            refusals: network.refusals,
            accept: (socket, stream) => network.accept(socket, stream),
            report: failure => options.logger.error({ failure }, "peer server failed"),
        });
        return server.map(listening => {
            network.server = listening;
            network.ticker = options.timers.every(network.limits.heartbeatMilliseconds, () => network.tick());
            return network;
        });
    }

    /** `ip:port` told to peers. */
    get address(): string {
        return this.options.advertisedAddress ?? this.server?.address ?? this.options.address;
    }

    setPeers(peers: readonly PeerAddress[]): void {
        const wanted = new Map(peers.filter(peer => peer.id !== this.id).map(peer => [peer.id, peer]));
        for (const session of this.sessions.values()) {
            session.wanted = wanted.has(session.peer.id);
        }
        for (const peer of wanted.values()) {
            this.want(peer);
        }
        this.retireUnwanted();
    }

    async call<Request, Answer>(
        peer: string,
        method: PeerMethod<Request, Answer>,
        request: Request,
        deadlineMilliseconds: number,
    ): Promise<Result<Answer, ServiceError>> {
        const startedAt = this.timers.now();
        const body = encodeRequest(method, request, this.limits.maximumMessageBytes);
        const packed = body.isOk()
            ? await this.callPacked(peer, method, body.value, deadlineMilliseconds)
            : err(body.error);
        const result = packed.andThen(answer => decodeAnswer(method, answer, peer));
        const seconds = (this.timers.now() - startedAt) / 1_000;
        this.metrics.called(method.name, result.isOk() ? "ok" : result.error.kind, seconds);
        return result;
    }

    handle<Request, Answer>(
        method: PeerMethod<Request, Answer>,
        handler: (
            request: Request,
            peer: string,
            remainingMilliseconds: number,
        ) => Promise<Result<Answer, ServiceError>>,
    ): void {
        // The receiver calls the handler only with what the request schema has accepted.
        this.receiver.register(method, (request, peer, remaining) => handler(request as Request, peer, remaining));
    }

    provideHeartbeat(payload: () => unknown): void {
        this.heartbeats.provide(payload);
    }

    onHeartbeat(listener: HeartbeatListener): void {
        this.heartbeats.listen(listener);
    }

    links(): readonly PeerLinkState[] {
        return [...this.sessions.values()].map(session => session.state());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        this.ticker?.[Symbol.dispose]();
        await Promise.all(this.allLinks().map(link => link.end("stopped", this.timers, CLOSING_MILLISECONDS)));
        await Promise.all([...this.outgoing.values()].map(link => link[Symbol.asyncDispose]()));
        await this.server?.[Symbol.asyncDispose]();
        await Promise.all(this.tasks);
        this.sessions.forEach(session => session.failAll());
    }

    private async callPacked(
        peer: string,
        method: { readonly name: string; readonly idempotent?: boolean; },
        body: Uint8Array,
        deadlineMilliseconds: number,
    ): Promise<Result<Uint8Array, ServiceError>> {
        const session = this.sessions.get(peer);
        if (session === undefined || this.stopped) {
            return err(serviceError(ErrorKind.PeerUnreachable, `${peer} is not a known peer`, { peer }));
        }
        if (!(deadlineMilliseconds > 0)) {
            return err(serviceError(ErrorKind.DeadlineExceeded, `no time was left for ${method.name}`, { peer }));
        }
        return await session.call({
            id: ++this.lastCallId,
            method: method.name,
            idempotent: method.idempotent === true,
            body,
            deadlineMilliseconds: Math.min(deadlineMilliseconds, LONGEST_DEADLINE_MILLISECONDS),
        });
    }

    private want(peer: PeerAddress): void {
        const session = this.sessionOf(peer);
        session.wanted = true;
        session.peer = peer;
        const existing = this.outgoing.get(peer.id);
        if (existing?.peer.address !== peer.address) {
            this.retire(existing);
            this.openLink(peer);
        }
    }

    private openLink(peer: PeerAddress): void {
        if (this.stopped) {
            return;
        }
        this.outgoing.set(
            peer.id,
            new OutgoingLink(peer, {
                timers: this.timers,
                limits: this.limits,
                metrics: this.metrics,
                refusals: this.refusals,
                tls: this.options.tls,
                random: this.options.random ?? Math.random,
                serve: (link, expectedNode) => serveLink(this.linkParts, link, expectedNode),
            }),
        );
    }

    /**
     * Closes links to peers that are no longer wanted, once the calls in both directions have ended. The choice of links
     * also changes while peers live, so that a call may still need its link; where the peer has closed it, a link is
     * opened for the rest of the call.
     */
    private retireUnwanted(): void {
        for (const [id, session] of this.sessions) {
            if (session.wanted) {
                continue;
            }
            if (session.isLost()) {
                session.failAll();
            }
            const link = this.outgoing.get(id);
            if (link === undefined && session.pendingCalls > 0 && session.link === undefined) {
                this.openLink(session.peer);
            }
            else if (link !== undefined && session.pendingCalls === 0 && this.memory.runningOf(id) === 0) {
                this.outgoing.delete(id);
                this.retire(link);
            }
        }
    }

    private retire(link: OutgoingLink | undefined): void {
        if (link !== undefined) {
            this.track(link[Symbol.asyncDispose]());
        }
    }

    private track(task: Promise<unknown>): void {
        const tracked = task.catch((failure: unknown) => {
            this.logger.error({ failure }, "task of a peer link failed");
        }).finally(() => this.tasks.delete(tracked));
        this.tasks.add(tracked);
    }

    private sessionOf(peer: PeerAddress): PeerSession {
        let session = this.sessions.get(peer.id);
        if (session === undefined) {
            session = new PeerSession(peer, this.timers, this.limits, this.metrics);
            this.sessions.set(peer.id, session);
        }
        return session;
    }

    private accept(socket: WebSocket, stream: Socket): void {
        const link = new Link(socket, stream, "incoming", this.timers, this.limits, this.metrics);
        if (this.stopped) {
            link.close("stopped");
            return;
        }
        this.incoming.add(link);
        this.track(serveLink(this.linkParts, link).finally(() => this.incoming.delete(link)));
    }

    private hello(): HelloFrame {
        return {
            kind: FrameKind.Hello,
            version: PROTOCOL_VERSION,
            node: this.id,
            boot: this.bootId,
            address: this.address,
            failureDomain: this.options.failureDomain,
        };
    }

    private isForeign(id: number): boolean {
        return id > this.lastCallId || [...this.sessions.values()].some(session => session.isPending(id));
    }

    private tick(): void {
        const payload = this.heartbeats.packPayload();
        const oldest = this.timers.now() - FORGET_SESSION_MILLISECONDS;
        for (const [id, session] of this.sessions) {
            session.openLinks.forEach(link => this.heartbeats.beat(link, session, payload));
            session.tick();
            const isUnused = !session.wanted && session.openLinks.length === 0 && session.pendingCalls === 0;
            if (isUnused && (session.heardAt ?? -Infinity) < oldest) {
                this.sessions.delete(id);
            }
        }
        this.retireUnwanted();
        this.memory.forget();
        this.memory.forgetCallers();
    }
}
