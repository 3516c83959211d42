/**
 * Admission: keys and teams. Creation and hashing of keys, and the check of a presented key against the configuration
 * in force.
 */
export { type GeneratedKey, generateKey, type HashedKey, hashKey } from "./keyHash.ts";
export { type Admission, type AdmissionRequest, KeyVerifier } from "./keyVerifier.ts";
