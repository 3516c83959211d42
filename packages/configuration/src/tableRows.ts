/**
 * Rows and objects that hold the configuration on the platform.
 */
import * as z from "zod";

/** Key of the row that names the newest version. */
export const CONFIGURATION_HEAD_KEY = "config/head";

/** @internal */
export const CHANGE_PREFIX = "config/change/";

/** Versions between two full copies. */
export const FULL_COPY_INTERVAL = 100;

const VERSION_DIGITS = 12;

/** @internal Key of the row with the changes of one version; padded, so that rows sort by version. */
export function changeKey(version: number): string {
    return CHANGE_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

/** @internal Name of a full copy; `unique` keeps the copies of racing operators apart. */
export function fullCopyName(version: number, unique: string): string {
    return `config/full/${version}-${unique}`;
}

/** @internal */
export const headSchema = z.object({
    version: z.int().min(1),
    operator: z.string(),
    /** Wall-clock milliseconds. */
    at: z.number(),
    fullCopy: z.object({ version: z.int().min(1), object: z.string() }).exactOptional(),
    /** Shards of every failure domain that any version has had. */
    shards: z.record(z.string(), z.int().min(1)),
});

/** @internal The newest version as its row tells. */
export type ConfigurationHead = z.infer<typeof headSchema>;
