/** Verifies operator tokens against salted hashes from the settings. */
import { hashKey } from "@tanagerlink/admission";
import type { OperatorVerifier } from "@tanagerlink/entry";
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Settings } from "@tanagerlink/settings";
import { err, ok, type Result } from "neverthrow";
import { timingSafeEqual } from "node:crypto";
import { readFile } from "node:fs/promises";

/** Setting of the operator key file, as named in messages. */
const OPERATOR_KEY_FILE_SETTING = "--operator-key-file (TANAGERLINK_OPERATOR_KEY_FILE)";

const TOKEN_HASH_PATTERN = /^scrypt:([A-Za-z0-9+/=]+):([A-Za-z0-9+/=]+)$/;
const OPERATOR_LINE_PATTERN = /^(\S+)\s+(scrypt:\S+)$/;

/** Maximum number of cached rejected tokens. Presenting one of these again costs no hash. */
const MAXIMUM_REJECTED_TOKENS = 256;

/** Maximum number of checks waiting or running. Each computes a hash with 4 MiB of memory for every operator. */
const MAXIMUM_PENDING_CHECKS = 16;

interface TokenHash {
    readonly salt: string;
    readonly hash: string;
}

/** Verifies the tokens of all operators. Checks run one after the other, so that wrong tokens use only one thread. */
export class OperatorTokenVerifier implements OperatorVerifier {
    private readonly hashes: readonly TokenHash[];
    private readonly computeHash: typeof hashKey;
    private readonly acceptedTokens = new Set<string>();
    private readonly rejectedTokens = new Set<string>();
    private readonly pendingChecks = new Map<string, Promise<Result<boolean, ServiceError>>>();
    private lastCheck: Promise<unknown> = Promise.resolve();

    constructor(hashes: readonly TokenHash[], computeHash: typeof hashKey = hashKey) {
        this.hashes = hashes;
        this.computeHash = computeHash;
    }

    /** Errors: `key_missing`, `key_rejected`, and `overloaded` while too many unknown tokens are being checked. */
    async verify(token: string | undefined): Promise<Result<void, ServiceError>> {
        if (token === undefined) {
            return err(serviceError(ErrorKind.KeyMissing, "this request needs the operator token"));
        }
        if (this.acceptedTokens.has(token)) {
            return ok(undefined);
        }
        const matches = this.rejectedTokens.has(token) ? ok(false) : await this.checkToken(token);
        return matches.andThen(match =>
            match ? ok(undefined) : err(serviceError(ErrorKind.KeyRejected, "the operator token is unknown"))
        );
    }

    private checkToken(token: string): Promise<Result<boolean, ServiceError>> {
        const pendingCheck = this.pendingChecks.get(token);
        if (pendingCheck !== undefined) {
            return pendingCheck;
        }
        if (this.pendingChecks.size >= MAXIMUM_PENDING_CHECKS) {
            const message = "too many operator tokens are being checked; retry shortly";
            return Promise.resolve(err(serviceError(ErrorKind.Overloaded, message)));
        }
        const check = this.lastCheck.then(() => this.matchesAny(token)).finally(() => this.pendingChecks.delete(token));
        this.pendingChecks.set(token, check);
        this.lastCheck = check;
        return check;
    }

    private async matchesAny(token: string): Promise<Result<boolean, ServiceError>> {
        for (const expected of this.hashes) {
            const hashed = await this.computeHash(token, expected.salt);
            if (hashed.isErr()) {
                return err(hashed.error);
            }
            const presentedHash = Buffer.from(hashed.value.hash, "base64");
            const expectedHash = Buffer.from(expected.hash, "base64");
            if (presentedHash.length === expectedHash.length && timingSafeEqual(presentedHash, expectedHash)) {
                this.acceptedTokens.add(token);
                return ok(true);
            }
        }
        this.cacheRejected(token);
        return ok(false);
    }

    private cacheRejected(token: string): void {
        this.rejectedTokens.add(token);
        const [oldest] = this.rejectedTokens;
        if (this.rejectedTokens.size > MAXIMUM_REJECTED_TOKENS && oldest !== undefined) {
            this.rejectedTokens.delete(oldest);
        }
    }
}

/** Reads the token hashes from the settings and the operator key file. Without any, all tokens are rejected. */
export async function createOperatorTokenVerifier(
    settings: Settings,
): Promise<Result<OperatorTokenVerifier, ServiceError>> {
    const hashTexts: string[] = [];
    if (settings.operatorTokenHash !== undefined) {
        hashTexts.push(settings.operatorTokenHash);
    }
    if (settings.operatorKeyFile !== undefined) {
        const fileHashes = await readOperatorKeyFile(settings.operatorKeyFile);
        if (fileHashes.isErr()) {
            return err(fileHashes.error);
        }
        hashTexts.push(...fileHashes.value);
    }
    if (hashTexts.some(text => !TOKEN_HASH_PATTERN.test(text))) {
        const message = `${OPERATOR_KEY_FILE_SETTING} or --operator-token-hash (TANAGERLINK_OPERATOR_TOKEN_HASH): `
            + "a hash is not scrypt:<salt>:<hash> in base64";
        return err(serviceError(ErrorKind.InvalidSettings, message));
    }
    const hashes = hashTexts.flatMap(text => {
        const match = TOKEN_HASH_PATTERN.exec(text);
        return match?.[1] === undefined || match[2] === undefined ? [] : [{ salt: match[1], hash: match[2] }];
    });
    return ok(new OperatorTokenVerifier(hashes));
}

async function readOperatorKeyFile(path: string): Promise<Result<string[], ServiceError>> {
    try {
        const lines = (await readFile(path, "utf8")).split("\n").filter(line => /^\s*[^#\s]/.test(line));
        const hashes = lines.map(line => OPERATOR_LINE_PATTERN.exec(line.trim())?.[2]);
        const invalidIndex = hashes.indexOf(undefined);
        return invalidIndex < 0
            ? ok(hashes.filter(hash => hash !== undefined))
            : err(serviceError(
                ErrorKind.InvalidSettings,
                `${OPERATOR_KEY_FILE_SETTING}: entry ${invalidIndex + 1} is not '<operator> scrypt:<salt>:<hash>'`,
            ));
    }
    catch (failure) {
        return err(
            serviceError(ErrorKind.InvalidSettings, `${OPERATOR_KEY_FILE_SETTING}: ${describeUnknown(failure)}`),
        );
    }
}
