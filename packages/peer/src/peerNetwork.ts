import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";
import type { z } from "zod";

/** One method that a process offers to its peers. Both sides check what they receive against the schemas. */
export interface PeerMethod<Request, Answer> {
    readonly name: string;
    readonly request: z.ZodType<Request>;
    readonly answer: z.ZodType<Answer>;
    /**
     * Whether a second execution does no harm. Calls of other methods are never repeated at a process that cannot know
     * whether it, or the process that had its identifier before, has executed them; they end with `outcome_unknown`.
     */
    readonly idempotent?: boolean;
}

/** A process that can be linked to. */
export interface PeerAddress {
    readonly id: string;
    /** `ip:port` */
    readonly address: string;
    readonly failureDomain: string;
}

/** State of one link as this process sees it. */
export interface PeerLinkState {
    readonly peer: PeerAddress;
    readonly connected: boolean;
    /** Whether the link uses TLS; `undefined` without a link. */
    readonly encrypted?: boolean | undefined;
    /** Milliseconds since anything was received from the peer; `undefined` before the first message. */
    readonly silentMilliseconds: number | undefined;
    /** Smoothed round-trip time of heartbeats in milliseconds. */
    readonly roundTripMilliseconds: number | undefined;
}

/** What a process tells each linked peer with every heartbeat. The payload is opaque to the network. */
export interface HeartbeatListener {
    (peer: string, payload: unknown): void;
}

/**
 * Calls between processes. Errors: `peer_unreachable` when the request certainly never reached the peer,
 * `outcome_unknown` when it may have been handled, and whatever the handler answers. Before anything is sent also
 * `overloaded` (send queue full), `invalid_request`, `body_too_large` and `deadline_exceeded`.
 */
export interface PeerNetwork extends AsyncDisposable {
    /** Replaces the set of peers that links are kept to. */
    setPeers(peers: readonly PeerAddress[]): void;
    call<Request, Answer>(
        peer: string,
        method: PeerMethod<Request, Answer>,
        request: Request,
        deadlineMilliseconds: number,
    ): Promise<Result<Answer, ServiceError>>;
    handle<Request, Answer>(
        method: PeerMethod<Request, Answer>,
        handler: (
            request: Request,
            peer: string,
            /** Time that the caller still had when it sent the call. */
            remainingMilliseconds: number,
        ) => Promise<Result<Answer, ServiceError>>,
    ): void;
    /** The payload is asked for before each heartbeat. */
    provideHeartbeat(payload: () => unknown): void;
    onHeartbeat(listener: HeartbeatListener): void;
    links(): readonly PeerLinkState[];
}
