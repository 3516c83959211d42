/**
 * Schemas of settings in text form, as given by flags and environment variables. Each schema validates the text and
 * converts it to the value used by the process.
 */
import { isIP } from "node:net";
import * as z from "zod";

const MAXIMUM_PORT = 65_535;

/** A whole number between two inclusive bounds. */
export function wholeNumber(minimum: number, maximum: number): z.ZodType<number> {
    const message = `must be a whole number from ${minimum} to ${maximum}`;
    return z.string().regex(/^\d{1,15}$/, message).transform(Number)
        .refine(value => value >= minimum && value <= maximum, message);
}

/** `ip:port` with a literal IPv4 address or a bracketed IPv6 address; host names are rejected. */
export function ipAndPort(minimumPort: 0 | 1): z.ZodType<string> {
    const message =
        `must be <ip>:<port> with a literal IP address (IPv6 in brackets) and a port from ${minimumPort} to `
        + `${MAXIMUM_PORT}`;
    return z.string().refine(text => isAddress(text, minimumPort), message);
}

function isAddress(text: string, minimumPort: number): boolean {
    const match = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(text) ?? undefined;
    if (match === undefined) {
        return false;
    }
    const port = Number(match[3]);
    const family = match[1] === undefined ? 4 : 6;
    return isIP(match[1] ?? match[2] ?? "") === family && port >= minimumPort && port <= MAXIMUM_PORT;
}

/** Identifier of a node or failure domain, as in the VM list. */
export function identifier(maximumLength: number): z.ZodType<string> {
    return z.string().regex(
        new RegExp(`^[A-Za-z0-9][A-Za-z0-9._-]{0,${maximumLength - 1}}$`),
        `must be 1 to ${maximumLength} letters, digits, '.', '_' or '-', beginning with a letter or digit`,
    );
}

/** `http` or `https` URL without credentials, query or fragment; trailing slashes are removed. */
export const baseUrl: z.ZodType<string> = z.string().refine(
    isBaseUrl,
    "must be an http or https URL without user, "
        + "query or fragment",
).transform(text => text.replace(/\/+$/, ""));

function isBaseUrl(text: string): boolean {
    if (!URL.canParse(text)) {
        return false;
    }
    const url = new URL(text);
    const hasOnlyOriginAndPath = url.username === "" && url.password === "" && url.search === "" && url.hash === "";
    return hasOnlyOriginAndPath && (url.protocol === "http:" || url.protocol === "https:");
}

/** One of a fixed list of values. */
export function oneOf<const Value extends string>(values: readonly Value[]): z.ZodType<Value> {
    return z.enum(values, `must be one of ${values.join(", ")}`);
}

/** Path of a file. Whether the file can be read is checked by the component that reads it. */
export const filePath: z.ZodType<string> = z.string().min(1, "must not be empty").max(4_096);

/** Salted hash of a secret; settings never contain the secret itself. */
export const saltedHash: z.ZodType<string> = z.string().regex(
    /^scrypt:[A-Za-z0-9+/]{16,128}={0,2}:[A-Za-z0-9+/]{32,256}={0,2}$/,
    "must be scrypt:<salt>:<hash> with salt and hash in base64",
);
