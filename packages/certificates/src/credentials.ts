/**
 * Reads and validates the certificate, key and authorities of one process from PEM files. Faults never contain the
 * content of a file, since it may be a key.
 */
import { describeUnknown } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { createPrivateKey, type KeyObject, X509Certificate } from "node:crypto";
import { readFileSync } from "node:fs";
import { hasIdentity } from "./identity.ts";

/** One of the files that make up the credentials. */
export type CredentialPart = "certificate" | "key" | "authority";

/** Paths of the files. */
export type CredentialFiles = Readonly<Partial<Record<CredentialPart, string>>>;

/** Contents of the files. */
export type CredentialTexts = Readonly<Partial<Record<CredentialPart, string>>>;

/** A fault of one file; `reason` continues a sentence that begins with the name of its setting. */
export interface CredentialFault {
    readonly part: CredentialPart;
    readonly reason: string;
}

/** Validated credentials. */
export interface Credentials {
    /** PEM text of the certificate and its intermediate certificates. */
    readonly certificate: string;
    /** PEM text of the private key. Never logged or shown. */
    readonly key: string;
    /** PEM text of the authorities whose certificates are accepted; `undefined` if none are configured. */
    readonly authority: string | undefined;
    /** The certificate of this process. */
    readonly leaf: X509Certificate;
    readonly authorities: readonly X509Certificate[];
}

const CERTIFICATE_BLOCK = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;
const MISSING_REASON = "is missing";
const NO_CERTIFICATES_REASON = "names a file that is not one or more certificates in PEM form";
const BLOCK_BEGIN = /-----BEGIN [A-Z ]+-----/g;

/** Reads and validates the files. A part of `parts` without a path in `files` is a fault. */
export function readCredentials(
    files: CredentialFiles,
    parts: readonly CredentialPart[],
    identity?: string,
): Result<Credentials, CredentialFault[]> {
    const texts: Partial<Record<CredentialPart, string>> = {};
    const unreadable: CredentialFault[] = [];
    for (const [part, path] of Object.entries(files) as [CredentialPart, string][]) {
        readTextFile(path).match(text => void (texts[part] = text), reason => void unreadable.push({ part, reason }));
    }
    const parsed = parseCredentials(texts, parts, identity);
    const unreadableParts = new Set(unreadable.map(fault => fault.part));
    return unreadable.length === 0
        ? parsed
        : err([
            ...unreadable,
            ...parsed.match(() => [], faults => faults.filter(fault => !unreadableParts.has(fault.part))),
        ]);
}

/**
 * Validates that the contents of the files belong together, and that the certificate contains the identity if one is
 * given. Returns all faults. `parts` must contain certificate and key.
 */
export function parseCredentials(
    texts: CredentialTexts,
    parts: readonly CredentialPart[],
    identity?: string,
): Result<Credentials, CredentialFault[]> {
    const faults: CredentialFault[] = parts.filter(part => texts[part] === undefined)
        .map(part => ({ part, reason: MISSING_REASON }));
    const parsePart = <Value>(
        part: CredentialPart,
        parse: (text: string) => Result<Value, string>,
    ): Value | undefined => {
        const parsed = texts[part] === undefined ? undefined : parse(texts[part]);
        if (parsed?.isErr() === true) {
            faults.push({ part, reason: parsed.error });
        }
        return parsed?.unwrapOr(undefined);
    };
    const [leaf] = parsePart("certificate", parseCertificates) ?? [];
    const key = parsePart("key", parseKey);
    const authorities = parsePart("authority", parseCertificates) ?? [];
    if (leaf !== undefined && key !== undefined && !leaf.checkPrivateKey(key)) {
        faults.push({ part: "key", reason: "names a key that does not belong to the certificate" });
    }
    if (leaf !== undefined && identity !== undefined && !hasIdentity(leaf, identity)) {
        const reason = `names a certificate without the URI ${identity} among its subject alternative names`;
        faults.push({ part: "certificate", reason });
    }
    const { certificate, authority } = texts;
    return leaf === undefined || certificate === undefined || texts.key === undefined || faults.length > 0
        ? err(faults)
        : ok({ certificate, key: texts.key, authority, leaf, authorities });
}

/** Reads and validates a file of authority certificates; the error is the `reason` of a fault. */
export function readAuthority(path: string): Result<string, string> {
    return readTextFile(path).andThen(text => parseCertificates(text).map(() => text));
}

function readTextFile(path: string): Result<string, string> {
    try {
        return ok(readFileSync(path, "utf8"));
    }
    catch (failure) {
        return err(`names a file that cannot be read: ${describeUnknown(failure)}`);
    }
}

function parseCertificates(text: string): Result<X509Certificate[], string> {
    const blocks = text.match(CERTIFICATE_BLOCK) ?? [];
    // A file that is being written may end within a certificate, and must not be accepted without that certificate.
    const isComplete = blocks.length > 0 && blocks.length === text.match(BLOCK_BEGIN)?.length;
    try {
        return isComplete ? ok(blocks.map(block => new X509Certificate(block))) : err(NO_CERTIFICATES_REASON);
    }
    catch {
        return err(NO_CERTIFICATES_REASON);
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
