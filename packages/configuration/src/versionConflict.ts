/**
 * Creates the error for an operator whose version conflicts with a newer one: who applied that version, when, and which
 * entries have changed since.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationHistory } from "./configurationHistory.ts";
import { nameOfChange } from "./difference.ts";
import type { ConfigurationHead } from "./tableRows.ts";

/** Changed entries named in the message; further ones are only counted. */
const MAXIMUM_NAMED_ENTRIES = 20;

/** @internal Creates the error for a call whose `expectedVersion` is not the newest version. */
export async function createConflictError(
    history: ConfigurationHistory,
    head: ConfigurationHead | undefined,
    expectedVersion: number,
): Promise<ServiceError> {
    if (head === undefined || head.version <= expectedVersion) {
        const version = head?.version ?? 0;
        return serviceError(
            ErrorKind.ConfigurationConflict,
            `Version ${expectedVersion} was expected, but the newest version is ${version}; read it and apply again.`,
            { expectedVersion, version },
        );
    }
    const changed = await describeChangesSince(history, head, expectedVersion);
    const at = new Date(head.at).toISOString();
    return serviceError(
        ErrorKind.ConfigurationConflict,
        `Version ${head.version} was applied by ${head.operator} at ${at}, after version ${expectedVersion}. `
            + `Since then changed: ${changed}. Check these entries and apply again on version ${head.version}.`,
        { expectedVersion, version: head.version, operator: head.operator, at, changed },
    );
}

async function describeChangesSince(
    history: ConfigurationHistory,
    head: ConfigurationHead,
    expectedVersion: number,
): Promise<string> {
    const differences = await history.readChanges(expectedVersion, head.version);
    if (differences.isErr()) {
        return "entries that can no longer be read";
    }
    const names = [...new Set(differences.value.flatMap(difference => difference.changes.map(nameOfChange)))];
    const rest = names.length - MAXIMUM_NAMED_ENTRIES;
    return names.slice(0, MAXIMUM_NAMED_ENTRIES).join(", ") + (rest > 0 ? ` and ${rest} more` : "");
}
