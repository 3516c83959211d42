/**
 * Writes configurations as versions. The head row is written by compare-and-set together with the changes of the
 * version, so of two racing operators exactly one wins and the other learns who did.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import { type ObjectStore, SettledTable, type TableService, type TableTransaction } from "@tanagerlink/platform";
import type { Timers } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { ConfigurationHistory, type HeadRow } from "./configurationHistory.ts";
import type { AppliedConfiguration, ConfigurationWriter } from "./configurationStore.ts";
import { applyDifferences, checkSnapshot, differenceBetween, emptyConfiguration, nameOfChange } from "./difference.ts";
import { pruneChanges } from "./pruneChanges.ts";
import type { UnversionedSnapshot } from "./referenceCheck.ts";
import type { ConfigurationDifference } from "./snapshotSchema.ts";
import {
    changeKey,
    CONFIGURATION_HEAD_KEY,
    type ConfigurationHead,
    FULL_COPY_INTERVAL,
    fullCopyName,
} from "./tableRows.ts";
import { conflictWith } from "./versionConflict.ts";

/** What a writer needs. */
export interface ConfigurationWriterParts {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly timers: Timers;
}

/** The newest version when `apply` begins. */
interface Current {
    readonly row: HeadRow | undefined;
    readonly snapshot: ConfigurationSnapshot | undefined;
}

/**
 * `ConfigurationWriter` on the platform's table. Errors beyond those of the interface: `invalid_configuration`, also for
 * a changed number of shards, and `store_outcome_unknown`, after which the same call may be repeated: it succeeds when
 * the first one took effect.
 */
export class TableConfigurationWriter implements ConfigurationWriter {
    private readonly table: TableService;
    private readonly objects: ObjectStore;
    private readonly timers: Timers;
    private readonly history: ConfigurationHistory;

    constructor(parts: ConfigurationWriterParts) {
        this.table = new SettledTable(parts.table, parts.timers);
        this.objects = parts.objects;
        this.timers = parts.timers;
        this.history = new ConfigurationHistory(parts.table, parts.objects);
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
        const changes = differenceBetween(newest ?? emptyConfiguration, checked.value);
        if ((newest?.version ?? 0) !== expectedVersion) {
            return this.repeatedOrConflict(row, expectedVersion, operator, changes.length === 0);
        }
        if (changes.length === 0) {
            return ok({ version: expectedVersion, changed: [] });
        }
        const shards = checkShards(row?.head.shards ?? {}, checked.value);
        if (shards.isErr()) {
            return err(shards.error);
        }
        const difference = { version: expectedVersion + 1, operator, at: this.timers.wallClock(), changes };
        return this.write(current.value, difference, shards.value);
    }

    private async readCurrent(): Promise<Result<Current, ServiceError>> {
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

    private async write(
        current: Current,
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
        const answer = await this.table.transact(transaction);
        if (answer.isErr()) {
            return err(answer.error);
        }
        if (!answer.value.committed) {
            const row = await this.history.readHead();
            return row.isErr() ? err(row.error) : err(await conflictWith(this.history, row.value?.head, version - 1));
        }
        if (fullCopy?.version === version && current.row?.head.fullCopy !== undefined) {
            await pruneChanges(this.table, current.row.head.fullCopy.version);
        }
        return ok({ version, changed: changes.map(nameOfChange) });
    }

    /**
     * The full copy that the next head names. When the object store cannot take a new one, the former stays, so that an
     * urgent change is not held up, and the next version tries again.
     */
    private async writeFullCopy(
        current: Current,
        difference: ConfigurationDifference,
        unique: string,
    ): Promise<ConfigurationHead["fullCopy"]> {
        const former = current.row?.head.fullCopy;
        if (difference.version - (former?.version ?? 0) < FULL_COPY_INTERVAL) {
            return former;
        }
        const object = fullCopyName(difference.version, unique);
        const content = JSON.stringify(applyDifferences(current.snapshot, [difference]));
        const stored = await this.objects.put(object, Buffer.from(content));
        return stored.isOk() ? { version: difference.version, object } : former;
    }

    /** The caller's own version, if it is the newest, is the answer to a repeated call. */
    private async repeatedOrConflict(
        row: HeadRow | undefined,
        expectedVersion: number,
        operator: string,
        same: boolean,
    ): Promise<Result<AppliedConfiguration, ServiceError>> {
        const head = row?.head;
        if (same && head?.operator === operator && head.version === expectedVersion + 1) {
            const changes = await this.history.readChanges(expectedVersion, head.version);
            return changes.map(([change]) => ({
                version: head.version,
                changed: change?.changes.map(nameOfChange) ?? [],
            }));
        }
        return err(await conflictWith(this.history, head, expectedVersion));
    }
}

/** Shards by failure domain with those of the new version added, unless one differs. */
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
