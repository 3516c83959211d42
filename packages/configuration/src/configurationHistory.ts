/**
 * Reads configuration versions from the platform: the head, the changes since a known version, and the full copy if
 * changes are missing or unreadable. Only complete and valid versions are returned.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { ObjectStore, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import { applyAndCheckReferences, checkSnapshot } from "./difference.ts";
import { type ConfigurationDifference, configurationDifferenceSchema } from "./snapshotSchema.ts";
import { CHANGE_PREFIX, changeKey, CONFIGURATION_HEAD_KEY, type ConfigurationHead, headSchema } from "./tableRows.ts";

const MAXIMUM_CHANGES_PER_READ = 200;

/** @internal The head with the version of its row, for compare-and-swap. */
export interface HeadRow {
    readonly head: ConfigurationHead;
    readonly rowVersion: number;
}

/** @internal A version and, if known, the differences that lead to it from the base. */
export interface LoadedVersion {
    readonly snapshot: ConfigurationSnapshot;
    readonly differences: readonly ConfigurationDifference[];
}

type FullCopy = NonNullable<ConfigurationHead["fullCopy"]>;

/** @internal */
export class ConfigurationHistory {
    private readonly table: TableService;
    private readonly objects: ObjectStore;

    constructor(table: TableService, objects: ObjectStore) {
        this.table = table;
        this.objects = objects;
    }

    /** Reads the head; `undefined` if there is no version yet. */
    async readHead(): Promise<Result<HeadRow | undefined, ServiceError>> {
        const row = await this.table.read(CONFIGURATION_HEAD_KEY);
        return row.andThen(found => {
            if (found === undefined) {
                return ok(undefined);
            }
            const head = headSchema.safeParse(found.value);
            return head.success
                ? ok({ head: head.data, rowVersion: found.version })
                : err(unreadableConfigurationError(`row ${CONFIGURATION_HEAD_KEY} does not match its schema`));
        });
    }

    /**
     * Reads the version that `head` names, either from the changes since `base` or from the full copy; if one fails,
     * the other is used. Without a base, the full copy is tried first, since the oldest changes are pruned.
     */
    async readVersion(
        head: ConfigurationHead,
        base: ConfigurationSnapshot | undefined,
    ): Promise<Result<LoadedVersion, ServiceError>> {
        const byChanges = (): Promise<Result<LoadedVersion, ServiceError>> => this.readByChanges(head, base);
        const copy = head.fullCopy;
        if (copy === undefined || copy.version <= (base?.version ?? 0)) {
            return byChanges();
        }
        const byCopy = (): Promise<Result<LoadedVersion, ServiceError>> => this.readByFullCopy(head, copy);
        const [first, second] = base === undefined ? [byCopy, byChanges] : [byChanges, byCopy];
        const result = await first();
        return result.isOk() ? result : second();
    }

    /** Reads the changes of the versions from `after` (exclusive) to `last` (inclusive), without gaps. */
    async readChanges(after: number, last: number): Promise<Result<ConfigurationDifference[], ServiceError>> {
        const changes: ConfigurationDifference[] = [];
        while (after + changes.length < last) {
            const version = after + changes.length;
            const limit = Math.min(MAXIMUM_CHANGES_PER_READ, last - version);
            const rows = await this.table.readRange({ prefix: CHANGE_PREFIX, after: changeKey(version), limit });
            if (rows.isErr()) {
                return err(rows.error);
            }
            for (const row of rows.value) {
                const change = configurationDifferenceSchema.safeParse(row.value);
                if (!change.success || change.data.version !== after + changes.length + 1) {
                    return err(
                        unreadableConfigurationError(
                            `the changes of version ${after + changes.length + 1} are missing or unreadable`,
                        ),
                    );
                }
                changes.push(change.data);
            }
            if (rows.value.length === 0) {
                return err(unreadableConfigurationError(`the changes of version ${version + 1} are missing`));
            }
        }
        return ok(changes);
    }

    private async readByChanges(
        head: ConfigurationHead,
        base: ConfigurationSnapshot | undefined,
    ): Promise<Result<LoadedVersion, ServiceError>> {
        const changes = await this.readChanges(base?.version ?? 0, head.version);
        return changes.andThen(differences =>
            applyAndCheckReferences(base, differences).map(snapshot => ({ snapshot, differences }))
        );
    }

    private async readByFullCopy(
        head: ConfigurationHead,
        copy: FullCopy,
    ): Promise<Result<LoadedVersion, ServiceError>> {
        const snapshot = await this.readFullCopy(copy);
        if (snapshot.isErr()) {
            return err(snapshot.error);
        }
        // These differences are relative to the full copy, not to the caller's base, so they must not be passed on.
        return (await this.readByChanges(head, snapshot.value)).map(version => ({ ...version, differences: [] }));
    }

    private async readFullCopy(copy: FullCopy): Promise<Result<ConfigurationSnapshot, ServiceError>> {
        const content = await this.objects.get(copy.object);
        return content.andThen(bytes => {
            const snapshot = checkSnapshot(parseJson(bytes));
            return snapshot.isOk() && snapshot.value.version === copy.version
                ? snapshot
                : err(unreadableConfigurationError(`object ${copy.object} is missing or unreadable`));
        });
    }
}

function parseJson(bytes: Uint8Array | undefined): unknown {
    try {
        return bytes === undefined ? undefined : JSON.parse(Buffer.from(bytes).toString("utf8"));
    }
    catch {
        return undefined;
    }
}

function unreadableConfigurationError(reason: string): ServiceError {
    return serviceError(ErrorKind.StoreUnavailable, `The configuration cannot be read from the platform: ${reason}.`);
}
