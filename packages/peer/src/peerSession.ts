/**
 * The calling side of one peer: the open links to it and the pending calls. Calls belong to the peer and not to a link,
 * so that no call is lost when a link is replaced.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { type AnswerFrame, encodeFrame, type FailureFrame, FrameKind } from "./frames.ts";
import type { Link } from "./link.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerAddress, PeerLinkState } from "./peerNetwork.ts";
import type { PeerNetworkLimits } from "./peerOptions.ts";
import { type CallRequest, createCallFrame, PENDING_CALL_OVERHEAD_BYTES, type PendingCall } from "./pendingCall.ts";

/**
 * Maximum time that a call waits for a link, in units of `silenceMilliseconds`. A handshake on a connection that goes
 * silent takes one unit, and the call must still be pending when the next handshake succeeds.
 */
const MAXIMUM_LINK_WAIT_SILENCE_PERIODS = 2;

export class PeerSession {
    peer: PeerAddress;
    /** Whether `setPeers` names this peer. Other sessions exist only because the peer opened a link. */
    wanted = false;
    private readonly timers: Timers;
    private readonly limits: PeerNetworkLimits;
    private readonly metrics: PeerMetrics;
    /** Open links, newest first. */
    private links: Link[] = [];
    private readonly pending = new Map<number, PendingCall>();
    /** Boot identifier of the last process of the peer that announced its stop. */
    private stoppingBoot: string | undefined;
    private pendingBytes = 0;
    /** Time of the last reception on detached links, or of the last attachment if that is later. */
    private storedLastReceivedAt: number | undefined;
    /** Time at which a link was last detached. */
    private lastDetachedAt: number | undefined;
    /** Whether calls wait until the socket's buffer has drained. */
    private hasBackpressure = false;
    private readonly onFrameAccepted = (): void => {
        if (this.hasBackpressure) {
            this.hasBackpressure = false;
            this.sendWaitingCalls();
        }
    };

    constructor(peer: PeerAddress, timers: Timers, limits: PeerNetworkLimits, metrics: PeerMetrics) {
        this.peer = peer;
        this.timers = timers;
        this.limits = limits;
        this.metrics = metrics;
    }

    get pendingCalls(): number {
        return this.pending.size;
    }

    get openLinks(): readonly Link[] {
        return this.links;
    }

    /** Link for calls: the link that this process opened if it is open, otherwise the newest link of the peer. */
    get link(): Link | undefined {
        const open = this.links.filter(link => link.isOpen);
        return open.find(link => link.direction === "outgoing") ?? open[0];
    }

    /** Time at which data was last received from the peer; `undefined` before the first link. */
    get lastReceivedAt(): number | undefined {
        const times = this.links.map(link => link.monitor.lastReceivedAt);
        return this.storedLastReceivedAt === undefined && times.length === 0
            ? undefined
            : Math.max(this.storedLastReceivedAt ?? -Infinity, ...times);
    }

    state(): PeerLinkState {
        const lastReceivedAt = this.lastReceivedAt;
        const link = this.link;
        return {
            peer: this.peer,
            connected: link !== undefined,
            encrypted: link?.isEncrypted,
            silentMilliseconds: lastReceivedAt === undefined ? undefined : this.timers.now() - lastReceivedAt,
            roundTripMilliseconds: link?.monitor.roundTripMilliseconds,
        };
    }

    /** Marks a process of the peer as stopping, so that no new calls are sent to it. */
    markStopping(boot: string): void {
        this.stoppingBoot = boot;
    }

    isPending(id: number): boolean {
        return this.pending.has(id);
    }

    /** Adds a link after its handshake and resends on it the pending calls of links that have ended. */
    attach(link: Link): void {
        this.storedLastReceivedAt = this.timers.now();
        this.links
            .filter(older => older.direction === link.direction && older.remote.boot === link.remote.boot)
            .forEach(older => older.close("replaced"));
        this.links = [link, ...this.links.filter(older => older.isOpen)];
        this.sendWaitingCalls();
    }

    /** Removes a link that has ended and resends its pending calls on another link, if there is one. */
    detach(link: Link): void {
        this.storedLastReceivedAt = Math.max(this.storedLastReceivedAt ?? -Infinity, link.monitor.lastReceivedAt);
        this.lastDetachedAt = this.timers.now();
        this.links = this.links.filter(other => other !== link);
        this.sendWaitingCalls();
    }

    /** Sends a call, or queues it until a link is open. */
    call(request: CallRequest): Promise<Result<Uint8Array, ServiceError>> {
        const error = this.admissionError(request);
        if (error !== undefined) {
            return Promise.resolve(err(error));
        }
        return new Promise(resolve => {
            const call: PendingCall = {
                ...request,
                startedAt: this.timers.now(),
                settle: resolve,
                deadlineTimer: this.timers.after(request.deadlineMilliseconds, () => this.failCall(call)),
                firstSentAt: undefined,
                link: undefined,
            };
            this.pending.set(request.id, call);
            this.pendingBytes += request.body.byteLength + PENDING_CALL_OVERHEAD_BYTES;
            const link = this.link;
            if (link !== undefined) {
                this.send(call, link);
            }
        });
    }

