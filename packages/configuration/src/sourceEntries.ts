/**
 * The configuration as written in the files: sections with entries, and entries with fields, each with file and line.
 */
import type { ConfigurationFault } from "./configurationStore.ts";

/** Sections of a configuration file. `settings` contains fields directly, the others contain named entries. */
export const sectionNames = ["teams", "keys", "queues", "domains", "services", "settings"] as const;
export type SectionName = (typeof sectionNames)[number];

/** @internal */
export interface SourceLocation {
    readonly file: string;
    readonly line: number;
}

/** @internal A field as written in a file; `removed` is set for `delete: true`. */
export interface SourceField extends SourceLocation {
    readonly value: unknown;
    readonly removed: boolean;
}

/** @internal An entry as written in a file; its location is that of its name. */
export interface SourceEntry extends SourceLocation {
    readonly name: string;
    readonly removed: boolean;
    readonly fields: ReadonlyMap<string, SourceField>;
}

/** @internal Entries of one file, or of all files after the merge. */
export type SourceSections = Readonly<Record<SectionName, ReadonlyMap<string, SourceEntry>>>;

/** @internal Name of the only entry of the section `settings`. */
export const SETTINGS_ENTRY = "settings";

/** @internal */
export type MutableSections = Record<SectionName, Map<string, SourceEntry>>;

/** @internal */
export function emptySections(): MutableSections {
    return {
        teams: new Map(),
        keys: new Map(),
        queues: new Map(),
        domains: new Map(),
        services: new Map(),
        settings: new Map(),
    };
}

/** @internal */
export function faultAt(location: SourceLocation, reason: string): ConfigurationFault {
    return { file: location.file, line: location.line, reason };
}

/** @internal Formats a location as `<file>:<line>`. */
export function originOf(location: SourceLocation): string {
    return `${location.file}:${location.line}`;
}

/** @internal Parses a location formatted by `originOf`. */
export function locationOf(origin: string): SourceLocation {
    const colon = origin.lastIndexOf(":");
    const line = Number(origin.slice(colon + 1));
    return { file: origin.slice(0, Math.max(0, colon)), line: Number.isInteger(line) && line > 0 ? line : 1 };
}
