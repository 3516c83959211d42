/**
 * Checks references between entries: from keys to teams and from services to queues. Lookups are collected as `Option`.
 */
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import { None, type Option, Some } from "ts-results/esm/option.js";
import type { ConfigurationFault } from "./configurationStore.ts";
import { faultAt, locationOf, type SectionName, type SourceLocation } from "./sourceEntries.ts";

/** @internal A configuration without a version number. */
export type UnversionedSnapshot = Omit<ConfigurationSnapshot, "version">;

interface Reference {
    readonly section: SectionName;
    readonly name: string;
    readonly field: string;
    readonly origin: string;
    readonly target: Option<unknown>;
    readonly targetSection: SectionName;
    readonly targetName: string;
}

/** @internal Entries as declared in the source files, including those with faults, which the snapshot omits. */
export interface DeclaredEntries {
    /** Location of a field; if `undefined`, faults refer to the location of the entry. */
    locate(section: SectionName, name: string, field: string): SourceLocation | undefined;
    /** Whether the entry is declared, with or without faults. */
    has(section: SectionName, name: string): boolean;
}

const noDeclaredEntries: DeclaredEntries = { locate: () => undefined, has: () => false };

/** @internal Reports all references to undefined entries. */
export function checkReferences(
    snapshot: UnversionedSnapshot,
    declared: DeclaredEntries = noDeclaredEntries,
): ConfigurationFault[] {
    return collectReferences(snapshot)
        .filter(reference => reference.target.none && !declared.has(reference.targetSection, reference.targetName))
        .map(({ section, name, field, origin, targetSection, targetName }) =>
            faultAt(
                declared.locate(section, name, field) ?? locationOf(origin),
                `${section}/${name}: ${field} "${targetName}" is not defined in ${targetSection}.`,
            )
        );
}

function collectReferences(snapshot: UnversionedSnapshot): Reference[] {
    const keys = Object.entries(snapshot.keys).map(([name, key]) => ({
        section: "keys" as const,
        name,
        field: "team",
        origin: key.origin,
        target: lookUp(snapshot.teams, key.team),
        targetSection: "teams" as const,
        targetName: key.team,
    }));
    const services = Object.entries(snapshot.services).map(([name, service]) => ({
        section: "services" as const,
        name,
        field: "queue",
        origin: service.origin,
        target: lookUp(snapshot.queues, service.queue),
        targetSection: "queues" as const,
        targetName: service.queue,
    }));
    return [...keys, ...services];
}

function lookUp<Entry>(entries: Readonly<Record<string, Entry>>, name: string): Option<Entry> {
    const entry = Object.hasOwn(entries, name) ? entries[name] : undefined;
    return entry === undefined ? None : Some(entry);
}
