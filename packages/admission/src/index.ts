/**
 * Admission control: creation and hashing of keys, and verification of presented keys and teams against the
 * configuration in force.
 */
export { type GeneratedKey, generateKey, type HashedKey, hashKey } from "./keyHash.ts";
export { type Admission, type AdmissionRequest, KeyVerifier } from "./keyVerifier.ts";
