/**
 * Rows that ownership keeps for each shard.
 *
 * - `shard/<shard>`: owner, epoch, lease and state; written with each renewal and read by every process of the domain.
 * - `shard-roster/<shard>`: worker identifiers; written in the same transaction as the shard row, but only when they
 *   change, because a roster of several hundred workers would make each renewal and each poll tens of kilobytes.
 * - `shard-epoch/<shard>`: the epoch alone; written in the transaction that raises it. Other parts make their
 *   transactions conditional on its version, which renewals don't change, so that nothing written under an earlier
 *   epoch can take effect after a takeover.
 */
import type { ShardId } from "@tanagerlink/model";
import type { TableRow } from "@tanagerlink/platform";
import * as z from "zod";

export const ShardRowState = { Held: "held", Released: "released" } as const;
export type ShardRowState = (typeof ShardRowState)[keyof typeof ShardRowState];

const shardRowSchema = z.object({
    owner: z.string(),
    epoch: z.int().min(0),
    leaseMilliseconds: z.number().min(0),
    state: z.enum(ShardRowState),
    /** Process that a released shard is meant for. */
    successor: z.string().optional(),
    /** Released before the takeover by which the shard was acquired was settled; the next owner has to settle it. */
    takeoverPending: z.boolean().optional(),
});

/** Value of `shard/<shard>`. */
export type ShardRowValue = z.infer<typeof shardRowSchema>;

const rosterRowSchema = z.object({ workers: z.array(z.string()) });
const epochRowSchema = z.object({ epoch: z.int().min(0) });

/** Key of the shard row. */
export function shardKey(shard: ShardId): string {
    return `shard/${shard}`;
}

/** Prefix of all shard rows of one failure domain. */
export function shardPrefix(failureDomain: string): string {
    return `shard/${failureDomain}/`;
}

/** Key of the row that holds the roster. */
export function shardRosterKey(shard: ShardId): string {
    return `shard-roster/${shard}`;
}

/** Key of the row that holds the epoch. */
export function shardEpochKey(shard: ShardId): string {
    return `shard-epoch/${shard}`;
}

/** Shard of a shard row's key. */
export function shardOfKey(key: string): ShardId {
    return key.slice("shard/".length);
}

/** Value of a shard row; `undefined` when it isn't one, so that a damaged row is left alone instead of overwritten. */
export function parseShardRow(row: TableRow): ShardRowValue | undefined {
    return shardRowSchema.safeParse(row.value).data;
}

/** Workers of a roster row; a missing row counts as an empty roster. */
export function parseRoster(row: TableRow | undefined): readonly string[] {
    return rosterRowSchema.safeParse(row?.value).data?.workers ?? [];
}

/** Epoch of an epoch row; a missing row counts as epoch 0. */
export function parseEpoch(row: TableRow | undefined): number {
    return epochRowSchema.safeParse(row?.value).data?.epoch ?? 0;
}
