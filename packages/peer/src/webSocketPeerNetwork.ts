/**
 * The peer network of one process: a server, one outgoing link to each wanted peer, and one task for each link.
 *
 * Each process of a pair opens its own link if it wants the other one as a peer, since a process in another failure
 * domain may not have chosen this one. Calls use the link that this process opened, or the link of the peer while the
 * own link is broken. Both ends monitor each link.
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
import { CallReceiver } from "./callReceiver.ts";
import { DeduplicationCache } from "./deduplicationCache.ts";
import { FrameKind, type HelloFrame, PROTOCOL_VERSION } from "./frames.ts";
import { Heartbeats } from "./heartbeats.ts";
import { Link } from "./link.ts";
import { LinkRefusals } from "./linkRefusal.ts";
import { type LinkTaskDependencies, serveLink } from "./linkTask.ts";
import { OutgoingLink } from "./outgoingLink.ts";
import { createPeerMetrics, type PeerMetrics } from "./peerMetrics.ts";
import type { HeartbeatListener, PeerAddress, PeerLinkState, PeerMethod, PeerNetwork } from "./peerNetwork.ts";
import { defaultLimits, type PeerNetworkLimits, type PeerNetworkOptions } from "./peerOptions.ts";
import { PeerServer } from "./peerServer.ts";
import { PeerSession } from "./peerSession.ts";

/** Time for which the session of an unwanted peer is kept after its last message. */
const SESSION_RETENTION_MILLISECONDS = 60_000;

/** Node.js fires timers of more than 24.8 days immediately. */
const MAXIMUM_DEADLINE_MILLISECONDS = 86_400_000;

/** Maximum wait for a peer's answer to the notice that this process stops accepting calls. */
const MAXIMUM_STOP_NOTICE_MILLISECONDS = 1_000;

/** Draining ends after this time without running calls and unsent data, since calls may still be in transit. */
const DRAIN_QUIET_PERIOD_MILLISECONDS = 100;
const DRAIN_POLL_MILLISECONDS = 20;

/** Maximum wait for the closing frame of a peer when the network stops. */
const MAXIMUM_CLOSING_HANDSHAKE_MILLISECONDS = 250;

/** Notifies a peer that the process with this boot identifier accepts no further calls. */
const stopNoticeMethod: PeerMethod<{ boot: string; }, Record<string, never>> = {
    name: "peer/leaving",
    request: z.strictObject({ boot: z.string() }),
    answer: z.strictObject({}),
    idempotent: true,
};

