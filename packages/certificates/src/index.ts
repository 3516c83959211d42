/**
 * Certificates of one process: reading and validating the files, reloading them when they change, the identity of a
 * process in its certificate, and HTTPS servers that use the certificates.
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
export { type CredentialSource, ReloadingCredentials } from "./credentialSource.ts";
export { alternativeUris, hasIdentity, peerIdentity } from "./identity.ts";
export { createTlsServer, type TlsServer } from "./tlsServer.ts";
