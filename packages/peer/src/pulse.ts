/**
 * Heartbeats of one link. Each heartbeat reports how many bytes its sender has read, so that a link that still delivers
 * in one direction only is recognised from both ends. Bytes and not messages count as signs of life, since a large
 * message may take longer than the permitted silence on a slow path.
 */
import type { Timers } from "@tanagerlink/timers";
import { FrameKind, type HeartbeatFrame } from "./frames.ts";
import type { CloseReason } from "./peerMetrics.ts";

export interface PulseLimits {
    readonly heartbeatMilliseconds: number;
    readonly silenceMilliseconds: number;
}

/** Weight of a new sample in the smoothed round-trip time. */
const SAMPLE_WEIGHT = 0.25;

export class Pulse {
    private readonly timers: Timers;
    private readonly limits: PulseLimits;
    private readonly sentAt = new Map<number, number>();
    private sequence = 0;
    private echoed = 0;
    private received = 0;
    private receivedAt: number;
    /** Bytes read here, and bytes that the other side has reported as read. */
    private readBytes = 0;
    private reportedBytes = 0;
    private lastBeatAt: number;
    /** Heartbeats received in sequence that report no progress. */
    private reportsWithoutProgress = 0;
    /** Time from which silence counts; moved forward by pauses of this process. */
    private heardReference: number;
    private lastHeardAt: number;
    private smoothed: number | undefined;

    constructor(timers: Timers, limits: PulseLimits) {
        this.timers = timers;
        this.limits = limits;
        const now = timers.now();
        this.receivedAt = now;
        this.lastBeatAt = now;
        this.heardReference = now;
        this.lastHeardAt = now;
    }

    /** Monotonic time of the last message. */
    get heardAt(): number {
        return this.lastHeardAt;
    }

    get roundTripMilliseconds(): number | undefined {
        return this.smoothed;
    }

    /** Records that anything was received. */
    heard(): void {
        this.lastHeardAt = this.timers.now();
        this.heardReference = this.lastHeardAt;
    }

    /** Counts silence from now on. To be called after the handshake. */
    restart(): void {
        const now = this.timers.now();
        this.lastBeatAt = now;
        this.heardReference = now;
    }

    /** Why the link must be closed, or `undefined`. To be called with each heartbeat, with the bytes read so far. */
    fault(readBytes: number): CloseReason | undefined {
        const now = this.timers.now();
        if (readBytes > this.readBytes) {
            this.readBytes = readBytes;
            this.heard();
        }
        const { heartbeatMilliseconds, silenceMilliseconds } = this.limits;
        // While this process was paused, messages may have arrived that it has not read yet.
        const pause = now - this.lastBeatAt - 2 * heartbeatMilliseconds;
        this.lastBeatAt = now;
        if (pause > 0) {
            this.heardReference += pause;
            this.reportsWithoutProgress = 0;
        }
        if (now - this.heardReference >= silenceMilliseconds) {
            return "silent";
        }
        // Reports are counted and not timed, since they may wait behind a large message of the other side. Two may be
        // without progress in good order, because the periods of the two sides are not aligned.
        const mostReports = Math.ceil(silenceMilliseconds / heartbeatMilliseconds) + 2;
        return this.reportsWithoutProgress >= mostReports ? "unacknowledged" : undefined;
    }

    /** The next heartbeat. */
    beat(payload: Uint8Array | undefined): HeartbeatFrame {
        const now = this.timers.now();
        this.sequence++;
        this.sentAt.set(this.sequence, now);
        return {
            kind: FrameKind.Heartbeat,
            sequence: this.sequence,
            echo: this.received,
            held: Math.max(0, now - this.receivedAt),
            received: this.readBytes,
            payload,
        };
    }

    /** Takes in a heartbeat of the other side. */
    take(frame: HeartbeatFrame): void {
        const now = this.timers.now();
        this.received = Math.max(this.received, frame.sequence);
        this.receivedAt = now;
        this.reportsWithoutProgress = frame.received > this.reportedBytes ? 0 : this.reportsWithoutProgress + 1;
        this.reportedBytes = Math.max(this.reportedBytes, frame.received);
        const sentAt = this.sentAt.get(frame.echo);
        if (sentAt === undefined) {
            return;
        }
        const sample = Math.max(0, now - sentAt - frame.held);
        this.smoothed = this.smoothed === undefined ? sample : this.smoothed + SAMPLE_WEIGHT * (sample - this.smoothed);
        for (; this.echoed <= frame.echo; this.echoed++) {
            this.sentAt.delete(this.echoed);
        }
    }
}
