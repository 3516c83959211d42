/** Description of credentials for the state dump and the logs: names and times, never a key. */
import type { Credentials } from "./credentials.ts";
import { alternativeUris } from "./identity.ts";

/** Public properties of the certificate of one process. */
export interface CertificateDescription {
    readonly subject: string;
    /** Name of the authority that issued the certificate. */
    readonly authority: string;
    readonly serialNumber: string;
    readonly uris: readonly string[];
    /** End of validity as ISO 8601 text. */
    readonly validUntil: string;
    /** Authorities whose certificates are accepted. */
    readonly acceptedAuthorities: readonly { readonly subject: string; readonly validUntil: string; }[];
}

export function describeCredentials(credentials: Credentials): CertificateDescription {
    const { leaf, authorities } = credentials;
    return {
        subject: toOneLine(leaf.subject),
        authority: toOneLine(leaf.issuer),
        serialNumber: leaf.serialNumber,
        uris: alternativeUris(leaf),
        validUntil: new Date(leaf.validTo).toISOString(),
        acceptedAuthorities: authorities.map(({ subject, validTo }) => ({
            subject: toOneLine(subject),
            validUntil: new Date(validTo).toISOString(),
        })),
    };
}

/** Node.js separates the components of a name by line breaks. The name is `undefined` for an empty subject. */
function toOneLine(name: string | undefined): string {
    return (name ?? "").split("\n").join(", ");
}
