/**
 * Creation and hashing of keys. A key is `<id>.<secret>`; the configuration holds the identifier, a salt and the scrypt
 * hash of the secret, never the secret.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { randomBytes, scrypt } from "node:crypto";

/** Bytes of the salt, of the hash and of a generated secret. */
export const SALT_BYTES = 16;
export const HASH_BYTES = 32;
const SECRET_BYTES = 32;

/**
 * Cost of one hash: 4 MiB (128 * N * r bytes). Secrets are 256 random bits, which no guessing reaches at any cost, and
 * an entry VM has 64 MB for everything.
 */
const SCRYPT_COST = { N: 4096, r: 8, p: 1 } as const;

/** Salt and hash as they stand in the configuration, base64. */
export interface HashedKey {
    readonly salt: string;
    readonly hash: string;
}

/** A new key. `key` is shown once to the one who asked for it and kept nowhere. */
export interface GeneratedKey extends HashedKey {
    readonly id: string;
    readonly key: string;
}

/** @internal Identifiers of keys: letters, digits, "_" and "-". A dot separates the identifier from the secret. */
export const KEY_ID_FORM = /^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/;

/** Creates a key. Errors: `invalid_request` for an identifier of another form, and those of `hashKey`. */
export async function generateKey(id: string): Promise<Result<GeneratedKey, ServiceError>> {
    if (!KEY_ID_FORM.test(id)) {
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
 * Hashes the secret part of a key, by default with a new salt. Runs outside the event loop. Error: `overloaded`, when
 * there is no memory for it.
 */
export function hashKey(
    secret: string,
    salt: string = randomBytes(SALT_BYTES).toString("base64"),
): Promise<Result<HashedKey, ServiceError>> {
    return new Promise(resolve => {
        scrypt(secret, Buffer.from(salt, "base64"), HASH_BYTES, SCRYPT_COST, (failure, derived) => {
            const failed = serviceError(ErrorKind.Overloaded, "There is not enough memory to hash the key.");
            resolve(failure ? err(failed) : ok({ salt, hash: derived.toString("base64") }));
        });
    });
}
