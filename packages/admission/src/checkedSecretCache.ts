/**
 * LRU cache of checked secrets, so that scrypt runs only once per key and configuration entry. It stores HMAC digests
 * under a random key that exists only in this process, so that secrets cannot be recovered from them elsewhere.
 */
import type { KeyConfiguration } from "@tanagerlink/model";
import { createHmac, randomBytes } from "node:crypto";

const DIGEST_KEY_BYTES = 32;

interface CheckedSecret {
    readonly salt: string;
    readonly hash: string;
}

/** @internal */
export class CheckedSecretCache {
    private readonly digestKey = randomBytes(DIGEST_KEY_BYTES);
    private readonly capacity: number;
    /** Ordered by last use, least recent first. */
    private readonly checkedSecrets = new Map<string, CheckedSecret>();

    constructor(capacity: number) {
        this.capacity = capacity;
    }

    /** Whether the key was added for this entry with its present salt and hash. */
    has(key: string, entry: KeyConfiguration): boolean {
        const digest = this.digest(key);
        const cached = this.checkedSecrets.get(digest);
        if (cached === undefined) {
            return false;
        }
        this.checkedSecrets.delete(digest);
        if (cached.salt !== entry.salt || cached.hash !== entry.hash) {
            return false;
        }
        this.checkedSecrets.set(digest, cached);
        return true;
    }

    add(key: string, entry: KeyConfiguration): void {
        this.checkedSecrets.set(this.digest(key), { salt: entry.salt, hash: entry.hash });
        const leastRecent = this.checkedSecrets.size > this.capacity
            ? this.checkedSecrets.keys().next().value
            : undefined;
        if (leastRecent !== undefined) {
            this.checkedSecrets.delete(leastRecent);
        }
    }

    private digest(key: string): string {
        return createHmac("sha256", this.digestKey).update(key).digest("base64");
    }
}
