/** Certificates of one process, as its settings name them. */
import {
    type CertificateDescription,
    type CredentialFiles,
    type CredentialPart,
    describeCredentials,
    peerIdentity,
    readCredentials,
    ReloadedCredentials,
} from "@tanagerlink/certificates";
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerTls } from "@tanagerlink/peer";
import type { Settings } from "@tanagerlink/settings";
import type { Logger, Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";

/** Certificates of a process; those that are not set are `undefined`. */
export interface ProcessCertificates extends AsyncDisposable {
    readonly peer: PeerTls | undefined;
    readonly http: ReloadedCredentials | undefined;
    describe(): Readonly<Record<string, CertificateDescription | string>>;
}

interface Surroundings {
    readonly settings: Settings;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Reads the certificates and warns of what is not protected. Errors: `invalid_settings` when a file is faulty. */
export function openCertificates(surroundings: Surroundings): Result<ProcessCertificates, ServiceError> {
    const { settings, timers, logger } = surroundings;
    const identity = peerIdentity(settings.failureDomain, settings.nodeId);
    const peer = open(surroundings, "peer", {
        certificate: settings.peerCertificate,
        key: settings.peerKey,
        authority: settings.peerAuthority,
    }, identity);
    if (peer.isErr()) {
        return err(peer.error);
    }
    const http = open(surroundings, "http", { certificate: settings.httpCertificate, key: settings.httpKey });
    if (http.isErr()) {
        void peer.value?.[Symbol.asyncDispose]();
        return err(http.error);
    }
    const sources = { peer: peer.value, http: http.value };
    warnOfMissing(sources, settings, logger);
    warnOfExpired(sources, timers, logger);
    return ok({
        peer: peer.value === undefined ? undefined : { mode: settings.peerTls, credentials: peer.value },
        http: http.value,
        describe: () => ({
            ...(peer.value === undefined ? {} : { peerTls: settings.peerTls }),
            ...Object.fromEntries(
                Object.entries(sources).flatMap(([name, source]) =>
                    source === undefined ? [] : [[name, describeCredentials(source.current())]]
                ),
            ),
        }),
        [Symbol.asyncDispose]: async () => {
            await peer.value?.[Symbol.asyncDispose]();
            await http.value?.[Symbol.asyncDispose]();
        },
    });
}

function open(
    surroundings: Surroundings,
    name: "peer" | "http",
    paths: Readonly<Partial<Record<CredentialPart, string | undefined>>>,
    identity?: string,
): Result<ReloadedCredentials | undefined, ServiceError> {
    const { timers, logger, metrics } = surroundings;
    const named = Object.entries(paths).filter(([, path]) => path !== undefined);
    if (named.length === 0) {
        return ok(undefined);
    }
    const files = Object.fromEntries(named) as CredentialFiles;
    return readCredentials(files, Object.keys(paths) as CredentialPart[], identity).match(
        initial =>
            ok(new ReloadedCredentials({ name, files, initial, timers, logger, metrics, ...withIdentity(identity) })),
        faults => {
            const lines = faults.map(({ part, reason }) => `--${name}-${part} ${reason}`);
            return err(serviceError(ErrorKind.InvalidSettings, lines.join("; ")));
        },
    );
}

function withIdentity(identity: string | undefined) {
    return identity === undefined ? {} : { identity };
}

type Sources = Readonly<Record<"peer" | "http", ReloadedCredentials | undefined>>;

function warnOfMissing({ peer, http }: Sources, settings: Settings, logger: Logger): void {
    if (peer === undefined) {
        logger.warn(
            { setting: "--peer-certificate" },
            "peers are not authenticated: whoever reaches the peer address can act as a process; "
                + "set --peer-certificate, --peer-key and --peer-authority",
        );
    }
    else if (settings.peerTls === "optional") {
        logger.warn(
            { setting: "--peer-tls" },
            "links without TLS are permitted; set --peer-tls required when all processes have certificates",
        );
    }
    if (http === undefined) {
        logger.warn(
            { setting: "--http-certificate" },
            "callers are served without TLS; set --http-certificate and --http-key, or keep the address behind a balancer "
                + "that does",
        );
    }
}

/** An expired certificate does not prevent the start: callers are still served, and the file may be renewed later. */
function warnOfExpired(sources: Sources, timers: Timers, logger: Logger): void {
    for (const [name, source] of Object.entries(sources)) {
        const validUntil = source?.current().leaf.validTo;
        if (validUntil !== undefined && Date.parse(validUntil) < timers.wallClock()) {
            logger.error({ certificate: name, validUntil }, "the certificate has expired; renew its file");
        }
    }
}
