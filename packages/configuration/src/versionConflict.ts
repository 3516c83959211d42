/**
 * Describes to an operator who lost a race who won, when, and which entries the winner changed.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationHistory } from "./configurationHistory.ts";
import { nameOfChange } from "./difference.ts";
import type { ConfigurationHead } from "./tableRows.ts";

/** Changed entries that the message names; the rest is counted. */
const NAMED_ENTRIES = 20;

/** @internal The error for a call that expected `expectedVersion` to be the newest. */
export async function conflictWith(
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
    const changed = await changedSince(history, head, expectedVersion);
    const at = new Date(head.at).toISOString();
    return serviceError(
        ErrorKind.ConfigurationConflict,
        `Version ${head.version} was applied by ${head.operator} at ${at}, after version ${expectedVersion}. `
            + `Since then changed: ${changed}. Check these entries and apply again on version ${head.version}.`,
        { expectedVersion, version: head.version, operator: head.operator, at, changed },
    );
}

async function changedSince(
    history: ConfigurationHistory,
    head: ConfigurationHead,
    expectedVersion: number,
): Promise<string> {
    const differences = await history.readChanges(expectedVersion, head.version);
    if (differences.isErr()) {
        return "entries that cannot be read any more";
    }
    const names = [...new Set(differences.value.flatMap(difference => difference.changes.map(nameOfChange)))];
    const rest = names.length - NAMED_ENTRIES;
    return names.slice(0, NAMED_ENTRIES).join(", ") + (rest > 0 ? ` and ${rest} more` : "");
}
