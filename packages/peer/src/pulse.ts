/**
 * Heartbeats of one link. Each heartbeat echoes the highest one received, so that a link that still delivers in one
 * direction only is recognised from both ends.
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
    private lastBeatAt: number;
    /** Times from which silence and missing echoes count; moved forward by pauses of this process. */
    private heardReference: number;
    private echoReference: number;
    private lastHeardAt: number;
    private smoothed: number | undefined;

    constructor(timers: Timers, limits: PulseLimits) {
        this.timers = timers;
        this.limits = limits;
        const now = timers.now();
        this.receivedAt = now;
        this.lastBeatAt = now;
        this.heardReference = now;
        this.echoReference = now;
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

    /** Counts silence and missing echoes from now on. To be called after the handshake. */
    restart(): void {
        const now = this.timers.now();
        this.lastBeatAt = now;
        this.heardReference = now;
        this.echoReference = now;
    }

    /** Why the link must be closed, or `undefined`. To be called with each heartbeat. */
    fault(): CloseReason | undefined {
        const now = this.timers.now();
        const { heartbeatMilliseconds, silenceMilliseconds } = this.limits;
        // While this process was paused, messages may have arrived that it has not read yet.
        const pause = now - this.lastBeatAt - 2 * heartbeatMilliseconds;
        this.lastBeatAt = now;
        if (pause > 0) {
            this.heardReference += pause;
            this.echoReference += pause;
        }
        if (now - this.heardReference >= silenceMilliseconds) {
            return "silent";
        }
        // In good order an echo is up to one period of each side older than the last message.
        const echoLimit = silenceMilliseconds + 2 * heartbeatMilliseconds;
        return now - this.echoReference >= echoLimit ? "unacknowledged" : undefined;
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
            payload,
        };
    }

    /** Takes in a heartbeat of the other side. */
    take(frame: HeartbeatFrame): void {
        const now = this.timers.now();
        this.received = Math.max(this.received, frame.sequence);
        this.receivedAt = now;
        const sentAt = this.sentAt.get(frame.echo);
        if (sentAt === undefined) {
            return;
        }
        this.echoReference = Math.max(this.echoReference, sentAt);
        const sample = Math.max(0, now - sentAt - frame.held);
        this.smoothed = this.smoothed === undefined ? sample : this.smoothed + SAMPLE_WEIGHT * (sample - this.smoothed);
        for (; this.echoed <= frame.echo; this.echoed++) {
            this.sentAt.delete(this.echoed);
        }
    }
}
