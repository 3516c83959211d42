/**
 * Builds the configuration from the merged entries. Collects all validation faults, each with the line that caused it.
 */
import type { z } from "zod";
import type { ConfigurationFault } from "./configurationStore.ts";
import { entryRecord } from "./entryRecord.ts";
import {
    domainFieldsSchema,
    entryNameSchemas,
    keyFieldsSchema,
    queueFieldsSchema,
    serviceFieldsSchema,
    settingsFieldsSchema,
    teamFieldsSchema,
} from "./entrySchemas.ts";
import { checkReferences, type UnversionedSnapshot } from "./referenceCheck.ts";
import {
    faultAt,
    originOf,
    SETTINGS_ENTRY,
    type SourceEntry,
    type SourceLocation,
    type SourceSections,
} from "./sourceEntries.ts";

type NamedSection = keyof typeof entryNameSchemas;

/** @internal A snapshot that may be used only if there are no faults. */
export interface BuiltSnapshot {
    readonly snapshot: UnversionedSnapshot;
    readonly faults: readonly ConfigurationFault[];
}

/** Sections without which no work can be accepted. If one is empty, the folder was probably not written completely. */
const REQUIRED_SECTIONS = ["teams", "queues", "domains"] as const;

/** @internal */
export function buildSnapshot(sections: SourceSections): BuiltSnapshot {
    const builder = new SnapshotBuilder(sections);
    return { snapshot: builder.build(), faults: builder.faults };
}

class SnapshotBuilder {
    readonly faults: ConfigurationFault[] = [];
    private readonly sections: SourceSections;

    constructor(sections: SourceSections) {
        this.sections = sections;
    }

    build(): UnversionedSnapshot {
        const snapshot: UnversionedSnapshot = {
            ...this.teamsAndKeys(),
            ...this.queuesAndServices(),
            failureDomains: this.failureDomains(),
            policy: this.policy(),
        };
        for (const section of REQUIRED_SECTIONS) {
            if (this.sections[section].size === 0) {
                this.faults.push({
                    file: ".",
                    line: 1,
                    reason: `Section ${section} must have at least one entry.`,
                });
            }
        }
        this.faults.push(...checkReferences(snapshot, {
            locate: (section, name, field) => this.sections[section].get(name)?.fields.get(field),
            has: (section, name) => this.sections[section].has(name),
        }));
        return snapshot;
    }

    private teamsAndKeys(): Pick<UnversionedSnapshot, "teams" | "keys"> {
        return {
            teams: this.buildSection("teams", teamFieldsSchema, (fields, name, origin) => ({
                name,
                share: fields.share,
                upperLimit: fields["upper-limit"],
                enforce: fields.enforce,
                origin,
            })),
            keys: this.buildSection("keys", keyFieldsSchema, (fields, id, origin) => ({ id, ...fields, origin })),
        };
    }

    private queuesAndServices(): Pick<UnversionedSnapshot, "queues" | "services"> {
        return {
            queues: this.buildSection("queues", queueFieldsSchema, (fields, name, origin) => ({
                name,
                workClass: fields["work-class"],
                open: fields.open,
                origin,
            })),
            services: this.buildSection("services", serviceFieldsSchema, (fields, name, origin) => ({
                name,
                queue: fields.queue,
                deadlineMilliseconds: fields["deadline-milliseconds"],
                origin,
            })),
        };
    }

    private failureDomains(): UnversionedSnapshot["failureDomains"] {
        return this.buildSection(
            "domains",
            domainFieldsSchema,
            (fields, name, origin) => ({ name, ...fields, origin }),
        );
    }

    private policy(): UnversionedSnapshot["policy"] {
        const entry = this.sections.settings.get(SETTINGS_ENTRY) ?? {
            file: ".",
            line: 1,
            name: SETTINGS_ENTRY,
            removed: false,
            fields: new Map(),
        };
        const fields = this.parseFields(entry, "settings", settingsFieldsSchema) ?? settingsFieldsSchema.parse({});
        return {
            urgentReserve: fields["urgent-reserve"],
            agingSeconds: fields["aging-seconds"],
            workerFailureLimit: fields["worker-failure-limit"],
            jobFailureLimit: fields["job-failure-limit"],
        };
    }

    private buildSection<Schema extends z.ZodType, Entry>(
        section: NamedSection,
        schema: Schema,
        createEntry: (fields: z.infer<Schema>, name: string, origin: string) => Entry,
    ): Record<string, Entry> {
        const entries: [string, Entry][] = [];
        for (const [name, entry] of this.sections[section]) {
            const nameCheck = entryNameSchemas[section].safeParse(name);
            if (!nameCheck.success) {
                this.reportFault(entry, `${section}/${name}: the name ${nameCheck.error.issues[0]?.message}.`);
            }
            const fields = this.parseFields(entry, `${section}/${name}`, schema);
            if (nameCheck.success && fields !== undefined) {
                entries.push([name, createEntry(fields, name, originOf(entry))]);
            }
        }
        return entryRecord(entries);
    }

    private parseFields<Schema extends z.ZodType>(
        entry: SourceEntry,
        label: string,
        schema: Schema,
    ): z.infer<Schema> | undefined {
        const written = entryRecord([...entry.fields].map(([name, field]) => [name, field.value]));
        const parsed = schema.safeParse({ ...written });
        if (parsed.success) {
            return parsed.data;
        }
        for (const issue of parsed.error.issues) {
            if (issue.code === "unrecognized_keys") {
                for (const name of issue.keys) {
                    this.reportFault(entry.fields.get(name) ?? entry, `${label}: there is no field "${name}".`);
                }
            }
            else {
                const name = String(issue.path[0]);
                const field = entry.fields.get(name);
                this.reportFault(
                    field ?? entry,
                    `${label}: ${name}: ${field === undefined ? "is missing" : issue.message}.`,
                );
            }
        }
        return undefined;
    }

    private reportFault(location: SourceLocation, reason: string): void {
        this.faults.push(faultAt(location, reason));
    }
}
