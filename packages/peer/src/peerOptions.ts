/**
 * Options of a peer network and their defaults.
 */
import type { CredentialSource } from "@tanagerlink/certificates";
import type { Logger, Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";

const MEBIBYTE = 1_048_576;

/** Bounds of memory and time. All are per process unless said otherwise. */
export interface PeerNetworkLimits {
    readonly heartbeatMilliseconds: number;
    /** Silence after which a link, or a handshake, is given up and replaced. Calls wait for a link twice as long. */
    readonly silenceMilliseconds: number;
    readonly shortestBackoffMilliseconds: number;
    readonly longestBackoffMilliseconds: number;
    /** Largest message in either direction. */
    readonly maximumMessageBytes: number;
    /** Unanswered calls to one peer. */
    readonly maximumPendingCalls: number;
    /** Requests of unanswered calls to one peer; they are kept so that they can be sent again. */
    readonly maximumPendingBytes: number;
    /** Bytes given to one link's socket and not yet accepted by the operating system. */
    readonly maximumBufferedBytes: number;
    /** Calls of peers that are being handled. */
    readonly maximumRunningCalls: number;
    /** Requests of these calls. */
    readonly maximumRunningBytes: number;
    /** Time for which an answered call is remembered. */
    readonly memoryMilliseconds: number;
    readonly maximumRememberedCalls: number;
    readonly maximumRememberedBytes: number;
}

/** Whether links without TLS are permitted. */
export const PeerTlsMode = {
    /** Every link uses TLS with certificates on both sides. */
    Required: "required",
    /** Links without TLS are accepted, and opened to peers that don't speak TLS. For moving a fleet to TLS. */
    Optional: "optional",
} as const;

export type PeerTlsMode = (typeof PeerTlsMode)[keyof typeof PeerTlsMode];

/** TLS of the links. */
export interface PeerTls {
    readonly mode: PeerTlsMode;
    /** Read for each new link. The authority must be set. */
    readonly credentials: CredentialSource;
}

export interface PeerNetworkOptions {
    readonly id: string;
    readonly failureDomain: string;
    /** `ip:port` to listen on; port 0 picks a free one. */
    readonly address: string;
    /** Address told to peers when it differs from `address`. */
    readonly advertisedAddress?: string;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Uniform numbers from 0 to 1 for the jitter of reconnections. */
    readonly random?: () => number;
    /** Without it, peers do not prove their identity and nothing is encrypted. */
    readonly tls?: PeerTls | undefined;
    readonly limits?: Partial<PeerNetworkLimits>;
}

/**
 * The message bound holds a body of 8 MiB and its headers. The longest backoff keeps reconnection, after a cut has
 * healed, within the 5 s in which revocations and leaving targets must become known.
 */
export const defaultLimits: PeerNetworkLimits = {
    heartbeatMilliseconds: 500,
    silenceMilliseconds: 2_000,
    shortestBackoffMilliseconds: 50,
    longestBackoffMilliseconds: 2_000,
    maximumMessageBytes: 9 * MEBIBYTE,
    maximumPendingCalls: 8_192,
    maximumPendingBytes: 64 * MEBIBYTE,
    maximumBufferedBytes: 32 * MEBIBYTE,
    maximumRunningCalls: 16_384,
    maximumRunningBytes: 256 * MEBIBYTE,
    memoryMilliseconds: 120_000,
    maximumRememberedCalls: 200_000,
    maximumRememberedBytes: 64 * MEBIBYTE,
};
