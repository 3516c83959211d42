/**
 * Identity of a process in its certificate: the URI `tanagerlink:<failure domain>/<node>` among the subject alternative
 * names. Host names and IP addresses in a certificate do not identify a process.
 */
import type { X509Certificate } from "node:crypto";

/** One entry in the text form of the extension. Node.js quotes values that contain separators. */
const SUBJECT_ALTERNATIVE_NAME = /([A-Za-z][A-Za-z ]*):("(?:[^"\\]|\\.)*"|[^",]*)(?:, |$)/y;

/** Returns the URI that the certificate of a process must contain. */
export function peerIdentity(failureDomain: string, node: string): string {
    return `tanagerlink:${failureDomain}/${node}`;
}

/** Returns the URIs among the subject alternative names, or none if the text cannot be parsed unambiguously. */
export function alternativeUris(certificate: Pick<X509Certificate, "subjectAltName">): string[] {
    const text = certificate.subjectAltName ?? "";
    const uris: string[] = [];
    for (SUBJECT_ALTERNATIVE_NAME.lastIndex = 0; SUBJECT_ALTERNATIVE_NAME.lastIndex < text.length;) {
        const [, kind, value] = SUBJECT_ALTERNATIVE_NAME.exec(text) ?? [];
        if (kind === undefined || value === undefined) {
            return [];
        }
        // A quoted value contains characters that no identifier contains, so it cannot be an identity.
        if (kind === "URI" && !value.startsWith('"')) {
            uris.push(value);
        }
    }
    return uris;
}

/** Whether the certificate contains the identity as returned by `peerIdentity`. */
export function hasIdentity(certificate: Pick<X509Certificate, "subjectAltName">, identity: string): boolean {
    return alternativeUris(certificate).includes(identity);
}
