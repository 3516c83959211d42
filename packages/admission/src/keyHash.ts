/**
 * Creation and hashing of keys. A key is `<id>.<secret>`; the configuration holds the identifier, a salt and the scrypt
 * hash of the secret, never the secret.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { randomBytes, scrypt } from "node:crypto";

export const SALT_BYTES = 16;
export const HASH_BYTES = 32;
const SECRET_BYTES = 32;

/**
 * Each hash takes 4 MiB (128 * N * r bytes). A higher cost is not needed, since secrets have 256 random bits and cannot
 * be guessed, and not affordable, since an entry VM has only 64 MB of memory.
 */
const SCRYPT_COST = { N: 4096, r: 8, p: 1 } as const;

/** Salt and hash in base64, as stored in the configuration. */
export interface HashedKey {
    readonly salt: string;
    readonly hash: string;
}

/** A new key. `key` is shown once to the requester and is not stored. */
export interface GeneratedKey extends HashedKey {
    readonly id: string;
    readonly key: string;
}

/** @internal Key identifiers contain no dot, since a dot separates them from the secret. */
export const KEY_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/;

/** Creates a key. Errors: `invalid_request` for an invalid identifier, and those of `hashKey`. */
export async function generateKey(id: string): Promise<Result<GeneratedKey, ServiceError>> {
    if (!KEY_ID_PATTERN.test(id)) {
        return err(serviceError(
            ErrorKind.InvalidRequest,
            "The identifier of a key must be at most 63 letters, digits, '_' or '-'.",
        ));
    }
    const secret = randomBytes(SECRET_BYTES).toString("base64url");
    const hashed = await hashKey(secret);
    return hashed.map(parts => ({ id, key: `${id}.${secret}`, ...parts }));
}

/**
 * Hashes the secret part of a key, by default with a new salt. The computation does not block the event loop. Error:
 * `overloaded` if there is not enough memory.
 */
export function hashKey(
    secret: string,
    salt: string = randomBytes(SALT_BYTES).toString("base64"),
): Promise<Result<HashedKey, ServiceError>> {
    return new Promise(resolve => {
        scrypt(secret, Buffer.from(salt, "base64"), HASH_BYTES, SCRYPT_COST, (failure, derived) => {
            const error = serviceError(ErrorKind.Overloaded, "There is not enough memory to hash the key.");
            resolve(failure ? err(error) : ok({ salt, hash: derived.toString("base64") }));
        });
    });
}
