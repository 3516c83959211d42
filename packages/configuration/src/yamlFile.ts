/**
 * Parses a YAML file into entries with their source lines. Anchors and aliases are rejected, since an aliased value
 * could not be traced to a single line.
 */
import { describeUnknown } from "@tanagerlink/errors";
import { isMap, isScalar, LineCounter, type Node, parseDocument, type YAMLMap } from "yaml";
import type { ConfigurationFault } from "./configurationStore.ts";
import {
    emptySections,
    faultAt,
    type MutableSections,
    type SectionName,
    sectionNames,
    SETTINGS_ENTRY,
    type SourceEntry,
    type SourceField,
    type SourceLocation,
    type SourceSections,
} from "./sourceEntries.ts";
import { findExcessiveDepth } from "./yamlDepth.ts";

/** @internal Content of a file and all syntactic and structural faults in it. */
export interface ParsedFile {
    readonly sections: SourceSections;
    readonly faults: readonly ConfigurationFault[];
}

/** @internal Parses the text of one configuration file. Never throws. */
export function parseYamlFile(file: string, text: string): ParsedFile {
    const fault = (line: number, reason: string): ParsedFile => ({
        sections: emptySections(),
        faults: [{ file, line, reason }],
    });
    if (!text.endsWith("\n")) {
        // A file truncated within a line may still be valid YAML, for example with 40 instead of 400.
        return fault(lineAt(text, text.length), "The file does not end with a line break, so it may be incomplete.");
    }
    try {
        const excessiveDepthOffset = findExcessiveDepth(text);
        if (excessiveDepthOffset !== undefined) {
            return fault(lineAt(text, excessiveDepthOffset), "The file is nested too deeply.");
        }
        return new YamlFileReader(file, text).parse();
    }
    catch (failure) {
        return fault(1, `The file cannot be read as YAML: ${describeUnknown(failure)}.`);
    }
}

class YamlFileReader {
    private readonly file: string;
    private readonly text: string;
    private readonly lines = new LineCounter();
    private readonly faults: ConfigurationFault[] = [];
    private readonly sections: MutableSections = emptySections();

    constructor(file: string, text: string) {
        this.file = file;
        this.text = text;
    }

    parse(): ParsedFile {
        // Pretty errors quote the source text, so messages could expose a secret.
        const document = parseDocument(this.text, { lineCounter: this.lines, prettyErrors: false, uniqueKeys: true });
        for (const problem of [...document.errors, ...document.warnings]) {
            this.faults.push(faultAt(this.locate(problem.pos[0]), `The file is not valid YAML: ${problem.message}.`));
        }
        if (document.errors.length === 0 && !isEmpty(document.contents)) {
            this.readSections(document.contents);
        }
        return { sections: this.sections, faults: this.faults };
    }

    private readSections(contents: unknown): void {
        for (const [section, location, value] of this.readPairs(contents, this.locate(0), "The file")) {
            if (!isSection(section)) {
                this.reportFault(
                    location,
                    `Unknown section "${section}"; the sections are ${sectionNames.join(", ")}.`,
                );
            }
            else if (section === SETTINGS_ENTRY) {
                this.sections.settings.set(SETTINGS_ENTRY, this.readEntry(SETTINGS_ENTRY, location, value, section));
            }
            else if (!isEmpty(value)) {
                for (const [name, entryLocation, content] of this.readPairs(value, location, `Section ${section}`)) {
                    this.sections[section].set(
                        name,
                        this.readEntry(name, entryLocation, content, `${section}/${name}`),
                    );
                }
            }
        }
    }

    private readEntry(name: string, location: SourceLocation, content: unknown, label: string): SourceEntry {
        const fields = new Map<string, SourceField>();
        for (const [field, fieldLocation, value] of isEmpty(content) ? [] : this.readPairs(content, location, label)) {
            fields.set(field, this.readField(fieldLocation, value, `${label}: ${field}`));
        }
        const removal = fields.get("delete");
        if (removal === undefined) {
            return { ...location, name, removed: false, fields };
        }
        if (removal.value !== true || fields.size > 1) {
            this.reportFault(removal, `${label}: delete must be true and must be the only field.`);
        }
        return { ...location, name, removed: true, fields: new Map() };
    }

    private readField(location: SourceLocation, value: unknown, label: string): SourceField {
        if (isScalar(value)) {
            return { ...location, value: value.value, removed: false };
        }
        if (isMap(value) && value.items.length === 1 && value.get("delete") === true) {
            return { ...location, value: undefined, removed: true };
        }
        if (!isEmpty(value)) {
            this.reportFault(location, `${label} must be a single value.`);
        }
        return { ...location, value: undefined, removed: false };
    }

    /** Returns keys, locations and values of a mapping; any other node is reported as a fault and yields no pairs. */
    private readPairs(node: unknown, location: SourceLocation, label: string): [string, SourceLocation, unknown][] {
        if (!isMap(node)) {
            this.reportFault(location, `${label} must be a mapping.`);
            return [];
        }
        return (node as YAMLMap<unknown, unknown>).items.flatMap(({ key, value }) => {
            const keyLocation = this.locateNode(key) ?? location;
            if (isScalar(key) && typeof key.value === "string") {
                return [[key.value, keyLocation, value]];
            }
            this.reportFault(keyLocation, `${label} has a key that is not text; quote it.`);
            return [];
        });
    }

    private locateNode(node: unknown): SourceLocation | undefined {
        const start = (node as Node | undefined)?.range?.[0];
        return start === undefined ? undefined : this.locate(start);
    }

    private locate(offset: number): SourceLocation {
        return { file: this.file, line: Math.max(1, this.lines.linePos(offset).line) };
    }

    private reportFault(location: SourceLocation, reason: string): void {
        this.faults.push(faultAt(location, reason));
    }
}

function lineAt(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}

function isSection(name: string): name is SectionName {
    return (sectionNames as readonly string[]).includes(name);
}

function isEmpty(node: unknown): boolean {
    return node === undefined || typeof node === "object" && !node ||
        (isScalar(node) && !node.value && node.source === "");
}
