/**
 * Identity of a process in its certificate: the URI `tanagerlink:<failure domain>/<node>` among the subject alternative
 * names. Host names and IP addresses of a certificate say nothing about the process.
 */
import type { X509Certificate } from "node:crypto";

/** One name in the text form of the extension. Node.js quotes values that contain separators. */
const NAME = /([A-Za-z][A-Za-z ]*):("(?:[^"\\]|\\.)*"|[^",]*)(?:, |$)/y;

/** URI that the certificate of a process must contain. */
export function peerIdentity(failureDomain: string, node: string): string {
    return `tanagerlink:${failureDomain}/${node}`;
}

/** URIs among the subject alternative names, or none when the text cannot be read without doubt. */
export function uriNames(certificate: Pick<X509Certificate, "subjectAltName">): string[] {
    const text = certificate.subjectAltName ?? "";
    const uris: string[] = [];
    for (NAME.lastIndex = 0; NAME.lastIndex < text.length;) {
        const [, kind, value] = NAME.exec(text) ?? [];
        if (kind === undefined || value === undefined) {
            return [];
        }
        // A quoted value contains characters that no identifier has, so it can't be an identity.
        if (kind === "URI" && !value.startsWith('"')) {
            uris.push(value);
        }
    }
    return uris;
}

/** Whether the certificate belongs to the process. */
export function namesIdentity(certificate: Pick<X509Certificate, "subjectAltName">, identity: string): boolean {
    return uriNames(certificate).includes(identity);
}
