/**
 * Rows and objects in which the platform stores the configuration.
 */
import * as z from "zod";

/** Key of the row that identifies the newest version. */
export const CONFIGURATION_HEAD_KEY = "config/head";

/** @internal */
export const CHANGE_PREFIX = "config/change/";

/** Number of versions between two full copies. */
export const VERSIONS_PER_FULL_COPY = 100;

const VERSION_DIGITS = 12;

/** @internal Key of the row with the changes of a version; zero-padded, so that rows sort by version. */
export function changeKey(version: number): string {
    return CHANGE_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

/** @internal Name of a full copy; `unique` distinguishes the copies of concurrent operators. */
export function fullCopyName(version: number, unique: string): string {
    return `config/full/${version}-${unique}`;
}

/** @internal */
export const headSchema = z.object({
    version: z.int().min(1),
    operator: z.string(),
    /** Wall-clock time in milliseconds. */
    at: z.number(),
    fullCopy: z.object({ version: z.int().min(1), object: z.string() }).exactOptional(),
    /** Number of shards of every failure domain that any version has defined. */
    shards: z.record(z.string(), z.int().min(1)),
});

/** @internal Value of the row that identifies the newest version. */
export type ConfigurationHead = z.infer<typeof headSchema>;
