/** The row `grant/<team>`. In every version of it the units of all shards and the free units add up to the limit. */
import type { ShardId } from "@tanagerlink/model";
import * as z from "zod";

const unitsByShard = z.record(z.string(), z.int().min(0));

const grantRowSchema = z.object({
    limit: z.int().min(0),
    /** Configuration version that the limit comes from. */
    limitVersion: z.int().min(0),
    /** Units that no shard holds. Negative after the limit was lowered below what is granted. */
    free: z.int(),
    grants: unitsByShard,
    /** Units that shards wait for. */
    wants: unitsByShard,
    /**
     * Units that each shard has to give back while the row is in debt. Recorded, because a division that each owner
     * made anew after every payment would put the parts that other shards have not paid yet on those that have.
     */
    dues: unitsByShard.exactOptional(),
});

export type GrantRowValue = z.infer<typeof grantRowSchema>;

/** Upper limit of a team in one version of the configuration. */
export interface TeamLimit {
    readonly limit: number;
    readonly version: number;
    /** Version with which the limit changed last, as far as the process has seen it. */
    readonly changedAt: number;
}

export const grantPrefix = "grant/";

/** Key of a team's row. */
export function grantKey(team: string): string {
    return `${grantPrefix}${team}`;
}

/** Value of a row; `undefined` when it isn't one or its sum is wrong, so that no unit is used on account of it. */
export function parseGrantRow(value: unknown): GrantRowValue | undefined {
    const row = grantRowSchema.safeParse(value).data;
    return row !== undefined && sumOf(row.grants) + row.free === row.limit ? row : undefined;
}

/** Row of a team before any shard holds a unit. */
export function newGrantRow(limit: TeamLimit): GrantRowValue {
    return { limit: limit.limit, limitVersion: limit.version, free: limit.limit, grants: {}, wants: {} };
}

/**
 * The row under the newer of its own limit and the given one. The row stays the same when the limit is what it holds and
 * was not changed since, so that rows are not written for each version of the configuration.
 */
export function withLimit(row: GrantRowValue, limit: TeamLimit | undefined): GrantRowValue {
    if (limit === undefined || limit.version <= row.limitVersion) {
        return row;
    }
    if (limit.limit === row.limit && limit.changedAt <= row.limitVersion) {
        return row;
    }
    const free = row.free + limit.limit - row.limit;
    return withDues({ ...row, limit: limit.limit, limitVersion: limit.version, free });
}

/** The row after `units` went from the free ones to the shard; a negative number gives back. */
export function withTransfer(row: GrantRowValue, shard: ShardId, units: number): GrantRowValue {
    if (units === 0) {
        return row;
    }
    const grants = withEntry(row.grants, shard, unitsOf(row, shard) + units);
    const due = row.dues?.[shard] ?? 0;
    const dues = due === 0 ? row.dues : withEntry(row.dues ?? {}, shard, Math.max(0, due + Math.min(0, units)));
    const changed = { ...row, free: row.free - units, grants };
    return withDues(dues === undefined ? changed : { ...changed, dues });
}

/** Units of the debt that the shard has to give back. */
export function dueOf(row: GrantRowValue, shard: ShardId): number {
    return row.free < 0 ? row.dues?.[shard] ?? 0 : 0;
}

/** The row with dues that add up to its debt: in proportion to the dues before while these suffice, or to the grants. */
function withDues(row: GrantRowValue): GrantRowValue {
    const { dues, ...rest } = row;
    const debt = Math.max(0, -row.free);
    if (debt === 0) {
        return rest;
    }
    return { ...rest, dues: divide(debt, dues !== undefined && sumOf(dues) >= debt ? dues : row.grants) };
}

/** Divides whole units in proportion to the weights, by largest remainder. No part exceeds its weight. */
function divide(units: number, weights: Readonly<Record<ShardId, number>>): Record<ShardId, number> {
    const total = sumOf(weights);
    const parts = Object.entries(weights).map(([shard, weight]) => ({
        shard,
        whole: Math.floor(units * weight / total),
        rest: units * weight % total,
    }));
    let missing = units - parts.reduce((sum, part) => sum + part.whole, 0);
    parts.sort((left, right) => right.rest - left.rest || (left.shard < right.shard ? -1 : 1));
    const divided = parts.map(({ shard, whole }) => [shard, whole + Number(missing-- > 0)] as const);
    return Object.fromEntries(divided.filter(([, part]) => part > 0));
}

/** The row with the shard waiting for `units`. */
export function withWant(row: GrantRowValue, shard: ShardId, units: number): GrantRowValue {
    return (row.wants[shard] ?? 0) === units ? row : { ...row, wants: withEntry(row.wants, shard, units) };
}

/** Units that the shard holds. */
export function unitsOf(row: GrantRowValue, shard: ShardId): number {
    return row.grants[shard] ?? 0;
}

/** Units that other shards wait for. */
export function wantsOfOthers(row: GrantRowValue, shard: ShardId): number {
    return sumOf(row.wants) - (row.wants[shard] ?? 0);
}

function withEntry(entries: Readonly<Record<string, number>>, shard: ShardId, units: number): Record<string, number> {
    const changed = { ...entries, [shard]: units };
    if (units === 0) {
        delete changed[shard];
    }
    return changed;
}

function sumOf(entries: Readonly<Record<string, number>>): number {
    return Object.values(entries).reduce((sum, units) => sum + units, 0);
}
