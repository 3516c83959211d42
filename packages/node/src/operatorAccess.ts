/** Checks operator tokens against salted hashes from the settings. */
import { hashKey } from "@tanagerlink/admission";
import type { OperatorVerifier } from "@tanagerlink/entry";
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Settings } from "@tanagerlink/settings";
import { err, ok, type Result } from "neverthrow";
import { timingSafeEqual } from "node:crypto";
import { readFile } from "node:fs/promises";

/** How messages name the setting of the file. */
const FILE_SETTING = "--operator-key-file (TANAGERLINK_OPERATOR_KEY_FILE)";

const HASH_FORM = /^scrypt:([A-Za-z0-9+/=]+):([A-Za-z0-9+/=]+)$/;
const OPERATOR_LINE = /^(\S+)\s+(scrypt:\S+)$/;

/** Wrong tokens remembered, so that repeating one costs no hash. */
const REMEMBERED_TOKENS = 256;

/** Checks that wait or run at the same time. Each costs a hash of 4 MiB for every operator. */
const MAXIMUM_CHECKS = 16;

interface TokenHash {
    readonly salt: string;
    readonly hash: string;
}

/** Operators of one process. Checks run one after another, so that a flood of wrong tokens takes one thread only. */
export class OperatorAccess implements OperatorVerifier {
    private readonly hashes: readonly TokenHash[];
    private readonly hash: typeof hashKey;
    private readonly correct = new Set<string>();
    private readonly wrong = new Set<string>();
    private readonly running = new Map<string, Promise<Result<boolean, ServiceError>>>();
    private last: Promise<unknown> = Promise.resolve();

    constructor(hashes: readonly TokenHash[], hash: typeof hashKey = hashKey) {
        this.hashes = hashes;
        this.hash = hash;
    }

    /** Errors: `key_missing`, `key_rejected`, and `overloaded` when too many unknown tokens wait for their check. */
    async verify(presented: string | undefined): Promise<Result<void, ServiceError>> {
        if (presented === undefined) {
            return err(serviceError(ErrorKind.KeyMissing, "this call needs the operator token"));
        }
        if (this.correct.has(presented)) {
            return ok(undefined);
        }
        const matches = this.wrong.has(presented) ? ok(false) : await this.check(presented);
        return matches.andThen(match =>
            match ? ok(undefined) : err(serviceError(ErrorKind.KeyRejected, "the operator token is unknown"))
        );
    }

    private check(presented: string): Promise<Result<boolean, ServiceError>> {
        const running = this.running.get(presented);
        if (running !== undefined) {
            return running;
        }
        if (this.running.size >= MAXIMUM_CHECKS) {
            const message = "too many tokens wait for their check; repeat the call shortly";
            return Promise.resolve(err(serviceError(ErrorKind.Overloaded, message)));
        }
        const check = this.last.then(() => this.matchesAny(presented)).finally(() => this.running.delete(presented));
        this.running.set(presented, check);
        this.last = check;
        return check;
    }

    private async matchesAny(presented: string): Promise<Result<boolean, ServiceError>> {
        for (const known of this.hashes) {
            const hashed = await this.hash(presented, known.salt);
            if (hashed.isErr()) {
                return err(hashed.error);
            }
            const left = Buffer.from(hashed.value.hash, "base64");
            const right = Buffer.from(known.hash, "base64");
            if (left.length === right.length && timingSafeEqual(left, right)) {
                this.correct.add(presented);
                return ok(true);
            }
        }
        this.rememberWrong(presented);
        return ok(false);
    }

    private rememberWrong(token: string): void {
        this.wrong.add(token);
        const [oldest] = this.wrong;
        if (this.wrong.size > REMEMBERED_TOKENS && oldest !== undefined) {
            this.wrong.delete(oldest);
        }
    }
}

/** Reads the operators from the settings. Without any, all operators are refused. */
export async function readOperators(settings: Settings): Promise<Result<OperatorAccess, ServiceError>> {
    const texts: string[] = [];
    if (settings.operatorTokenHash !== undefined) {
        texts.push(settings.operatorTokenHash);
    }
    if (settings.operatorKeyFile !== undefined) {
        const lines = await readOperatorFile(settings.operatorKeyFile);
        if (lines.isErr()) {
            return err(lines.error);
        }
        texts.push(...lines.value);
    }
    if (texts.some(text => !HASH_FORM.test(text))) {
        const message = `${FILE_SETTING} or --operator-token-hash (TANAGERLINK_OPERATOR_TOKEN_HASH): `
            + "a hash is not scrypt:<salt>:<hash> in base64";
        return err(serviceError(ErrorKind.InvalidSettings, message));
    }
    const hashes = texts.flatMap(text => {
        const match = HASH_FORM.exec(text);
        return match?.[1] === undefined || match[2] === undefined ? [] : [{ salt: match[1], hash: match[2] }];
    });
    return ok(new OperatorAccess(hashes));
}

async function readOperatorFile(path: string): Promise<Result<string[], ServiceError>> {
    try {
        const lines = (await readFile(path, "utf8")).split("\n").filter(line => /^\s*[^#\s]/.test(line));
        const hashes = lines.map(line => OPERATOR_LINE.exec(line.trim())?.[2]);
        const broken = hashes.indexOf(undefined);
        return broken < 0
            ? ok(hashes.filter(hash => hash !== undefined))
            : err(serviceError(
                ErrorKind.InvalidSettings,
                `${FILE_SETTING}: entry ${broken + 1} is not '<operator> scrypt:<salt>:<hash>'`,
            ));
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidSettings, `${FILE_SETTING}: ${describeUnknown(failure)}`));
    }
}
