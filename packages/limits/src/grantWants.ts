/**
 * The rows `grant-wants/<shard>`, which name the teams for whose units a shard waits. They tell other processes which
 * grant rows are worth reading, so that the rows of all teams need not be read in each period. Written by the owner of the
 * shard only, in the transactions that change its wants, and deleted when the shard has waited for nothing for some time.
 * A row that is lost or out of date delays a transfer until the next read of all grant rows and has no other effect.
 */
import type { ServiceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, TableRow, TableService, TransactionAnswer } from "@tanagerlink/platform";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

const wantsPrefix = "grant-wants/";
const PAGE_ROWS = 500;

/**
 * Time for which a row without teams is kept. Longer than a repetition of a transaction can be under way, since the
 * versions of a row begin anew after its deletion.
 */
const KEEP_EMPTY_MILLISECONDS = 60_000;

const wantsRowSchema = z.object({ teams: z.array(z.string()) });

/** @internal Key of a shard's row. */
export function wantsKey(shard: ShardId): string {
    return `${wantsPrefix}${shard}`;
}

/** @internal Teams that a row names; none for a row of another form. */
export function teamsOfRow(row: TableRow): readonly string[] {
    return wantsRowSchema.safeParse(row.value).data?.teams ?? [];
}

/** @internal Reads the rows of all shards. */
export async function readWants(table: TableService): Promise<Result<readonly TableRow[], ServiceError>> {
    const rows: TableRow[] = [];
    for (let after: string | undefined = wantsPrefix; after !== undefined;) {
        const page: Result<readonly TableRow[], ServiceError> = await table.readRange({
            prefix: wantsPrefix,
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

/** The row of one shard as its owner knows it. */
export class OwnWants {
    readonly key: string;
    /** 0 when there is no row. */
    private version = 0;
    private stored: readonly string[] = [];
    private emptySince: number | undefined;

    constructor(shard: ShardId) {
        this.key = wantsKey(shard);
    }

    /** Takes in the row as it is stored; `undefined` when there is none. */
    observe(row: TableRow | undefined): void {
        this.version = row?.version ?? 0;
        this.stored = row === undefined ? [] : teamsOfRow(row);
    }

    /** The write that makes the row name these teams, in order; `undefined` when there is nothing to write. */
    plan(teams: readonly string[], now: number): ConditionalWrite | undefined {
        this.emptySince = teams.length > 0 ? undefined : this.emptySince ?? now;
        const isSame = teams.length === this.stored.length
            && teams.every((team, index) => team === this.stored[index]);
        const isOver = this.version > 0 && this.emptySince !== undefined
            && now - this.emptySince >= KEEP_EMPTY_MILLISECONDS;
        if (isSame && !isOver) {
            return undefined;
        }
        return { key: this.key, expectedVersion: this.version, value: isOver ? undefined : { teams } };
    }

    /** Takes in the known outcome of a transaction with the planned write, or without one. */
    settle(write: ConditionalWrite | undefined, answer: TransactionAnswer): void {
        if (write === undefined) {
            return;
        }
        if (!answer.committed) {
            if (answer.conflicts.includes(this.key)) {
                this.observe(answer.rows.find(row => row.key === this.key));
            }
            return;
        }
        const isDeleted = write.value === undefined;
        this.version = isDeleted ? 0 : answer.versions[this.key] ?? write.expectedVersion + 1;
        this.stored = wantsRowSchema.safeParse(write.value).data?.teams ?? [];
    }
}
