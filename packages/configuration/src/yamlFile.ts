/**
 * Reads one YAML file into entries with their lines. Anchors and aliases are refused, since a value that is written in
 * another place than where it is used could not be traced to one line.
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
import { offsetOfExcessiveDepth } from "./yamlDepth.ts";

/** @internal What one file contains, and all faults found in its form. */
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
        // A file cut within a line can still be valid, with 40 in place of 400.
        return fault(lineAt(text, text.length), "The file does not end with a line break, so it may not be complete.");
    }
    try {
        const tooDeep = offsetOfExcessiveDepth(text);
        if (tooDeep !== undefined) {
            return fault(lineAt(text, tooDeep), "The file is nested too deeply.");
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
        // Pretty errors quote the text, which could put a secret into a message.
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
        for (const [section, location, value] of this.pairs(contents, this.locate(0), "The file")) {
            if (!isSection(section)) {
                this.fault(location, `Unknown section "${section}"; the sections are ${sectionNames.join(", ")}.`);
            }
            else if (section === SETTINGS_ENTRY) {
                this.sections.settings.set(SETTINGS_ENTRY, this.entry(SETTINGS_ENTRY, location, value, section));
            }
            else if (!isEmpty(value)) {
                for (const [name, place, content] of this.pairs(value, location, `Section ${section}`)) {
                    this.sections[section].set(name, this.entry(name, place, content, `${section}/${name}`));
                }
            }
        }
    }

    private entry(name: string, location: SourceLocation, content: unknown, label: string): SourceEntry {
        const fields = new Map<string, SourceField>();
        for (const [field, place, value] of isEmpty(content) ? [] : this.pairs(content, location, label)) {
            fields.set(field, this.field(place, value, `${label}: ${field}`));
        }
        const removal = fields.get("delete");
        if (removal === undefined) {
            return { ...location, name, removed: false, fields };
        }
        if (removal.value !== true || fields.size > 1) {
            this.fault(removal, `${label}: delete must be true and must be the only field.`);
        }
        return { ...location, name, removed: true, fields: new Map() };
    }

    private field(location: SourceLocation, value: unknown, label: string): SourceField {
        if (isScalar(value)) {
            return { ...location, value: value.value, removed: false };
        }
        if (isMap(value) && value.items.length === 1 && value.get("delete") === true) {
            return { ...location, value: undefined, removed: true };
        }
        if (!isEmpty(value)) {
            this.fault(location, `${label} must be a single value.`);
        }
        return { ...location, value: undefined, removed: false };
    }

    /** Keys, locations and values of a mapping; anything else is a fault and gives nothing. */
    private pairs(node: unknown, location: SourceLocation, label: string): [string, SourceLocation, unknown][] {
        if (!isMap(node)) {
            this.fault(location, `${label} must be a mapping.`);
            return [];
        }
        return (node as YAMLMap<unknown, unknown>).items.flatMap(({ key, value }) => {
            const place = this.locateNode(key) ?? location;
            if (isScalar(key) && typeof key.value === "string") {
                return [[key.value, place, value]];
            }
            this.fault(place, `${label} has a key that is not text; quote it.`);
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

    private fault(location: SourceLocation, reason: string): void {
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
