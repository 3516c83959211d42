/**
 * Refused links: why a link was refused before it could be used, counted by reason and logged with what corrects it.
 * Anyone who reaches the peer port can cause refusals, so equal ones are logged once within a period.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { type TLSSocket } from "node:tls";
import type { PeerMetrics } from "./peerMetrics.ts";

/** Why a link was refused. */
export const RefusalReason = {
    /** The other side speaks without TLS. */
    Plain: "plain",
    NoCertificate: "no_certificate",
    /** The certificate has expired or is not valid yet. */
    Expired: "expired",
    /** The certificate was not issued by an accepted authority, or must not be used for links. */
    Authority: "authority",
    /** The certificate belongs to another process. */
    Identity: "identity",
    /** What arrived is no TLS 1.3 handshake. */
    Malformed: "malformed",
} as const;

export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** What an operator does about each reason. */
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
const PLAIN_CODES: ReadonlySet<string> = new Set([
    "ERR_SSL_HTTP_REQUEST",
    "ERR_SSL_WRONG_VERSION_NUMBER",
    "ERR_SSL_PACKET_LENGTH_TOO_LONG",
]);

/** Reason of a failure of TLS, or `undefined` when the connection failed for another cause, such as the network. */
export function tlsRefusal(code: string): RefusalReason | undefined {
    if (PLAIN_CODES.has(code)) {
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

/** Reason to refuse an accepted connection after its handshake. */
export function certificateRefusal(socket: TLSSocket): RefusalReason | undefined {
    if (socket.getPeerX509Certificate() === undefined) {
        return RefusalReason.NoCertificate;
    }
    // The declared type is wrong: it is the code of the failed check as text.
    const code: unknown = socket.authorizationError;
    return socket.authorized ? undefined : tlsRefusal(String(code)) ?? RefusalReason.Authority;
}

/**
 * Code of a failure, empty when it has none. A failure of TLS that ends a pending write arrives as `EPROTO` with the
 * OpenSSL reason in its message only.
 */
export function codeOf(failure: unknown): string {
    if (!(failure instanceof Error) || !("code" in failure)) {
        return "";
    }
    const reason = failure.code === "EPROTO" ? OPENSSL_REASON.exec(failure.message)?.[1] : undefined;
    return reason === undefined
        ? String(failure.code)
        : `ERR_SSL_${reason.toUpperCase().replaceAll(/[^A-Z0-9]+/g, "_")}`;
}

const LOG_PERIOD_MILLISECONDS = 60_000;

/** Combinations of reason and address that are remembered; further ones forget all. */
const MOST_REMEMBERED = 256;

/** Counts refusals and logs them. */
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

    /** `peer` is the identifier of the peer, or the IP address of one that is not known. */
    refuse(reason: RefusalReason, peer: string, failure?: unknown): ServiceError {
        this.metrics.refused(reason);
        const detail = failure === undefined ? "" : ` (${describeUnknown(failure)})`;
        const error = serviceError(ErrorKind.PeerRejected, `${remedies[reason]}${detail}`, { peer, reason });
        const key = `${reason} ${peer}`;
        const now = this.timers.now();
        if (now - (this.loggedAt.get(key) ?? -Infinity) >= LOG_PERIOD_MILLISECONDS) {
            if (this.loggedAt.size >= MOST_REMEMBERED) {
                this.loggedAt.clear();
            }
            this.loggedAt.set(key, now);
            this.logger.warn({ peer, error }, "peer link refused");
        }
        return error;
    }
}
