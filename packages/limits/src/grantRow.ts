/**
 * The row `grant/<team>`, which divides a team's upper limit among the shards. In every version of the row, the grants
 * of all shards and the free units add up to the limit.
 */
import type { ShardId } from "@tanagerlink/model";
import * as z from "zod";

const unitsByShard = z.record(z.string(), z.int().min(0));

const grantRowSchema = z.object({
    limit: z.int().min(0),
    /** Version of the configuration from which the limit was taken. */
    limitVersion: z.int().min(0),
    /**
     * Units that no shard holds. Negative while the row is in debt: the limit was lowered below the sum of the grants.
     */
    free: z.int(),
    grants: unitsByShard,
    /** Unmet demand: units that each shard waits for. */
    wants: unitsByShard,
    /**
     * Units that each shard has to return while the row is in debt. The division is stored because recomputing it after
     * each return would charge shards that have returned their part with the parts that are still outstanding.
     */
    dues: unitsByShard.exactOptional(),
});

export type GrantRowValue = z.infer<typeof grantRowSchema>;

/** Upper limit of a team in one version of the configuration. */
export interface TeamLimit {
    readonly limit: number;
    readonly version: number;
    /** Version in which the limit last changed, as far as this process has seen. */
    readonly changedInVersion: number;
}

export const grantPrefix = "grant/";

export function grantKey(team: string): string {
    return `${grantPrefix}${team}`;
}

/** Returns `undefined` for a malformed row or a wrong sum, so that no unit of such a row is ever used. */
export function parseGrantRow(value: unknown): GrantRowValue | undefined {
    const row = grantRowSchema.safeParse(value).data;
    return row !== undefined && sumOf(row.grants) + row.free === row.limit ? row : undefined;
}

/** Row of a team before any shard holds a unit. */
export function newGrantRow(limit: TeamLimit): GrantRowValue {
    return { limit: limit.limit, limitVersion: limit.version, free: limit.limit, grants: {}, wants: {} };
}

/**
 * Applies the given limit if it is newer than that of the row. Returns the same row if it holds this limit already and
 * the limit has not changed since, so that rows are not rewritten for each version of the configuration.
 */
export function withLimit(row: GrantRowValue, limit: TeamLimit | undefined): GrantRowValue {
    if (limit === undefined || limit.version <= row.limitVersion) {
        return row;
    }
    if (limit.limit === row.limit && limit.changedInVersion <= row.limitVersion) {
        return row;
    }
    const free = row.free + limit.limit - row.limit;
    return withDividedDebt({ ...row, limit: limit.limit, limitVersion: limit.version, free });
}

/** Moves free units to the shard; a negative number returns units. */
export function withTransfer(row: GrantRowValue, shard: ShardId, units: number): GrantRowValue {
    if (units === 0) {
        return row;
    }
    const grants = withUnits(row.grants, shard, grantedUnits(row, shard) + units);
    const due = row.dues?.[shard] ?? 0;
    const dues = due === 0 ? row.dues : withUnits(row.dues ?? {}, shard, Math.max(0, due + Math.min(0, units)));
    const changed = { ...row, free: row.free - units, grants };
    return withDividedDebt(dues === undefined ? changed : { ...changed, dues });
}

/** The shard's part of the debt. */
export function unitsToReturn(row: GrantRowValue, shard: ShardId): number {
    return row.free < 0 ? row.dues?.[shard] ?? 0 : 0;
}

/**
 * Divides the debt of the row among the shards: in proportion to the previous dues if these cover the debt, otherwise
 * in proportion to the grants.
 */
function withDividedDebt(row: GrantRowValue): GrantRowValue {
    const { dues, ...rest } = row;
    const debt = Math.max(0, -row.free);
    if (debt === 0) {
        return rest;
    }
    return { ...rest, dues: divideByWeight(debt, dues !== undefined && sumOf(dues) >= debt ? dues : row.grants) };
}

/** Divides whole units in proportion to the weights by the largest remainder method. No part exceeds its weight. */
function divideByWeight(units: number, weights: Readonly<Record<ShardId, number>>): Record<ShardId, number> {
    const total = sumOf(weights);
    const parts = Object.entries(weights).map(([shard, weight]) => ({
        shard,
        whole: Math.floor(units * weight / total),
        remainder: units * weight % total,
    }));
    let undivided = units - parts.reduce((sum, part) => sum + part.whole, 0);
    parts.sort((left, right) => right.remainder - left.remainder || (left.shard < right.shard ? -1 : 1));
    const divided = parts.map(({ shard, whole }) => [shard, whole + Number(undivided-- > 0)] as const);
    return Object.fromEntries(divided.filter(([, part]) => part > 0));
}

/** Sets the unmet demand of the shard. */
export function withDemand(row: GrantRowValue, shard: ShardId, units: number): GrantRowValue {
    return (row.wants[shard] ?? 0) === units ? row : { ...row, wants: withUnits(row.wants, shard, units) };
}

export function grantedUnits(row: GrantRowValue, shard: ShardId): number {
    return row.grants[shard] ?? 0;
}

export function demandOfOthers(row: GrantRowValue, shard: ShardId): number {
    return sumOf(row.wants) - (row.wants[shard] ?? 0);
}

function withUnits(entries: Readonly<Record<string, number>>, shard: ShardId, units: number): Record<string, number> {
    const changed = { ...entries, [shard]: units };
    if (units === 0) {
        delete changed[shard];
    }
    return changed;
}

function sumOf(entries: Readonly<Record<string, number>>): number {
    return Object.values(entries).reduce((sum, units) => sum + units, 0);
}