    /** Settles the pending call that the frame answers; returns `false` if none was sent to this boot of the peer. */
    receiveAnswer(link: Link, frame: AnswerFrame | FailureFrame): boolean {
        const call = this.pending.get(frame.id);
        if (call === undefined || call.link?.remote.boot !== link.remote.boot) {
            return false;
        }
        this.settle(call, frame.kind === FrameKind.Answer ? ok(frame.body) : err(frame.error));
        return true;
    }

    /**
     * Fails calls that have waited too long for a link or whose process has stopped, and resends calls whose links have
     * ended. To be called with each heartbeat.
     */
    checkPendingCalls(): void {
        const now = this.timers.now();
        const { silenceMilliseconds } = this.limits;
        const latestStart = now - silenceMilliseconds * MAXIMUM_LINK_WAIT_SILENCE_PERIODS;
        for (const call of this.pending.values()) {
            if (call.firstSentAt === undefined && call.startedAt <= latestStart && this.link === undefined) {
                this.settle(call, err(this.unreachableError()));
            }
            else if (this.hasStopped(call.link, now - silenceMilliseconds)) {
                this.settle(call, err(this.unknownOutcomeError(call, "stopped")));
            }
        }
        this.sendWaitingCalls();
    }

    /** Whether there is no link, and a peer that wants one has had enough time to open it since the last one ended. */
    isUnreachable(): boolean {
        const { silenceMilliseconds, maximumBackoffMilliseconds } = this.limits;
        const since = this.timers.now() - silenceMilliseconds - maximumBackoffMilliseconds;
        // A closed link stays in `links` until the task that serves it has ended.
        return this.links.length === 0 && (this.lastDetachedAt ?? -Infinity) <= since;
    }

    /** Fails all pending calls, because the peer is no longer reachable or the network stops. */
    failAll(): void {
        for (const call of [...this.pending.values()]) {
            this.failCall(call);
        }
    }

    /**
     * Whether the process at the other end of the link announced its stop and has had no open link since the given
     * time. It opens no new link, so that calls to it would otherwise wait until their deadlines.
     */
    private hasStopped(link: Link | undefined, since: number): boolean {
        const boot = link?.remote.boot;
        return boot !== undefined && boot === this.stoppingBoot && (this.lastReceivedAt ?? since) <= since
            && !this.links.some(other => other.isOpen && other.remote.boot === boot);
    }

    /** Returns why a call cannot be accepted, or `undefined` if it can. */
    private admissionError(request: CallRequest): ServiceError | undefined {
        if (!this.wanted && this.link === undefined) {
            return this.unreachableError();
        }
        if (this.stoppingBoot !== undefined && this.link?.remote.boot === this.stoppingBoot) {
            return this.unreachableError();
        }
        const bytes = this.pendingBytes + request.body.byteLength + PENDING_CALL_OVERHEAD_BYTES;
        const isQueueFull = this.pending.size >= this.limits.maximumPendingCalls
            || bytes > this.limits.maximumPendingBytes
            || (this.link?.bufferedBytes ?? 0) > this.limits.maximumBufferedBytes;
        return isQueueFull
            ? serviceError(
                ErrorKind.Overloaded,
                `the send queue to ${this.peer.id} is full with ${this.pending.size} pending calls`,
                { peer: this.peer.id },
            )
            : undefined;
    }

    /**
     * Sends the pending calls that are not on an open link. Stops while the socket's buffer is full, and continues once
     * the operating system has accepted a frame.
     */
    private sendWaitingCalls(): void {
        const link = this.link;
        if (link === undefined) {
            return;
        }
        for (const call of this.pending.values()) {
            if (link.bufferedBytes > this.limits.maximumBufferedBytes) {
                this.hasBackpressure = true;
                return;
            }
            if (call.link?.isOpen !== true) {
                this.send(call, link);
            }
        }
    }

    private send(call: PendingCall, link: Link): void {
        const previous = call.link;
        if (previous !== undefined && previous.remote.boot !== link.remote.boot && !call.idempotent) {
            // The peer was restarted or replaced, and the new process cannot know what the previous one executed.
            this.settle(call, err(this.unknownOutcomeError(call, "was restarted")));
            return;
        }
        const now = this.timers.now();
        const message = encodeFrame(createCallFrame(call, now));
        if (previous !== undefined) {
            this.metrics.recordResent();
        }
        call.firstSentAt ??= now;
        call.link = link;
        link.send(message, this.onFrameAccepted);
    }

    private failCall(call: PendingCall): void {
        const error = call.firstSentAt === undefined
            ? this.unreachableError()
            : this.unknownOutcomeError(call, "did not answer");
        this.settle(call, err(error));
    }

    private settle(call: PendingCall, result: Result<Uint8Array, ServiceError>): void {
        if (!this.pending.delete(call.id)) {
            return;
        }
        this.pendingBytes -= call.body.byteLength + PENDING_CALL_OVERHEAD_BYTES;
        call.deadlineTimer[Symbol.dispose]();
        call.settle(result);
    }

    private unreachableError(): ServiceError {
        const peer = this.peer.id;
        return serviceError(ErrorKind.PeerUnreachable, `there is no link to ${peer}; nothing was sent`, { peer });
    }

    private unknownOutcomeError(call: PendingCall, event: string): ServiceError {
        const peer = this.peer.id;
        return serviceError(
            ErrorKind.OutcomeUnknown,
            `${peer} ${event} after ${call.method} was sent to it; it may have been handled`,
            { peer, method: call.method },
        );
    }
}
