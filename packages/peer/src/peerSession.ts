/**
 * The calling side towards one peer: the links that are open to it and the calls it has not answered. Calls belong to
 * the peer and not to a link, so that a replaced link loses none.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { type AnswerFrame, encodeFrame, type FailureFrame, FrameKind } from "./frames.ts";
import type { Link } from "./link.ts";
import type { PeerMetrics } from "./peerMetrics.ts";
import type { PeerAddress, PeerLinkState } from "./peerNetwork.ts";
import type { PeerNetworkLimits } from "./peerOptions.ts";
import { callFrame, type CallOrder, FRAME_OVERHEAD_BYTES, type PendingCall } from "./pendingCall.ts";

/**
 * Longest wait of a call for a link, in units of the permitted silence. A handshake on a connection that goes silent
 * takes one of them, and the next handshake must still find the call waiting.
 */
const LINK_WAIT_SILENCES = 2;

export class PeerSession {
    peer: PeerAddress;
    /** Whether `setPeers` names this peer. Other sessions exist because the peer opened a link. */
    wanted = false;
    private readonly timers: Timers;
    private readonly limits: PeerNetworkLimits;
    private readonly metrics: PeerMetrics;
    /** Open links, newest first. */
    private links: Link[] = [];
    private readonly pending = new Map<number, PendingCall>();
    /** Boot identifier of a process of the peer that is stopping. */
    private retiredBoot: string | undefined;
    private pendingBytes = 0;
    private lastHeardAt: number | undefined;
    /** Time at which the last link ended. */
    private detachedAt: number | undefined;
    /** Whether calls wait for room in the socket's buffer. */
    private backlogged = false;
    private readonly sent = (): void => {
        if (this.backlogged) {
            this.backlogged = false;
            this.resend();
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

    /** Link for calls: the own one if it is open, otherwise the newest one that the peer opened. */
    get link(): Link | undefined {
        const open = this.links.filter(link => link.open);
        return open.find(link => link.direction === "outgoing") ?? open[0];
    }

    get heardAt(): number | undefined {
        const times = this.links.map(link => link.pulse.heardAt);
        return this.lastHeardAt === undefined && times.length === 0
            ? undefined
            : Math.max(this.lastHeardAt ?? -Infinity, ...times);
    }

    state(): PeerLinkState {
        const heardAt = this.heardAt;
        const link = this.link;
        return {
            peer: this.peer,
            connected: link !== undefined,
            encrypted: link?.encrypted,
            silentMilliseconds: heardAt === undefined ? undefined : this.timers.now() - heardAt,
            roundTripMilliseconds: link?.pulse.roundTripMilliseconds,
        };
    }

    /** The peer announced that its present process stops: nothing new is sent to that process. */
    retire(boot: string): void {
        this.retiredBoot = boot;
    }

    isPending(id: number): boolean {
        return this.pending.has(id);
    }

    /** Adds a link after its handshake. Unanswered calls of ended links are sent again on it. */
    attach(link: Link): void {
        this.lastHeardAt = this.timers.now();
        this.links
            .filter(older => older.direction === link.direction && older.remote.boot === link.remote.boot)
            .forEach(older => older.close("replaced"));
        this.links = [link, ...this.links.filter(older => older.open)];
        this.resend();
    }

    detach(link: Link): void {
        this.lastHeardAt = Math.max(this.lastHeardAt ?? -Infinity, link.pulse.heardAt);
        this.detachedAt = this.timers.now();
        this.links = this.links.filter(other => other !== link);
        this.resend();
    }

    /** Sends a call, or keeps it for the next link. */
    call(order: CallOrder): Promise<Result<Uint8Array, ServiceError>> {
        const refusal = this.refuse(order);
        if (refusal !== undefined) {
            return Promise.resolve(err(refusal));
        }
        return new Promise(resolve => {
            const call: PendingCall = {
                ...order,
                startedAt: this.timers.now(),
                settle: resolve,
                deadline: this.timers.after(order.deadlineMilliseconds, () => this.expire(call)),
                firstSentAt: undefined,
                link: undefined,
            };
            this.pending.set(order.id, call);
            this.pendingBytes += order.body.byteLength + FRAME_OVERHEAD_BYTES;
            const link = this.link;
            if (link !== undefined) {
                this.send(call, link);
            }
        });
    }

    /** Takes in an answer; returns whether it belongs to a call that waits for it on this boot of the peer. */
    answer(link: Link, frame: AnswerFrame | FailureFrame): boolean {
        const call = this.pending.get(frame.id);
        if (call === undefined || call.link?.remote.boot !== link.remote.boot) {
            return false;
        }
        this.settle(call, frame.kind === FrameKind.Answer ? ok(frame.body) : err(frame.error));
        return true;
    }

    /**
     * Ends calls that found no link or whose process has stopped, and sends those again whose links have ended. To be
     * called with each heartbeat.
     */
    tick(): void {
        const now = this.timers.now();
        const { silenceMilliseconds } = this.limits;
        const waitLimit = now - silenceMilliseconds * LINK_WAIT_SILENCES;
        for (const call of this.pending.values()) {
            if (call.firstSentAt === undefined && call.startedAt <= waitLimit && this.link === undefined) {
                this.settle(call, err(this.unreachable()));
            }
            else if (this.hasStopped(call.link, now - silenceMilliseconds)) {
                this.settle(call, err(this.unknownOutcome(call, "stopped")));
            }
        }
        this.resend();
    }

    /** Whether there was never a link, or none for as long as a process that wants one needs at most to open it. */
    isLost(): boolean {
        const { silenceMilliseconds, longestBackoffMilliseconds } = this.limits;
        const since = this.timers.now() - silenceMilliseconds - longestBackoffMilliseconds;
        // A link that has just been closed stays in the list until its task has ended.
        return this.links.length === 0 && (this.detachedAt ?? -Infinity) <= since;
    }

    /** Ends all calls, because the peer was removed or the network stops. */
    failAll(): void {
        for (const call of [...this.pending.values()]) {
            this.expire(call);
        }
    }

    /**
     * Whether the process behind the link announced its stop and has had no link since the time given. It opens no new
     * one, so that its calls would otherwise wait for their own deadlines.
     */
    private hasStopped(link: Link | undefined, since: number): boolean {
        const boot = link?.remote.boot;
        return boot !== undefined && boot === this.retiredBoot && (this.heardAt ?? since) <= since
            && !this.links.some(other => other.open && other.remote.boot === boot);
    }

    private refuse(order: CallOrder): ServiceError | undefined {
        if (!this.wanted && this.link === undefined) {
            return this.unreachable();
        }
        if (this.retiredBoot !== undefined && this.link?.remote.boot === this.retiredBoot) {
            return this.unreachable();
        }
        const bytes = this.pendingBytes + order.body.byteLength + FRAME_OVERHEAD_BYTES;
        const full = this.pending.size >= this.limits.maximumPendingCalls || bytes > this.limits.maximumPendingBytes
            || (this.link?.bufferedBytes ?? 0) > this.limits.maximumBufferedBytes;
        return full
            ? serviceError(ErrorKind.Overloaded, `the send queue to ${this.peer.id} is full`, { peer: this.peer.id })
            : undefined;
    }

    /** Stops when the socket's buffer is full; goes on when it has taken in the last frame. */
    private resend(): void {
        const link = this.link;
        if (link === undefined) {
            return;
        }
        for (const call of this.pending.values()) {
            if (link.bufferedBytes > this.limits.maximumBufferedBytes) {
                this.backlogged = true;
                return;
            }
            if (call.link?.open !== true) {
                this.send(call, link);
            }
        }
    }

    private send(call: PendingCall, link: Link): void {
        const previous = call.link;
        if (previous !== undefined && previous.remote.boot !== link.remote.boot && !call.idempotent) {
            // The peer has restarted or was replaced: the new process cannot know what the old one executed.
            this.settle(call, err(this.unknownOutcome(call, "was restarted")));
            return;
        }
        const now = this.timers.now();
        const message = encodeFrame(callFrame(call, now));
        if (previous !== undefined) {
            this.metrics.resent();
        }
        call.firstSentAt ??= now;
        call.link = link;
        link.send(message, this.sent);
    }

    private expire(call: PendingCall): void {
        const error = call.firstSentAt === undefined ? this.unreachable() : this.unknownOutcome(call, "did not answer");
        this.settle(call, err(error));
    }

    private settle(call: PendingCall, result: Result<Uint8Array, ServiceError>): void {
        if (!this.pending.delete(call.id)) {
            return;
        }
        this.pendingBytes -= call.body.byteLength + FRAME_OVERHEAD_BYTES;
        call.deadline[Symbol.dispose]();
        call.settle(result);
    }

    private unreachable(): ServiceError {
        const peer = this.peer.id;
        return serviceError(ErrorKind.PeerUnreachable, `there is no link to ${peer}; nothing was sent`, { peer });
    }

    private unknownOutcome(call: PendingCall, what: string): ServiceError {
        const peer = this.peer.id;
        return serviceError(
            ErrorKind.OutcomeUnknown,
            `${peer} ${what} after ${call.method} was sent to it; it may have been handled`,
            { peer, method: call.method },
        );
    }
}
