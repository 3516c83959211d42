/**
 * Creation and hashing of keys. A key is `<id>.<secret>`; the configuration holds the identifier, a salt and the scrypt
 * hash of the secret, never the secret.
 */
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

/** Creates a key under an identifier of letters, digits, "_" and "-". */
export async function generateKey(id: string): Promise<GeneratedKey> {
    const secret = randomBytes(SECRET_BYTES).toString("base64url");
    return { id, key: `${id}.${secret}`, ...(await hashKey(secret)) };
}

/** Hashes the secret part of a key, by default with a new salt. Runs outside the event loop. */
export async function hashKey(
    secret: string,
    salt: string = randomBytes(SALT_BYTES).toString("base64"),
): Promise<HashedKey> {
    const hash = await new Promise<Buffer>((resolve, reject) => {
        scrypt(secret, Buffer.from(salt, "base64"), HASH_BYTES, SCRYPT_COST, (failure, derived) => {
            if (failure) {
                reject(failure);
            }
            else {
                resolve(derived);
            }
        });
    });
    return { salt, hash: hash.toString("base64") };
}
