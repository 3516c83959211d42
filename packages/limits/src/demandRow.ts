/**
 * The rows `grant-wants/<shard>`, which list the teams for whose units a shard waits. They let other processes read
 * only the grant rows of these teams in each poll, instead of those of all teams. Only the owner of the shard writes
 * its row, in the transactions that change its unmet demand, and deletes it when the shard has had none for some time.
 * A lost or outdated row delays a transfer until the next read of all grant rows and has no other effect.
 */
import type { ServiceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, TableRow, TableService, TransactionOutcome } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

const demandPrefix = "grant-wants/";
const PAGE_ROWS = 500;

/**
 * Time after which a row without teams is deleted. Longer than a retried transaction can be in flight, since the
 * versions of a row restart after its deletion.
 */
const EMPTY_ROW_RETENTION_MILLISECONDS = 60_000;

const demandRowSchema = z.object({ teams: z.array(z.string()) });

/** @internal */
export function demandRowKey(shard: ShardId): string {
    return `${demandPrefix}${shard}`;
}

/** @internal Teams that a row lists; none for a malformed row. */
export function teamsOfDemandRow(row: TableRow): readonly string[] {
    return demandRowSchema.safeParse(row.value).data?.teams ?? [];
}

/** @internal Reads the demand rows of all shards. */
export async function readDemandRows(table: TableService): Promise<Result<readonly TableRow[], ServiceError>> {
    const rows: TableRow[] = [];
    for (let after: string | undefined = demandPrefix; after !== undefined;) {
        const page: Result<readonly TableRow[], ServiceError> = await table.readRange({
            prefix: demandPrefix,
            after,
            limit: PAGE_ROWS,
        });
        if (page.isErr()) {
            return err(page.error);
        }
        rows.push(...page.value);
        after = page.value.length < PAGE_ROWS ? undefined : page.value.at(-1)?.key;
    }
    return ok(rows);
}

/** The demand row of one shard, as known to the owner of the shard. */
export class DemandRow {
    readonly key: string;
    /** Version of the row; 0 if the row does not exist. */
    private version = 0;
    private storedTeams: readonly string[] = [];
    private emptySince: number | undefined;

    constructor(shard: ShardId) {
        this.key = demandRowKey(shard);
    }

    /** Applies the row as stored; `undefined` if it does not exist. */
    observe(row: TableRow | undefined): void {
        this.version = row?.version ?? 0;
        this.storedTeams = row === undefined ? [] : teamsOfDemandRow(row);
    }

    /** Returns the write after which the row lists these teams in this order, or `undefined` if it is up to date. */
    planWrite(teams: readonly string[], now: number): ConditionalWrite | undefined {
        this.emptySince = teams.length > 0 ? undefined : this.emptySince ?? now;
        const isSame = teams.length === this.storedTeams.length
            && teams.every((team, index) => team === this.storedTeams[index]);
        const isExpired = this.version > 0 && this.emptySince !== undefined
            && now - this.emptySince >= EMPTY_ROW_RETENTION_MILLISECONDS;
        if (isSame && !isExpired) {
            return undefined;
        }
        return { key: this.key, expectedVersion: this.version, value: isExpired ? undefined : { teams } };
    }

    /** Applies the known outcome of a transaction; `write` is its planned write of this row, if it had one. */
    applyOutcome(write: ConditionalWrite | undefined, outcome: TransactionOutcome): void {
        if (write === undefined) {
            return;
        }
        if (!outcome.committed) {
            if (outcome.conflicts.includes(this.key)) {
                this.observe(outcome.rows.find(row => row.key === this.key));
            }
            return;
        }
        const isDeleted = write.value === undefined;
        this.version = isDeleted ? 0 : outcome.versions[this.key] ?? write.expectedVersion + 1;
        this.storedTeams = demandRowSchema.safeParse(write.value).data?.teams ?? [];
    }
}
