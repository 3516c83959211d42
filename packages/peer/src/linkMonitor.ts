/**
 * Detects failure of one link by heartbeats, and measures its round-trip time. Each heartbeat reports how many bytes
 * its sender has read, so that both ends detect a link that delivers in one direction only. Progress is measured in
 * bytes and not in messages, since a large message on a slow path may take longer than the silence timeout.
 */
import type { Timers } from "@tanagerlink/timers";
import { FrameKind, type HeartbeatFrame } from "./frames.ts";
import type { CloseReason } from "./peerMetrics.ts";

export interface LinkMonitorLimits {
    readonly heartbeatMilliseconds: number;
    readonly silenceMilliseconds: number;
}

/** Weight of a new sample in the smoothed round-trip time. */
const ROUND_TRIP_SAMPLE_WEIGHT = 0.25;

export class LinkMonitor {
    private readonly timers: Timers;
    private readonly limits: LinkMonitorLimits;
    private readonly sentAt = new Map<number, number>();
    private sequence = 0;
    /** Lowest sequence that the peer has not echoed yet. */
    private lowestUnechoedSequence = 0;
    private highestReceivedSequence = 0;
    private heartbeatReceivedAt: number;
    private readBytes = 0;
    /** Highest number of bytes that the peer has reported as read. */
    private acknowledgedBytes = 0;
    private lastCheckAt: number;
    /** Consecutive received heartbeats that report no newly read bytes. */
    private reportsWithoutProgress = 0;
    /** Time from which silence is measured; moved forward by the length of each pause of this process. */
    private silenceStartedAt: number;
    private messageReceivedAt: number;
    private smoothedRoundTripMilliseconds: number | undefined;

    constructor(timers: Timers, limits: LinkMonitorLimits) {
        this.timers = timers;
        this.limits = limits;
        const now = timers.now();
        this.heartbeatReceivedAt = now;
        this.lastCheckAt = now;
        this.silenceStartedAt = now;
        this.messageReceivedAt = now;
    }

    /** Monotonic time at which data was last received. */
    get lastReceivedAt(): number {
        return this.messageReceivedAt;
    }

    get roundTripMilliseconds(): number | undefined {
        return this.smoothedRoundTripMilliseconds;
    }

    /** Records that data was received. */
    recordReceived(): void {
        this.messageReceivedAt = this.timers.now();
        this.silenceStartedAt = this.messageReceivedAt;
    }

    /** Restarts the measurement of silence. To be called after the handshake. */
    resetSilence(): void {
        const now = this.timers.now();
        this.lastCheckAt = now;
        this.silenceStartedAt = now;
    }

    /**
     * Returns why the link must be closed, or `undefined` if it works. To be called before each heartbeat with the
     * number of bytes read so far.
     */
    findFault(readBytes: number): CloseReason | undefined {
        const now = this.timers.now();
        if (readBytes > this.readBytes) {
            this.readBytes = readBytes;
            this.recordReceived();
        }
        const { heartbeatMilliseconds, silenceMilliseconds } = this.limits;
        // A pause of this process does not count as silence: messages that arrived meanwhile may still be unread.
        const pause = now - this.lastCheckAt - 2 * heartbeatMilliseconds;
        this.lastCheckAt = now;
        if (pause > 0) {
            this.silenceStartedAt += pause;
            this.reportsWithoutProgress = 0;
        }
        if (now - this.silenceStartedAt >= silenceMilliseconds) {
            return "silent";
        }
        // Reports are counted and not timed, since they may be queued behind a large message of the peer. Two more are
        // tolerated, since reports without progress are normal while the heartbeats of both sides are out of phase.
        const maximumReports = Math.ceil(silenceMilliseconds / heartbeatMilliseconds) + 2;
        return this.reportsWithoutProgress >= maximumReports ? "unacknowledged" : undefined;
    }

    /** Creates the next heartbeat and stores its send time. */
    createHeartbeat(payload: Uint8Array | undefined): HeartbeatFrame {
        const now = this.timers.now();
        this.sequence++;
        this.sentAt.set(this.sequence, now);
        return {
            kind: FrameKind.Heartbeat,
            sequence: this.sequence,
            echo: this.highestReceivedSequence,
            held: Math.max(0, now - this.heartbeatReceivedAt),
            received: this.readBytes,
            payload,
        };
    }

    /** Processes a heartbeat of the peer: updates acknowledged bytes and round-trip time. */
    receiveHeartbeat(frame: HeartbeatFrame): void {
        const now = this.timers.now();
        this.highestReceivedSequence = Math.max(this.highestReceivedSequence, frame.sequence);
        this.heartbeatReceivedAt = now;
        this.reportsWithoutProgress = frame.received > this.acknowledgedBytes ? 0 : this.reportsWithoutProgress + 1;
        this.acknowledgedBytes = Math.max(this.acknowledgedBytes, frame.received);
        const sentAt = this.sentAt.get(frame.echo);
        if (sentAt === undefined) {
            return;
        }
        const sample = Math.max(0, now - sentAt - frame.held);
        this.smoothedRoundTripMilliseconds = this.smoothedRoundTripMilliseconds === undefined
            ? sample
            : this.smoothedRoundTripMilliseconds + ROUND_TRIP_SAMPLE_WEIGHT
                    * (sample - this.smoothedRoundTripMilliseconds);
        for (; this.lowestUnechoedSequence <= frame.echo; this.lowestUnechoedSequence++) {
            this.sentAt.delete(this.lowestUnechoedSequence);
        }
    }
}
