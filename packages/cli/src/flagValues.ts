/** Restores flag values as text: the argument parser turns `007` and `1e3` into numbers, which would change a key. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";

/** Returns the flags with each number as the text that was given. Errors: `invalid_settings` for a flag given twice. */
export function restoreFlagValues(
    flags: Readonly<Record<string, unknown>>,
    arguments_: readonly string[],
): Result<Record<string, unknown>, ServiceError> {
    const texts: Record<string, unknown> = {};
    const repeated: string[] = [];
    for (const [name, value] of Object.entries(flags)) {
        const flag = `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
        if (Array.isArray(value) && name !== "--") {
            repeated.push(flag);
        }
        texts[name] = typeof value === "number" ? readRawValue(flag, arguments_) ?? String(value) : value;
    }
    return repeated.length === 0
        ? ok(texts)
        : err(serviceError(ErrorKind.InvalidSettings, `${repeated.join(", ")} may be given only once`));
}

function readRawValue(flag: string, arguments_: readonly string[]): string | undefined {
    const index = arguments_.findIndex(argument => argument === flag || argument.startsWith(`${flag}=`));
    const argument = arguments_[index];
    return argument === flag ? arguments_[index + 1] : argument?.slice(flag.length + 1);
}
