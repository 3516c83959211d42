/** What is shown of credentials in the state dump and in logs: names and times, never a key. */
import type { Credentials } from "./credentials.ts";
import { uriNames } from "./identity.ts";

/** Public facts of the certificate of one process. */
export interface CertificateDescription {
    readonly subject: string;
    /** Name of the authority that issued the certificate. */
    readonly authority: string;
    readonly serialNumber: string;
    readonly uris: readonly string[];
    /** End of validity as ISO 8601 text. */
    readonly validUntil: string;
    /** Authorities whose certificates are accepted, with their ends of validity. */
    readonly acceptedAuthorities: readonly { readonly subject: string; readonly validUntil: string; }[];
}

/** Describes the credentials. */
export function describeCredentials(credentials: Credentials): CertificateDescription {
    const { leaf, authorities } = credentials;
    return {
        subject: oneLine(leaf.subject),
        authority: oneLine(leaf.issuer),
        serialNumber: leaf.serialNumber,
        uris: uriNames(leaf),
        validUntil: new Date(leaf.validTo).toISOString(),
        acceptedAuthorities: authorities.map(({ subject, validTo }) => ({
            subject: oneLine(subject),
            validUntil: new Date(validTo).toISOString(),
        })),
    };
}

/** Node.js separates the parts of a name by line breaks; a certificate without a subject has none. */
function oneLine(name: string | undefined): string {
    return (name ?? "").split("\n").join(", ");
}
