/**
 * Bounded memory of checked secrets, so that scrypt runs once per key and configuration entry. It holds a digest under a
 * key of this process only, from which no secret can be recovered elsewhere.
 */
import type { KeyConfiguration } from "@tanagerlink/model";
import { createHmac, randomBytes } from "node:crypto";

const DIGEST_KEY_BYTES = 32;

interface CheckedSecret {
    readonly salt: string;
    readonly hash: string;
}

/** @internal */
export class VerifiedSecrets {
    private readonly digestKey = randomBytes(DIGEST_KEY_BYTES);
    private readonly capacity: number;
    /** In order of last use. */
    private readonly checked = new Map<string, CheckedSecret>();

    constructor(capacity: number) {
        this.capacity = capacity;
    }

    /** Whether the key was remembered for this entry as it is now. */
    has(key: string, entry: KeyConfiguration): boolean {
        const digest = this.digest(key);
        const found = this.checked.get(digest);
        if (found === undefined) {
            return false;
        }
        this.checked.delete(digest);
        if (found.salt !== entry.salt || found.hash !== entry.hash) {
            return false;
        }
        this.checked.set(digest, found);
        return true;
    }

    remember(key: string, entry: KeyConfiguration): void {
        this.checked.set(this.digest(key), { salt: entry.salt, hash: entry.hash });
        const oldest = this.checked.size > this.capacity ? this.checked.keys().next().value : undefined;
        if (oldest !== undefined) {
            this.checked.delete(oldest);
        }
    }

    private digest(key: string): string {
        return createHmac("sha256", this.digestKey).update(key).digest("base64");
    }
}
