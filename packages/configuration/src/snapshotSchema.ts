/**
 * Schemas of configurations and changes as stored in rows of the platform's table and in objects and as sent between
 * peers. Unknown fields are dropped, so that a process of the previous release can follow a newer one.
 */
import { type ConfigurationSnapshot, FailureDomainState, LimitEnforcement, WorkClass } from "@tanagerlink/model";
import * as z from "zod";
import { entryRecord } from "./entryRecord.ts";

const text = z.string().min(1).max(256);

/** @internal Schemas of the entries, by the name of the section in the files. */
export const entrySchemas = {
    teams: z.object({
        name: text,
        share: z.number().positive(),
        upperLimit: z.int().min(0),
        enforce: z.enum(LimitEnforcement).exactOptional(),
        origin: z.string(),
    }),
    keys: z.object({
        id: text,
        team: text,
        salt: z.base64(),
        hash: z.base64(),
        revoked: z.boolean(),
        origin: z.string(),
    }),
    queues: z.object({ name: text, workClass: z.enum(WorkClass), open: z.boolean(), origin: z.string() }),
    domains: z.object({
        name: text,
        region: z.string(),
        state: z.enum(FailureDomainState),
        shards: z.int().min(1),
        origin: z.string(),
    }),
    services: z.object({ name: text, queue: text, deadlineMilliseconds: z.number().positive(), origin: z.string() }),
};

/** @internal */
export const policySchema = z.object({
    urgentReserve: z.number().min(0).max(0.5),
    agingSeconds: z.number().positive(),
    workerFailureLimit: z.int().min(1),
    jobFailureLimit: z.int().min(1),
});

type NamedEntry = { name: string; } | { id: string; };

function sectionSchema<Schema extends z.ZodType<NamedEntry>>(entry: Schema) {
    return z.record(z.string(), entry)
        .refine(
            entries => Object.entries(entries).every(([name, value]) => name === nameOf(value)),
            "the name of an entry differs from its key",
        )
        .transform(entries => entryRecord(Object.entries(entries)));
}

function nameOf(entry: NamedEntry): string {
    return "name" in entry ? entry.name : entry.id;
}

/** A configuration with its version. */
export const snapshotSchema: z.ZodType<ConfigurationSnapshot> = z.object({
    version: z.int().min(1),
    teams: sectionSchema(entrySchemas.teams),
    keys: sectionSchema(entrySchemas.keys),
    queues: sectionSchema(entrySchemas.queues),
    failureDomains: sectionSchema(entrySchemas.domains),
    services: sectionSchema(entrySchemas.services),
    policy: policySchema,
});

function changeSchema<Section extends keyof typeof entrySchemas>(section: Section) {
    return z.object({
        section: z.literal(section),
        name: text,
        /** New state of the entry; absent if the entry is removed. */
        entry: entrySchemas[section].exactOptional(),
    }).refine(
        ({ name, entry }) => entry === undefined || name === nameOf(entry as NamedEntry),
        "the name of the entry differs from that of the change",
    );
}

/** Change of one entry. */
export const configurationChangeSchema = z.discriminatedUnion("section", [
    changeSchema("teams"),
    changeSchema("keys"),
    changeSchema("queues"),
    changeSchema("domains"),
    changeSchema("services"),
    z.object({ section: z.literal("settings"), name: z.literal("policy"), entry: policySchema }),
]);
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** All changes between the previous version and `version`. */
export const configurationDifferenceSchema = z.object({
    version: z.int().min(1),
    /** Operator who applied the version, and the wall-clock time in milliseconds. */
    operator: z.string(),
    at: z.number(),
    changes: z.array(configurationChangeSchema),
});
export type ConfigurationDifference = z.infer<typeof configurationDifferenceSchema>;
