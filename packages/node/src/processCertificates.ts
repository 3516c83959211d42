/** Loads the certificates that the settings of a process name, and warns about missing and expired ones. */
import {
    type CertificateDescription,
    type CredentialFiles,
    type CredentialPart,
    describeCredentials,
    peerIdentity,
    readCredentials,
    ReloadingCredentials,
} from "@tanagerlink/certificates";
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { PeerTls } from "@tanagerlink/peer";
import type { Settings } from "@tanagerlink/settings";
import type { Logger, Metrics } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";

/** Certificates of a process; `undefined` where the settings name none. */
export interface ProcessCertificates extends AsyncDisposable {
    readonly peer: PeerTls | undefined;
    readonly http: ReloadingCredentials | undefined;
    /** Reads the files again and applies changed ones that are valid. */
    reload(): Promise<void>;
    describe(): Readonly<Record<string, CertificateDescription | string>>;
}

interface CertificateDependencies {
    readonly settings: Settings;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Loads the certificates and warns about addresses without TLS. Errors: `invalid_settings` for a faulty file. */
export function loadCertificates(dependencies: CertificateDependencies): Result<ProcessCertificates, ServiceError> {
    const { settings, timers, logger } = dependencies;
    const identity = peerIdentity(settings.failureDomain, settings.nodeId);
    const peer = loadCredentials(dependencies, "peer", {
        certificate: settings.peerCertificate,
        key: settings.peerKey,
        authority: settings.peerAuthority,
    }, identity);
    if (peer.isErr()) {
        return err(peer.error);
    }
    const http = loadCredentials(dependencies, "http", {
        certificate: settings.httpCertificate,
        key: settings.httpKey,
    });
    if (http.isErr()) {
        void peer.value?.[Symbol.asyncDispose]();
        return err(http.error);
    }
    const sources = { peer: peer.value, http: http.value };
    warnAboutMissingCertificates(sources, settings, logger);
    reportExpiredCertificates(sources, timers, logger);
    return ok({
        peer: peer.value === undefined ? undefined : { mode: settings.peerTls, credentials: peer.value },
        http: http.value,
        reload: async () => {
            await peer.value?.reload();
            await http.value?.reload();
        },
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

function loadCredentials(
    dependencies: CertificateDependencies,
    name: "peer" | "http",
    paths: Readonly<Partial<Record<CredentialPart, string | undefined>>>,
    identity?: string,
): Result<ReloadingCredentials | undefined, ServiceError> {
    const { timers, logger, metrics } = dependencies;
    const namedFiles = Object.entries(paths).filter(([, path]) => path !== undefined);
    if (namedFiles.length === 0) {
        return ok(undefined);
    }
    const files = Object.fromEntries(namedFiles) as CredentialFiles;
    return readCredentials(files, Object.keys(paths) as CredentialPart[], identity).match(
        initial =>
            ok(
                new ReloadingCredentials({
                    name,
                    files,
                    initial,
                    timers,
                    logger,
                    metrics,
                    ...identityOption(identity),
                }),
            ),
        faults => {
            const lines = faults.map(({ part, reason }) => `--${name}-${part} ${reason}`);
            return err(serviceError(ErrorKind.InvalidSettings, lines.join("; ")));
        },
    );
}

function identityOption(identity: string | undefined) {
    return identity === undefined ? {} : { identity };
}

type CredentialSources = Readonly<Record<"peer" | "http", ReloadingCredentials | undefined>>;

function warnAboutMissingCertificates({ peer, http }: CredentialSources, settings: Settings, logger: Logger): void {
    if (peer === undefined) {
        logger.warn(
            { setting: "--peer-certificate" },
            "peers are not authenticated: anyone who can connect to the peer address can impersonate a process; "
                + "set --peer-certificate, --peer-key and --peer-authority",
        );
    }
    else if (settings.peerTls === "optional") {
        logger.warn(
            { setting: "--peer-tls" },
            "peer links without TLS are permitted; set --peer-tls required when all processes have certificates",
        );
    }
    if (http === undefined) {
        logger.warn(
            { setting: "--http-certificate" },
            "callers are served without TLS; set --http-certificate and --http-key, or place the address behind a "
                + "balancer that terminates TLS",
        );
    }
}

/** Logs expired certificates. The process starts nevertheless, since it can serve callers and reload a renewed file. */
function reportExpiredCertificates(sources: CredentialSources, timers: Timers, logger: Logger): void {
    for (const [name, source] of Object.entries(sources)) {
        const validUntil = source?.current().leaf.validTo;
        if (validUntil !== undefined && Date.parse(validUntil) < timers.wallClock()) {
            logger.error({ certificate: name, validUntil }, "certificate has expired; renew its file");
        }
    }
}
