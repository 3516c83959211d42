/**
 * Rows that record the ownership of each shard.
 *
 * - `shard/<shard>`: owner, epoch, lease and state; written with each renewal and read by every process of the failure
 *   domain.
 * - `shard-roster/<shard>`: identifiers of the workers; written in the same transaction as the shard row, but only when
 *   they change, because a roster of several hundred workers would add tens of kilobytes to each renewal and each poll.
 * - `shard-epoch/<shard>`: only the epoch; written in the transaction that raises it. Other packages make their
 *   transactions conditional on the version of this row, which renewals do not change, so that no transaction of an
 *   earlier epoch can take effect after a takeover.
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
    /** Process that should acquire the released shard. */
    successor: z.string().optional(),
    /** The shard was released before its owner had settled its own takeover; the next owner has to settle it. */
    takeoverPending: z.boolean().optional(),
});

/** Value of the row `shard/<shard>`. */
export type ShardRowValue = z.infer<typeof shardRowSchema>;

const rosterRowSchema = z.object({ workers: z.array(z.string()) });
const epochRowSchema = z.object({ epoch: z.int().min(0) });

export function shardKey(shard: ShardId): string {
    return `shard/${shard}`;
}

/** Prefix of all shard rows of one failure domain. */
export function shardPrefix(failureDomain: string): string {
    return `shard/${failureDomain}/`;
}

export function shardRosterKey(shard: ShardId): string {
    return `shard-roster/${shard}`;
}

export function shardEpochKey(shard: ShardId): string {
    return `shard-epoch/${shard}`;
}

/** Inverse of `shardKey`. */
export function shardOfKey(key: string): ShardId {
    return key.slice("shard/".length);
}

/** Returns `undefined` for a malformed row, so that a damaged row is left unchanged instead of being overwritten. */
export function parseShardRow(row: TableRow): ShardRowValue | undefined {
    return shardRowSchema.safeParse(row.value).data;
}

/** A missing row counts as an empty roster. */
export function parseRoster(row: TableRow | undefined): readonly string[] {
    return rosterRowSchema.safeParse(row?.value).data?.workers ?? [];
}

/** A missing row counts as epoch 0. */
export function parseEpoch(row: TableRow | undefined): number {
    return epochRowSchema.safeParse(row?.value).data?.epoch ?? 0;
}
