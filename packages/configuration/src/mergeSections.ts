/**
 * Merges the entries of several files in order. Fields of later files override those of earlier files; each field keeps
 * its source location.
 */
import type { ConfigurationFault } from "./configurationStore.ts";
import {
    emptySections,
    faultAt,
    sectionNames,
    type SourceEntry,
    type SourceField,
    type SourceSections,
} from "./sourceEntries.ts";

/** @internal */
export interface MergedSections {
    readonly sections: SourceSections;
    readonly faults: readonly ConfigurationFault[];
}

/** @internal Merges files, which must be sorted by name. */
export function mergeSections(files: readonly SourceSections[]): MergedSections {
    const sections = emptySections();
    const faults: ConfigurationFault[] = [];
    for (const file of files) {
        for (const section of sectionNames) {
            for (const entry of file[section].values()) {
                mergeEntry(section, sections[section], entry, faults);
            }
        }
    }
    return { sections, faults };
}

function mergeEntry(
    section: string,
    merged: Map<string, SourceEntry>,
    entry: SourceEntry,
    faults: ConfigurationFault[],
): void {
    const earlier = merged.get(entry.name);
    if (!entry.removed) {
        const fields = mergeFields(earlier?.fields ?? new Map(), entry, faults);
        // The origin of a merged entry is the last file that changed it.
        merged.set(entry.name, { ...entry, fields });
    }
    else if (earlier === undefined) {
        faults.push(faultAt(entry, `${section}/${entry.name} is deleted here, but no earlier file defines it.`));
    }
    else {
        merged.delete(entry.name);
    }
}

function mergeFields(
    earlier: ReadonlyMap<string, SourceField>,
    entry: SourceEntry,
    faults: ConfigurationFault[],
): ReadonlyMap<string, SourceField> {
    const fields = new Map(earlier);
    for (const [name, field] of entry.fields) {
        if (!field.removed) {
            fields.set(name, field);
        }
        else if (!fields.delete(name)) {
            faults.push(faultAt(field, `${entry.name}: ${name} is deleted here, but no earlier file sets it.`));
        }
    }
    return fields;
}