export class WebSocketPeerNetwork implements PeerNetwork {
    readonly id: string;
    /** Different for each start of the process. */
    readonly bootId = randomUUID();
    private readonly options: PeerNetworkOptions;
    private readonly limits: PeerNetworkLimits;
    private readonly timers: Timers;
    private readonly logger: Logger;
    private readonly metrics: PeerMetrics;
    private readonly refusals: LinkRefusals;
    private readonly deduplicationCache: DeduplicationCache;
    private readonly receiver: CallReceiver;
    private readonly heartbeats: Heartbeats;
    private readonly linkDependencies: LinkTaskDependencies;
    private readonly sessions = new Map<string, PeerSession>();
    private readonly outgoingLinks = new Map<string, OutgoingLink>();
    private readonly incomingLinks = new Set<Link>();
    private readonly tasks = new Set<Promise<unknown>>();
    private heartbeatTimer: Subscription | undefined;
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
        this.deduplicationCache = new DeduplicationCache(this.timers, this.limits);
        this.receiver = new CallReceiver(this.deduplicationCache, this.limits, this.logger, this.metrics);
        this.heartbeats = new Heartbeats(this.limits, this.logger, this.metrics);
        this.linkDependencies = {
            timers: this.timers,
            limits: this.limits,
            logger: this.logger,
            metrics: this.metrics,
            refusals: this.refusals,
            heartbeats: this.heartbeats,
            receiver: this.receiver,
            createHello: () => this.createHello(),
            sessionOf: peer => this.sessionOf(peer),
            isForeignCallId: id => this.isForeignCallId(id),
        };
        this.handle(stopNoticeMethod, ({ boot }, peer) => {
            this.sessions.get(peer)?.markStopping(boot);
            return Promise.resolve(ok({}));
        });
    }

    /**
     * Prepares a stop of the process: notifies the peers so that they send no new calls, and waits until running calls
     * have ended and their answers are sent. New calls that still arrive are refused without being executed.
     */
    async drain(withinMilliseconds: number): Promise<void> {
        const deadline = this.timers.now() + withinMilliseconds;
        this.receiver.drain(stopNoticeMethod.name);
        const connectedPeers = this.links().filter(link => link.connected).map(link => link.peer.id);
        const noticeMilliseconds = Math.min(MAXIMUM_STOP_NOTICE_MILLISECONDS, withinMilliseconds);
        await Promise.all(
            connectedPeers.map(peer => this.call(peer, stopNoticeMethod, { boot: this.bootId }, noticeMilliseconds)),
        );
        for (let quietSince = this.timers.now(); this.timers.now() < deadline;) {
            if (this.receiver.runningCalls > 0 || this.unsentBytes() > 0) {
                quietSince = this.timers.now();
            }
            else if (this.timers.now() - quietSince >= DRAIN_QUIET_PERIOD_MILLISECONDS) {
                return;
            }
            await sleep(this.timers, DRAIN_POLL_MILLISECONDS);
        }
    }

    private unsentBytes(): number {
        return this.allLinks().reduce((sum, link) => sum + link.bufferedBytes, 0);
    }

    private allLinks(): Link[] {
        const sessionLinks = [...this.sessions.values()].flatMap(session => session.openLinks);
        return [...new Set([...this.incomingLinks, ...sessionLinks])];
    }

    /** Starts a network. Errors: `invalid_settings` when listening on the address fails. */
    static async listen(options: PeerNetworkOptions): Promise<Result<WebSocketPeerNetwork, ServiceError>> {
        const network = new WebSocketPeerNetwork(options);
        const server = await PeerServer.listen({
            address: options.address,
            maximumMessageBytes: network.limits.maximumMessageBytes,
            tls: options.tls,
            refusals: network.refusals,
            onSocket: (socket, stream) => network.acceptSocket(socket, stream),
            onError: failure => options.logger.error({ failure }, "peer server failed"),
        });
        return server.map(listening => {
            network.server = listening;
            network.heartbeatTimer = options.timers.every(
                network.limits.heartbeatMilliseconds,
                () => network.onHeartbeatInterval(),
            );
            return network;
        });
    }

    /** `ip:port` announced to peers. */
    get address(): string {
        return this.options.advertisedAddress ?? this.server?.address ?? this.options.address;
    }

    setPeers(peers: readonly PeerAddress[]): void {
        const wanted = new Map(peers.filter(peer => peer.id !== this.id).map(peer => [peer.id, peer]));
        for (const session of this.sessions.values()) {
            session.wanted = wanted.has(session.peer.id);
        }
        for (const peer of wanted.values()) {
            this.ensureOutgoingLink(peer);
        }
        this.closeUnwantedLinks();
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
            ? await this.callWithPackedRequest(peer, method, body.value, deadlineMilliseconds)
            : err(body.error);
        const result = packed.andThen(answer => decodeAnswer(method, answer, peer));
        const seconds = (this.timers.now() - startedAt) / 1_000;
        this.metrics.recordCall(method.name, result.isOk() ? "ok" : result.error.kind, seconds);
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
        // The receiver passes only requests that match the request schema to the handler.
        this.receiver.register(method, (request, peer, remaining) => handler(request as Request, peer, remaining));
    }

    provideHeartbeatPayload(payload: () => unknown): void {
        this.heartbeats.setPayloadProvider(payload);
    }

    onHeartbeat(listener: HeartbeatListener): void {
        this.heartbeats.addListener(listener);
    }

    links(): readonly PeerLinkState[] {
        return [...this.sessions.values()].map(session => session.state());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        this.heartbeatTimer?.[Symbol.dispose]();
        await Promise.all(
            this.allLinks().map(link =>
                link.closeGracefully("stopped", this.timers, MAXIMUM_CLOSING_HANDSHAKE_MILLISECONDS)
            ),
        );
        await Promise.all([...this.outgoingLinks.values()].map(link => link[Symbol.asyncDispose]()));
        await this.server?.[Symbol.asyncDispose]();
        await Promise.all(this.tasks);
        this.sessions.forEach(session => session.failAll());
    }

    private async callWithPackedRequest(
        peer: string,
        method: { readonly name: string; readonly idempotent?: boolean; },
        body: Uint8Array,
        deadlineMilliseconds: number,
    ): Promise<Result<Uint8Array, ServiceError>> {
        const session = this.sessions.get(peer);
        if (session === undefined || this.stopped) {
            return err(
                serviceError(ErrorKind.PeerUnreachable, `${peer} is not a known peer of this process`, { peer }),
            );
        }
        if (!(deadlineMilliseconds > 0)) {
            return err(
                serviceError(
                    ErrorKind.DeadlineExceeded,
                    `the deadline had passed before ${method.name} was sent to ${peer}`,
                    { peer },
                ),
            );
        }
        return await session.call({
            id: ++this.lastCallId,
            method: method.name,
            idempotent: method.idempotent === true,
            body,
            deadlineMilliseconds: Math.min(deadlineMilliseconds, MAXIMUM_DEADLINE_MILLISECONDS),
        });
    }

    /** Marks a peer as wanted and opens a link to its address unless there is one. */
    private ensureOutgoingLink(peer: PeerAddress): void {
        const session = this.sessionOf(peer);
        session.wanted = true;
        session.peer = peer;
        const existing = this.outgoingLinks.get(peer.id);
        if (existing?.peer.address !== peer.address) {
            this.closeOutgoingLink(existing);
            this.openOutgoingLink(peer);
        }
    }

    private openOutgoingLink(peer: PeerAddress): void {
        if (this.stopped) {
            return;
        }
        this.outgoingLinks.set(
            peer.id,
            new OutgoingLink(peer, {
                timers: this.timers,
                limits: this.limits,
                metrics: this.metrics,
                refusals: this.refusals,
                tls: this.options.tls,
                random: this.options.random ?? Math.random,
                serve: (link, expectedNode) => serveLink(this.linkDependencies, link, expectedNode),
            }),
        );
    }

    /**
     * Closes links to peers that are no longer wanted, once the calls in both directions have ended. A peer may become
     * unwanted while it is alive, so that pending calls still need a link. If the peer has closed the only link, a new
     * one is opened until these calls have ended.
     */
    private closeUnwantedLinks(): void {
        for (const [id, session] of this.sessions) {
            if (session.wanted) {
                continue;
            }
            if (session.isUnreachable()) {
                session.failAll();
            }
            const link = this.outgoingLinks.get(id);
            if (link === undefined && session.pendingCalls > 0 && session.link === undefined) {
                this.openOutgoingLink(session.peer);
            }
            else if (
                link !== undefined && session.pendingCalls === 0 && this.deduplicationCache.runningCallsOf(id) === 0
            ) {
                this.outgoingLinks.delete(id);
                this.closeOutgoingLink(link);
            }
        }
    }

    private closeOutgoingLink(link: OutgoingLink | undefined): void {
        if (link !== undefined) {
            this.trackTask(link[Symbol.asyncDispose]());
        }
    }

    private trackTask(task: Promise<unknown>): void {
        const tracked = task.catch((failure: unknown) => {
            this.logger.error({ failure }, "peer link task failed");
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

    private acceptSocket(socket: WebSocket, stream: Socket): void {
        const link = new Link(socket, stream, "incoming", this.timers, this.limits, this.metrics);
        if (this.stopped) {
            link.close("stopped");
            return;
        }
        this.incomingLinks.add(link);
        this.trackTask(serveLink(this.linkDependencies, link).finally(() => this.incomingLinks.delete(link)));
    }

    private createHello(): HelloFrame {
        return {
            kind: FrameKind.Hello,
            version: PROTOCOL_VERSION,
            node: this.id,
            boot: this.bootId,
            address: this.address,
            failureDomain: this.options.failureDomain,
        };
    }

    private isForeignCallId(id: number): boolean {
        return id > this.lastCallId || [...this.sessions.values()].some(session => session.isPending(id));
    }

    private onHeartbeatInterval(): void {
        const payload = this.heartbeats.packPayload();
        const cutoff = this.timers.now() - SESSION_RETENTION_MILLISECONDS;
        for (const [id, session] of this.sessions) {
            session.openLinks.forEach(link => this.heartbeats.checkAndSend(link, session, payload));
            session.checkPendingCalls();
            const isUnused = !session.wanted && session.openLinks.length === 0 && session.pendingCalls === 0;
            if (isUnused && (session.lastReceivedAt ?? -Infinity) < cutoff) {
                this.sessions.delete(id);
            }
        }
        this.closeUnwantedLinks();
        this.deduplicationCache.evictAnswers();
        this.deduplicationCache.evictIdleCallers();
    }
}
