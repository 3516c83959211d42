/**
 * Writes configurations as versions. The head row is written by compare-and-swap in one transaction with the changes of
 * the version, so that of two concurrent operators exactly one succeeds and the other receives a conflict that names
 * the first.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import {
    type ObjectStore,
    OutcomeResolvingTable,
    type TableService,
    type TableTransaction,
} from "@tanagerlink/platform";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { ConfigurationHistory, type HeadRow } from "./configurationHistory.ts";
import type { AppliedConfiguration, ConfigurationWriter } from "./configurationStore.ts";
import { applyDifferences, checkSnapshot, computeChanges, emptyConfiguration, nameOfChange } from "./difference.ts";
import { pruneChanges } from "./pruneChanges.ts";
import type { UnversionedSnapshot } from "./referenceCheck.ts";
import type { ConfigurationDifference } from "./snapshotSchema.ts";
import {
    changeKey,
    CONFIGURATION_HEAD_KEY,
    type ConfigurationHead,
    fullCopyName,
    VERSIONS_PER_FULL_COPY,
} from "./tableRows.ts";
import { createConflictError } from "./versionConflict.ts";

export interface ConfigurationWriterDependencies {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly timers: Timers;
}

/** The newest version at the start of `apply`. */
interface CurrentVersion {
    readonly row: HeadRow | undefined;
    readonly snapshot: ConfigurationSnapshot | undefined;
}

/**
 * `ConfigurationWriter` based on the platform's table. Additional errors: `invalid_configuration`, also for a changed
 * number of shards, and `store_outcome_unknown`, after which the same call may be repeated: it succeeds if the first
 * call took effect.
 */
export class TableConfigurationWriter implements ConfigurationWriter {
    private readonly table: TableService;
    private readonly objects: ObjectStore;
    private readonly timers: Timers;
    private readonly history: ConfigurationHistory;

    constructor(dependencies: ConfigurationWriterDependencies) {
        this.table = new OutcomeResolvingTable(dependencies.table, dependencies.timers);
        this.objects = dependencies.objects;
        this.timers = dependencies.timers;
        this.history = new ConfigurationHistory(dependencies.table, dependencies.objects);
    }

    async apply(
        snapshot: UnversionedSnapshot,
        expectedVersion: number,
        operator: string,
    ): Promise<Result<AppliedConfiguration, ServiceError>> {
        const checked = checkSnapshot({ ...snapshot, version: expectedVersion + 1 });
        if (checked.isErr()) {
            return err(checked.error);
        }
        const current = await this.readCurrent();
        if (current.isErr()) {
            return err(current.error);
        }
        const { row, snapshot: newest } = current.value;
        const changes = computeChanges(newest ?? emptyConfiguration, checked.value);
        if ((newest?.version ?? 0) !== expectedVersion) {
            return this.resolveVersionMismatch(row, expectedVersion, operator, changes.length === 0);
        }
        if (changes.length === 0) {
            return ok({ version: expectedVersion, changed: [] });
        }
        const shards = checkShards(row?.head.shards ?? {}, checked.value);
        if (shards.isErr()) {
            return err(shards.error);
        }
        const difference = { version: expectedVersion + 1, operator, at: this.timers.wallClock(), changes };
        return this.writeVersion(current.value, difference, shards.value);
    }

    private async readCurrent(): Promise<Result<CurrentVersion, ServiceError>> {
        const row = await this.history.readHead();
        if (row.isErr()) {
            return err(row.error);
        }
        if (row.value === undefined) {
            return ok({ row: undefined, snapshot: undefined });
        }
        const version = await this.history.readVersion(row.value.head, undefined);
        return version.map(({ snapshot }) => ({ row: row.value, snapshot }));
    }

    private async writeVersion(
        current: CurrentVersion,
        difference: ConfigurationDifference,
        shards: Record<string, number>,
    ): Promise<Result<AppliedConfiguration, ServiceError>> {
        const id = randomUUID();
        const { version, operator, at, changes } = difference;
        const fullCopy = await this.writeFullCopy(current, difference, id);
        const head: ConfigurationHead = { version, operator, at, shards, ...(fullCopy && { fullCopy }) };
        const transaction: TableTransaction = {
            id,
            conditions: [],
            writes: [
                { key: CONFIGURATION_HEAD_KEY, expectedVersion: current.row?.rowVersion ?? 0, value: head },
                { key: changeKey(version), expectedVersion: 0, value: difference },
            ],
        };
        const outcome = await this.table.transact(transaction);
        if (outcome.isErr()) {
            return err(outcome.error);
        }
        if (!outcome.value.committed) {
            const row = await this.history.readHead();
            return row.isErr()
                ? err(row.error)
                : err(await createConflictError(this.history, row.value?.head, version - 1));
        }
        if (fullCopy?.version === version && current.row?.head.fullCopy !== undefined) {
            await pruneChanges(this.table, current.row.head.fullCopy.version);
        }
        return ok({ version, changed: changes.map(nameOfChange) });
    }

    /**
     * Writes a full copy if one is due and returns the one that the next head refers to. If the object store fails, the
     * previous copy remains, so that an urgent change is not delayed; the next version then retries.
     */
    private async writeFullCopy(
        current: CurrentVersion,
        difference: ConfigurationDifference,
        transactionId: string,
    ): Promise<ConfigurationHead["fullCopy"]> {
        const previous = current.row?.head.fullCopy;
        if (difference.version - (previous?.version ?? 0) < VERSIONS_PER_FULL_COPY) {
            return previous;
        }
        const object = fullCopyName(difference.version, transactionId);
        const content = JSON.stringify(applyDifferences(current.snapshot, [difference]));
        const stored = await this.objects.put(object, Buffer.from(content));
        return stored.isOk() ? { version: difference.version, object } : previous;
    }

    /** Returns the newest version if the caller itself applied it with an earlier attempt, and a conflict otherwise. */
    private async resolveVersionMismatch(
        row: HeadRow | undefined,
        expectedVersion: number,
        operator: string,
        isUnchanged: boolean,
    ): Promise<Result<AppliedConfiguration, ServiceError>> {
        const head = row?.head;
        if (isUnchanged && head?.operator === operator && head.version === expectedVersion + 1) {
            const changes = await this.history.readChanges(expectedVersion, head.version);
            return changes.map(([change]) => ({
                version: head.version,
                changed: change?.changes.map(nameOfChange) ?? [],
            }));
        }
        return err(await createConflictError(this.history, head, expectedVersion));
    }
}

/** Adds the failure domains of the new version to the known numbers of shards; an error if a known number differs. */
function checkShards(
    known: Readonly<Record<string, number>>,
    next: UnversionedSnapshot,
): Result<Record<string, number>, ServiceError> {
    for (const { name, shards, origin } of Object.values(next.failureDomains)) {
        const before = Object.hasOwn(known, name) ? known[name] : undefined;
        if (before !== undefined && before !== shards) {
            return err(serviceError(
                ErrorKind.InvalidConfiguration,
                `${origin}: domains/${name} has ${before} shards, which cannot change to ${shards}; `
                    + "define a failure domain with another name instead.",
                { failureDomain: name, before, after: shards },
            ));
        }
    }
    const added = Object.values(next.failureDomains).map(({ name, shards }) => [name, shards] as const);
    return ok({ ...known, ...Object.fromEntries(added) });
}
