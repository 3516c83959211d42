/**
 * Links that were refused because of TLS or the identity of the peer, counted by reason and logged with a remedy.
 * Anyone who can reach the peer port can cause refusals, so equal refusals are logged at most once per period.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { type TLSSocket } from "node:tls";
import type { PeerMetrics } from "./peerMetrics.ts";

/** Why a link was refused. */
export const RefusalReason = {
    /** The peer does not use TLS. */
    Plain: "plain",
    NoCertificate: "no_certificate",
    /** The certificate has expired or is not valid yet. */
    Expired: "expired",
    /** The certificate was not issued by an accepted authority, or is not valid for this use. */
    Authority: "authority",
    /** The certificate belongs to another process. */
    Identity: "identity",
    /** The received data is not a TLS 1.3 handshake. */
    Malformed: "malformed",
} as const;

export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** What an operator has to do for each reason, as logged. */
const remedies: Readonly<Record<RefusalReason, string>> = {
    [RefusalReason.Plain]: "the peer does not use TLS; start it with --peer-certificate, --peer-key and "
        + "--peer-authority, or use --peer-tls optional on all processes until each has certificates",
    [RefusalReason.NoCertificate]:
        "the peer presented no certificate; start it with --peer-certificate, --peer-key and "
        + "--peer-authority",
    [RefusalReason.Expired]: "the certificate of the peer has expired or is not valid yet; renew the file of its "
        + "--peer-certificate and compare the clocks",
    [RefusalReason.Authority]: "the certificate of the peer was not issued by an accepted authority for use as client "
        + "and server; issue it by one in --peer-authority, or add its authority there",
    [RefusalReason.Identity]: "the certificate of the peer belongs to another process; issue one with the URI that the "
        + "error names",
    [RefusalReason.Malformed]: "the connection did not begin with a TLS 1.3 handshake; only entry processes may reach "
        + "--peer-address",
};

const EXPIRED_CODES: ReadonlySet<string> = new Set(["CERT_HAS_EXPIRED", "CERT_NOT_YET_VALID"]);
const AUTHORITY_CODE =
    /^(UNABLE_TO_|DEPTH_ZERO_|SELF_SIGNED_|CERT_|INVALID_|PATH_LENGTH_|ERROR_IN_CERT|CRL_|HOSTNAME_|UNSUPPORTED_)/;
const OPENSSL_REASON = /:SSL routines:[^:]*:([^:]+):/;
const PLAIN_CONNECTION_CODES: ReadonlySet<string> = new Set([
    "ERR_SSL_HTTP_REQUEST",
    "ERR_SSL_WRONG_VERSION_NUMBER",
    "ERR_SSL_PACKET_LENGTH_TOO_LONG",
]);

/** Returns the reason for the code of a TLS error; `undefined` for other codes, such as those of network errors. */
export function tlsRefusalReason(code: string): RefusalReason | undefined {
    if (PLAIN_CONNECTION_CODES.has(code)) {
        return RefusalReason.Plain;
    }
    if (EXPIRED_CODES.has(code)) {
        return RefusalReason.Expired;
    }
    if (AUTHORITY_CODE.test(code)) {
        return RefusalReason.Authority;
    }
    return code.startsWith("ERR_SSL_") ? RefusalReason.Malformed : undefined;
}

/** Returns why an accepted connection must be refused after its TLS handshake, or `undefined` if it is acceptable. */
export function certificateRefusalReason(socket: TLSSocket): RefusalReason | undefined {
    if (socket.getPeerX509Certificate() === undefined) {
        return RefusalReason.NoCertificate;
    }
    // The declared type is wrong: at run time it is the error code as a string.
    const code: unknown = socket.authorizationError;
    return socket.authorized ? undefined : tlsRefusalReason(String(code)) ?? RefusalReason.Authority;
}

/**
 * Returns the code of an error, or an empty string if it has none. A TLS error that fails a pending write has the code
 * `EPROTO`, and the OpenSSL reason only in its message.
 */
export function errorCodeOf(failure: unknown): string {
    if (!(failure instanceof Error) || !("code" in failure)) {
        return "";
    }
    const reason = failure.code === "EPROTO" ? OPENSSL_REASON.exec(failure.message)?.[1] : undefined;
    return reason === undefined
        ? String(failure.code)
        : `ERR_SSL_${reason.toUpperCase().replaceAll(/[^A-Z0-9]+/g, "_")}`;
}

const REFUSAL_LOG_PERIOD_MILLISECONDS = 60_000;

/** Combinations of reason and peer whose last log time is stored; all are cleared when the number is reached. */
const MAXIMUM_TRACKED_REFUSALS = 256;

/** Counts and logs refusals. */
export class LinkRefusals {
    private readonly timers: Timers;
    private readonly logger: Logger;
    private readonly metrics: PeerMetrics;
    private readonly loggedAt = new Map<string, number>();

    constructor(timers: Timers, logger: Logger, metrics: PeerMetrics) {
        this.timers = timers;
        this.logger = logger;
        this.metrics = metrics;
    }

    /** `peer` is the identifier of the peer, or its IP address while the identifier is not known. */
    recordRefusal(reason: RefusalReason, peer: string, failure?: unknown): ServiceError {
        this.metrics.recordRefused(reason);
        const detail = failure === undefined ? "" : ` (${describeUnknown(failure)})`;
        const error = serviceError(ErrorKind.PeerRejected, `${remedies[reason]}${detail}`, { peer, reason });
        const key = `${reason} ${peer}`;
        const now = this.timers.now();
        if (now - (this.loggedAt.get(key) ?? -Infinity) >= REFUSAL_LOG_PERIOD_MILLISECONDS) {
            if (this.loggedAt.size >= MAXIMUM_TRACKED_REFUSALS) {
                this.loggedAt.clear();
            }
            this.loggedAt.set(key, now);
            this.logger.warn({ peer, error }, "peer link refused");
        }
        return error;
    }
}
