/**
 * A certificate authority for tests. Certificates are issued at run time, so that the repository contains no keys and no
 * certificate that expires.
 */
import "reflect-metadata";
import {
    BasicConstraintsExtension,
    GeneralName,
    type JsonGeneralName,
    KeyUsageFlags,
    KeyUsagesExtension,
    PemConverter,
    SubjectAlternativeNameExtension,
    type X509Certificate,
    X509CertificateGenerator,
} from "@peculiar/x509";
import { randomBytes, webcrypto } from "node:crypto";
import { mkdir, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";

const HOUR_MILLISECONDS = 3_600_000;
const KEY_ALGORITHM = { name: "ECDSA", namedCurve: "P-256" };
const SIGNATURE_ALGORITHM = { name: "ECDSA", hash: "SHA-256" };

/** Subject, alternative names and validity of a certificate to issue. */
export interface CertificateRequest {
    /** Common name. */
    readonly name: string;
    readonly uris?: readonly string[];
    readonly addresses?: readonly string[];
    /** Time from now to the end of validity; negative for an expired certificate. */
    readonly validMilliseconds?: number;
}

/** PEM texts of an issued certificate, its key and the certificate of its authority. */
export interface IssuedCertificate {
    readonly certificate: string;
    readonly key: string;
    /** Certificate of the issuing authority. */
    readonly authority: string;
    /** In upper case, as Node.js shows it. */
    readonly serialNumber: string;
}

/** Paths of the files of one issued certificate. */
export interface CertificatePaths {
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}

/** A certificate authority with a self-signed certificate. */
export class AuthorityStandIn {
    /** PEM text of the authority's certificate. */
    readonly pem: string;
    private readonly certificate: X509Certificate;
    private readonly keys: webcrypto.CryptoKeyPair;

    private constructor(certificate: X509Certificate, keys: webcrypto.CryptoKeyPair) {
        this.certificate = certificate;
        this.keys = keys;
        this.pem = `${certificate.toString("pem")}\n`;
    }

    static async create(name = "test authority"): Promise<AuthorityStandIn> {
        const keys = await createKeys();
        const certificate = await X509CertificateGenerator.createSelfSigned({
            serialNumber: createSerialNumber(),
            name: `CN=${name}`,
            notBefore: new Date(Date.now() - HOUR_MILLISECONDS),
            notAfter: new Date(Date.now() + 24 * HOUR_MILLISECONDS),
            signingAlgorithm: SIGNATURE_ALGORITHM,
            keys,
            extensions: [
                new BasicConstraintsExtension(true, undefined, true),
                new KeyUsagesExtension(KeyUsageFlags.keyCertSign | KeyUsageFlags.cRLSign, true),
            ],
        }, webcrypto);
        return new AuthorityStandIn(certificate, keys);
    }

    async issue(request: CertificateRequest): Promise<IssuedCertificate> {
        const { name, uris = [], addresses = [], validMilliseconds = HOUR_MILLISECONDS } = request;
        const keys = await createKeys();
        const names: JsonGeneralName[] = [
            ...uris.map(value => ({ type: "url" as const, value })),
            ...addresses.map(value => ({ type: "ip" as const, value })),
        ];
        const certificate = await X509CertificateGenerator.create({
            serialNumber: createSerialNumber(),
            subject: `CN=${name}`,
            issuer: this.certificate.subject,
            notBefore: new Date(Date.now() - 2 * HOUR_MILLISECONDS),
            notAfter: new Date(Date.now() + validMilliseconds),
            signingAlgorithm: SIGNATURE_ALGORITHM,
            publicKey: keys.publicKey,
            signingKey: this.keys.privateKey,
            extensions: [
                new BasicConstraintsExtension(false),
                ...(names.length === 0
                    ? []
                    : [
                        new SubjectAlternativeNameExtension(
                            names.map(({ type, value }) => new GeneralName(type, value)),
                        ),
                    ]),
            ],
        }, webcrypto);
        const key = await webcrypto.subtle.exportKey("pkcs8", keys.privateKey);
        return {
            certificate: `${certificate.toString("pem")}\n`,
            key: `${PemConverter.encode(key, "PRIVATE KEY")}\n`,
            authority: this.pem,
            serialNumber: certificate.serialNumber.toUpperCase(),
        };
    }
}

/** Writes the files into the folder and replaces each of them atomically, as the operator documentation requires. */
export async function writeCertificate(folder: string, issued: IssuedCertificate): Promise<CertificatePaths> {
    await mkdir(folder, { recursive: true });
    const paths = {
        certificate: join(folder, "certificate.pem"),
        key: join(folder, "key.pem"),
        authority: join(folder, "authority.pem"),
    };
    for (const part of ["certificate", "key", "authority"] as const) {
        await writeFile(`${paths[part]}.new`, issued[part], { mode: 0o600 });
        await rename(`${paths[part]}.new`, paths[part]);
    }
    return paths;
}

async function createKeys(): Promise<webcrypto.CryptoKeyPair> {
    const keys = await webcrypto.subtle.generateKey(KEY_ALGORITHM, true, ["sign", "verify"]);
    return keys as webcrypto.CryptoKeyPair;
}

/** The leading byte 01 keeps the number positive, as X.509 requires. */
function createSerialNumber(): string {
    return `01${randomBytes(8).toString("hex")}`;
}
