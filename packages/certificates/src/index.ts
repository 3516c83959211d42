/**
 * Certificates of one process: reading and checking the files, reading them again when they change, the identity that a
 * certificate gives to a process, and servers that use them.
 */
export { type CertificateDescription, describeCredentials } from "./certificateDescription.ts";
export {
    type CredentialFault,
    type CredentialFiles,
    type CredentialPart,
    type Credentials,
    type CredentialTexts,
    parseCredentials,
    readAuthority,
    readCredentials,
} from "./credentials.ts";
export { type CredentialSource, ReloadedCredentials } from "./credentialSource.ts";
export { namesIdentity, peerIdentity, uriNames } from "./identity.ts";
export { createTlsServer, type TlsServer } from "./tlsServer.ts";
