/** Checks operator tokens against salted hashes from the settings. */
import { hashKey } from "@tanagerlink/admission";
import type { OperatorCheck } from "@tanagerlink/entry";
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Settings } from "@tanagerlink/settings";
import { err, ok, type Result } from "neverthrow";
import { timingSafeEqual } from "node:crypto";
import { readFile } from "node:fs/promises";

const HASH_FORM = /^scrypt:([A-Za-z0-9+/=]+):([A-Za-z0-9+/=]+)$/;
const OPERATOR_LINE = /^(\S+)\s+(scrypt:\S+)$/;

/** Rejected tokens remembered, so that repeating a wrong one costs no hash. */
const REMEMBERED_TOKENS = 256;

interface TokenHash {
    readonly salt: string;
    readonly hash: string;
}

/** Operators of one process. */
export class OperatorAccess implements OperatorCheck {
    private readonly hashes: readonly TokenHash[];
    private readonly checked = new Map<string, Promise<boolean>>();

    constructor(hashes: readonly TokenHash[]) {
        this.hashes = hashes;
    }

    async verify(presented: string | undefined): Promise<Result<void, ServiceError>> {
        if (presented === undefined) {
            return err(serviceError(ErrorKind.KeyMissing, "this call needs the operator token"));
        }
        return await this.check(presented)
            ? ok(undefined)
            : err(serviceError(ErrorKind.KeyRejected, "the operator token is unknown"));
    }

    private check(presented: string): Promise<boolean> {
        let check = this.checked.get(presented);
        if (check === undefined) {
            check = this.matchesAny(presented);
            this.checked.set(presented, check);
            const oldest = this.checked.keys().next().value;
            if (this.checked.size > REMEMBERED_TOKENS && oldest !== undefined) {
                this.checked.delete(oldest);
            }
        }
        return check;
    }

    private async matchesAny(presented: string): Promise<boolean> {
        for (const known of this.hashes) {
            const hashed = await hashKey(presented, known.salt);
            if (hashed.isErr()) {
                continue;
            }
            const left = Buffer.from(hashed.value.hash, "base64");
            const right = Buffer.from(known.hash, "base64");
            if (left.length === right.length && timingSafeEqual(left, right)) {
                return true;
            }
        }
        return false;
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
    const hashes = texts.flatMap(text => {
        const match = HASH_FORM.exec(text);
        return match?.[1] === undefined || match[2] === undefined ? [] : [{ salt: match[1], hash: match[2] }];
    });
    return hashes.length === texts.length
        ? ok(new OperatorAccess(hashes))
        : err(serviceError(ErrorKind.InvalidSettings, "an operator token hash is not scrypt:<salt>:<hash> in base64"));
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
                `--operator-key-file: entry ${broken + 1} is not '<operator> scrypt:<salt>:<hash>'`,
            ));
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidSettings, `--operator-key-file: ${describeUnknown(failure)}`));
    }
}
