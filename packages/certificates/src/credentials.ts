/**
 * Certificate, key and authority of one process from PEM files, checked together. Faults never contain the content of a
 * file, since it may be a key.
 */
import { describeUnknown } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { createPrivateKey, type KeyObject, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import { namesIdentity } from "./identity.ts";

/** Which of the files is meant. */
export type CredentialPart = "certificate" | "key" | "authority";

/** Paths of the files. */
export type CredentialFiles = Readonly<Partial<Record<CredentialPart, string>>>;

/** Contents of the files. */
export type CredentialTexts = Readonly<Partial<Record<CredentialPart, string>>>;

/** One fault of a file; the reason reads on from the name of a setting. */
export interface CredentialFault {
    readonly part: CredentialPart;
    readonly reason: string;
}

/** Checked credentials. */
export interface Credentials {
    /** PEM text of the certificate and its intermediate certificates. */
    readonly certificate: string;
    /** PEM text of the private key. Never logged or shown. */
    readonly key: string;
    /** PEM text of the authorities whose certificates are accepted; `undefined` when none are asked for. */
    readonly authority: string | undefined;
    /** The certificate of this process. */
    readonly leaf: X509Certificate;
    readonly authorities: readonly X509Certificate[];
}

const CERTIFICATE_BLOCK = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;
const MISSING = "is missing";
const NO_CERTIFICATES = "names a file that is not one or more certificates in PEM form";
const BLOCK_BEGIN = /-----BEGIN [A-Z ]+-----/g;

/** Reads the files and checks them; files that are not named are faults if they belong to `parts`. */
export function readCredentials(
    files: CredentialFiles,
    parts: readonly CredentialPart[],
    identity?: string,
): Result<Credentials, CredentialFault[]> {
    const texts: Partial<Record<CredentialPart, string>> = {};
    const unreadable: CredentialFault[] = [];
    for (const [part, path] of Object.entries(files) as [CredentialPart, string][]) {
        readText(path).match(text => void (texts[part] = text), reason => void unreadable.push({ part, reason }));
    }
    const parsed = parseCredentials(texts, parts, identity);
    const known = new Set(unreadable.map(fault => fault.part));
    return unreadable.length === 0
        ? parsed
        : err([...unreadable, ...parsed.match(() => [], faults => faults.filter(fault => !known.has(fault.part)))]);
}

/**
 * Checks the contents of the files against each other, and the certificate against the identity when one is given.
 * Every fault is returned. Certificate and key must be among `parts`.
 */
export function parseCredentials(
    texts: CredentialTexts,
    parts: readonly CredentialPart[],
    identity?: string,
): Result<Credentials, CredentialFault[]> {
    const faults: CredentialFault[] = parts.filter(part => texts[part] === undefined)
        .map(part => ({ part, reason: MISSING }));
    const take = <Value>(part: CredentialPart, parse: (text: string) => Result<Value, string>): Value | undefined => {
        const parsed = texts[part] === undefined ? undefined : parse(texts[part]);
        if (parsed?.isErr() === true) {
            faults.push({ part, reason: parsed.error });
        }
        return parsed?.unwrapOr(undefined);
    };
    const [leaf] = take("certificate", parseCertificates) ?? [];
    const key = take("key", parseKey);
    const authorities = take("authority", parseCertificates) ?? [];
    if (leaf !== undefined && key !== undefined && !leaf.checkPrivateKey(key)) {
        faults.push({ part: "key", reason: "names a key that does not belong to the certificate" });
    }
    if (leaf !== undefined && identity !== undefined && !namesIdentity(leaf, identity)) {
        const reason = `names a certificate without the URI ${identity} among its subject alternative names`;
        faults.push({ part: "certificate", reason });
    }
    const { certificate, authority } = texts;
    return leaf === undefined || certificate === undefined || texts.key === undefined || faults.length > 0
        ? err(faults)
        : ok({ certificate, key: texts.key, authority, leaf, authorities });
}

/** Reads the certificates of authorities; the error is the reason. */
export function readAuthority(path: string): Result<string, string> {
    return readText(path).andThen(text => parseCertificates(text).map(() => text));
}

function readText(path: string): Result<string, string> {
    try {
        return ok(readFileSync(path, "utf8"));
    }
    catch (failure) {
        return err(`names a file that cannot be read: ${describeUnknown(failure)}`);
    }
}

function parseCertificates(text: string): Result<X509Certificate[], string> {
    const blocks = text.match(CERTIFICATE_BLOCK) ?? [];
    // A file that is being written may end within a certificate; its beginning alone must not be taken.
    const complete = blocks.length > 0 && blocks.length === text.match(BLOCK_BEGIN)?.length;
    try {
        return complete ? ok(blocks.map(block => new X509Certificate(block))) : err(NO_CERTIFICATES);
    }
    catch {
        return err(NO_CERTIFICATES);
    }
}

function parseKey(text: string): Result<KeyObject, string> {
    try {
        return ok(createPrivateKey(text));
    }
    catch {
        return err("names a file that is not a private key in PEM form without a passphrase");
    }
}
