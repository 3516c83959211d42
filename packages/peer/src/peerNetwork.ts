/**
 * The interface of the peer network: methods, peers, states of links, and calls.
 */
import type { ServiceError } from "@tanagerlink/errors";
import type { Result } from "neverthrow";
import type { z } from "zod";

/** A method that a process offers to its peers. Both sides validate what they receive against the schemas. */
export interface PeerMethod<Request, Answer> {
    readonly name: string;
    readonly request: z.ZodType<Request>;
    readonly answer: z.ZodType<Answer>;
    /**
     * Whether the method may be executed more than once for one call. A resent call of any other method is not
     * executed, and fails with `outcome_unknown`, if the process cannot know whether it, or the previous process with
     * its identifier, has already executed the call.
     */
    readonly idempotent?: boolean;
}

/** A process to which links can be opened. */
export interface PeerAddress {
    readonly id: string;
    /** `ip:port` */
    readonly address: string;
    readonly failureDomain: string;
}

/** State of the connection to one peer as observed by this process. */
export interface PeerLinkState {
    readonly peer: PeerAddress;
    readonly connected: boolean;
    /** Whether the link uses TLS; `undefined` without a link. */
    readonly encrypted?: boolean | undefined;
    /** Time since data was last received from the peer; `undefined` before the first message. */
    readonly silentMilliseconds: number | undefined;
    /** Smoothed round-trip time of heartbeats. */
    readonly roundTripMilliseconds: number | undefined;
}

/** Receives the payload of each heartbeat of a peer. The payload is opaque to the network. */
export interface HeartbeatListener {
    (peer: string, payload: unknown): void;
}

/**
 * Calls between processes. Errors: `peer_unreachable` when the request certainly never reached the peer,
 * `outcome_unknown` when it may have been handled, and the errors of the handler. Before anything is sent also
 * `overloaded` (the send queue is full), `invalid_request`, `body_too_large` and `deadline_exceeded`.
 */
export interface PeerNetwork extends AsyncDisposable {
    /** Replaces the set of peers to which links are kept open. */
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
            /** Time until the caller's deadline when the call was sent. */
            remainingMilliseconds: number,
        ) => Promise<Result<Answer, ServiceError>>,
    ): void;
    /** Sets the function that returns the heartbeat payload. It is called before each heartbeat. */
    provideHeartbeatPayload(payload: () => unknown): void;
    onHeartbeat(listener: HeartbeatListener): void;
    links(): readonly PeerLinkState[];
}
