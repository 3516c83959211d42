/**
 * Reads versions from the platform: the head, the changes since a known version, and the full copy when changes are
 * missing or unreadable. Nothing is returned unless it is complete and valid.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ConfigurationSnapshot } from "@tanagerlink/model";
import type { ObjectStore, TableService } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import { applyChecked, checkSnapshot } from "./difference.ts";
import { type ConfigurationDifference, configurationDifferenceSchema } from "./snapshotSchema.ts";
import { CHANGE_PREFIX, changeKey, CONFIGURATION_HEAD_KEY, type ConfigurationHead, headSchema } from "./tableRows.ts";

/** Change rows read in one call. */
const CHANGES_PER_READ = 200;

/** @internal The head with the version of its row, for compare-and-set. */
export interface HeadRow {
    readonly head: ConfigurationHead;
    readonly rowVersion: number;
}

/** @internal A version that was read, and the differences that lead to it where they are known. */
export interface ReadVersion {
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

    /** The head; `undefined` before the first version. */
    async readHead(): Promise<Result<HeadRow | undefined, ServiceError>> {
        const row = await this.table.read(CONFIGURATION_HEAD_KEY);
        return row.andThen(found => {
            if (found === undefined) {
                return ok(undefined);
            }
            const head = headSchema.safeParse(found.value);
            return head.success
                ? ok({ head: head.data, rowVersion: found.version })
                : err(unreadable(`row ${CONFIGURATION_HEAD_KEY} does not have the agreed form`));
        });
    }

    /**
     * Reads the version of `head` by the changes since `base` or by the full copy, whichever is read first without a
     * fault. Without a base the full copy comes first, since the oldest changes are pruned.
     */
    async readVersion(
        head: ConfigurationHead,
        base: ConfigurationSnapshot | undefined,
    ): Promise<Result<ReadVersion, ServiceError>> {
        const byChanges = (): Promise<Result<ReadVersion, ServiceError>> => this.readFrom(head, base);
        const copy = head.fullCopy;
        if (copy === undefined || copy.version <= (base?.version ?? 0)) {
            return byChanges();
        }
        const byCopy = (): Promise<Result<ReadVersion, ServiceError>> => this.readFromCopy(head, copy);
        const [first, second] = base === undefined ? [byCopy, byChanges] : [byChanges, byCopy];
        const result = await first();
        return result.isOk() ? result : second();
    }

    /** Changes after `after` up to `last`, without a gap. */
    async readChanges(after: number, last: number): Promise<Result<ConfigurationDifference[], ServiceError>> {
        const changes: ConfigurationDifference[] = [];
        while (after + changes.length < last) {
            const position = after + changes.length;
            const limit = Math.min(CHANGES_PER_READ, last - position);
            const rows = await this.table.readRange({ prefix: CHANGE_PREFIX, after: changeKey(position), limit });
            if (rows.isErr()) {
                return err(rows.error);
            }
            for (const row of rows.value) {
                const change = configurationDifferenceSchema.safeParse(row.value);
                if (!change.success || change.data.version !== after + changes.length + 1) {
                    return err(
                        unreadable(`the changes of version ${after + changes.length + 1} are missing or unreadable`),
                    );
                }
                changes.push(change.data);
            }
            if (rows.value.length === 0) {
                return err(unreadable(`the changes of version ${position + 1} are missing`));
            }
        }
        return ok(changes);
    }

    private async readFrom(
        head: ConfigurationHead,
        base: ConfigurationSnapshot | undefined,
    ): Promise<Result<ReadVersion, ServiceError>> {
        const changes = await this.readChanges(base?.version ?? 0, head.version);
        return changes.andThen(differences =>
            applyChecked(base, differences).map(snapshot => ({ snapshot, differences }))
        );
    }

    private async readFromCopy(head: ConfigurationHead, copy: FullCopy): Promise<Result<ReadVersion, ServiceError>> {
        const snapshot = await this.readFullCopy(copy);
        if (snapshot.isErr()) {
            return err(snapshot.error);
        }
        // Differences from the full copy do not lead from the caller's base, so they are of no use to others.
        return (await this.readFrom(head, snapshot.value)).map(version => ({ ...version, differences: [] }));
    }

    private async readFullCopy(copy: FullCopy): Promise<Result<ConfigurationSnapshot, ServiceError>> {
        const content = await this.objects.get(copy.object);
        return content.andThen(bytes => {
            const snapshot = checkSnapshot(parseJson(bytes));
            return snapshot.isOk() && snapshot.value.version === copy.version
                ? snapshot
                : err(unreadable(`object ${copy.object} is missing or unreadable`));
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

function unreadable(reason: string): ServiceError {
    return serviceError(ErrorKind.StoreUnavailable, `The configuration cannot be read from the platform: ${reason}.`);
}
