/**
 * Plans the next version of a team's grant row from the point of view of one shard, which takes free units, records
 * unmet demand or returns units. These are pure functions, so that all rules of the division are in one place.
 *
 * - While the row is in debt, the shard returns every unit that is not in use.
 * - A shard that is short of units takes all it needs if that is a small fraction of the free units. Otherwise it takes
 *   half of it in each step, and at most its share of the free units among the shards that wait. If no units are free,
 *   it records its unmet demand in the row.
 * - A shard without unmet demand returns idle units at once if other shards wait for them. Otherwise it returns them
 *   after the idle period and keeps some headroom.
 * - A shard that holds more than its fair share while others wait returns half of the excess as its units end.
 * - If the limit is lower than the number of shards, the fair share is less than one unit and the shards take turns.
 */
import type { ShardId } from "@tanagerlink/model";
import {
    demandOfOthers,
    grantedUnits,
    type GrantRowValue,
    type TeamLimit,
    withDemand,
    withLimit,
    withTransfer,
} from "./grantRow.ts";

/** Headroom that a shard keeps beyond the units in use, as a fraction of them. */
const HEADROOM_FRACTION = 0.1;
/**
 * A shortage of at most this fraction of the free units is covered in a single step. Halving every shortage made a gang
 * of four wait for a second transaction, which follows a second later.
 */
const SINGLE_STEP_FRACTION = 0.25;
/** Recorded demand is rewritten only if it changed by at least this factor, to keep the write rate low. */
const DEMAND_CHANGE_FACTOR = 2;
/** Headroom is taken only while more than this fraction of the limit remains free. */
const MINIMUM_FREE_FRACTION = 0.1;

/** A team's use of its units in a shard. */
export interface GrantUsage {
    readonly shard: ShardId;
    /** Units in use, including those that may be in use by unconfirmed work. */
    readonly occupiedUnits: number;
    /** Further units that waiting work would use. */
    readonly demand: number;
    /** Highest sum of `occupiedUnits` and `demand` within the idle period. */
    readonly peak: number;
    /** The shard has held its units so long that a shard without any should get a turn. */
    readonly isTurnOver: boolean;
    /** The shard leaves free units to others after its own turn. */
    readonly isCoolingDown: boolean;
}

export interface GrantPlan {
    /** The row to write; the stored row object itself if nothing changes. */
    readonly row: GrantRowValue;
    /** Maximum number of occupied units; lower than the grant while the shard returns units to others. */
    readonly ceiling: number;
}

export function planGrant(stored: GrantRowValue, usage: GrantUsage, limit: TeamLimit | undefined): GrantPlan {
    const row = withLimit(stored, limit);
    const granted = grantedUnits(row, usage.shard);
    const shortage = Math.max(0, usage.occupiedUnits + usage.demand - granted);
    if (row.free < 0) {
        return returnUnits(
            withUpdatedDemand(row, usage.shard, shortage),
            usage,
            Math.min(granted - usage.occupiedUnits, -row.free),
            granted,
        );
    }
    return shortage > 0 ? planForShortage(row, usage, granted, shortage) : planForSurplus(row, usage, granted);
}

function planForShortage(row: GrantRowValue, usage: GrantUsage, granted: number, shortage: number): GrantPlan {
    if (usage.isCoolingDown && demandOfOthers(row, usage.shard) > 0) {
        return { row: withUpdatedDemand(row, usage.shard, 0), ceiling: Number.POSITIVE_INFINITY };
    }
    const fairShare = fairShareOf(row, usage);
    const taken = unitsToTake(row, usage.shard, granted, shortage, fairShare);
    if (taken > 0) {
        const after = withTransfer(row, usage.shard, taken + headroomToTake(row, usage, taken));
        return { row: withUpdatedDemand(after, usage.shard, shortage - taken), ceiling: Number.POSITIVE_INFINITY };
    }
    return returnAboveFairShare(withUpdatedDemand(row, usage.shard, shortage), usage, granted);
}

function planForSurplus(row: GrantRowValue, usage: GrantUsage, granted: number): GrantPlan {
    const updated = withUpdatedDemand(row, usage.shard, 0);
    const othersShortage = demandOfOthers(row, usage.shard) - row.free;
    const surplus = Math.min(granted - usage.occupiedUnits - usage.demand, othersShortage);
    if (othersShortage > 0) {
        return surplus > 0
            ? returnUnits(updated, usage, surplus, Number.POSITIVE_INFINITY)
            : returnAboveFairShare(updated, usage, granted);
    }
    const headroom = Math.max(1, Math.ceil(usage.peak * HEADROOM_FRACTION));
    return returnUnits(updated, usage, granted - usage.peak - headroom, Number.POSITIVE_INFINITY);
}

/** Returns units beyond the fair share as they end, if other shards wait for more units than are free. */
function returnAboveFairShare(row: GrantRowValue, usage: GrantUsage, granted: number): GrantPlan {
    const fairShare = fairShareOf(row, usage);
    if (demandOfOthers(row, usage.shard) <= row.free || granted <= fairShare) {
        return { row, ceiling: Number.POSITIVE_INFINITY };
    }
    const ceiling = granted - Math.ceil((granted - fairShare) / 2);
    return returnUnits(row, usage, granted - Math.max(usage.occupiedUnits, ceiling), ceiling);
}

/**
 * Headroom to take in addition to the units that are needed now, while many units are free and no other shard waits.
 * Without headroom, every single unit would need a write of its own, which is too many for the table.
 */
function headroomToTake(row: GrantRowValue, usage: GrantUsage, taken: number): number {
    const remaining = row.free - taken;
    const isPlentiful = demandOfOthers(row, usage.shard) === 0 && remaining > row.limit * MINIMUM_FREE_FRACTION;
    return isPlentiful ? Math.min(remaining, Math.ceil(usage.occupiedUnits * HEADROOM_FRACTION)) : 0;
}

/** A shard that already holds its fair share takes only units that no other shard waits for. */
function unitsToTake(row: GrantRowValue, shard: ShardId, granted: number, shortage: number, fairShare: number): number {
    const step = shortage <= row.free * SINGLE_STEP_FRACTION ? shortage : Math.max(1, Math.ceil(shortage / 2));
    const otherCount = Object.keys(row.wants).filter(other => other !== shard).length;
    if (otherCount === 0) {
        return Math.min(step, row.free);
    }
    const unclaimed = Math.max(0, row.free - demandOfOthers(row, shard));
    const share = Math.max(1, Math.floor(row.free / (1 + otherCount)));
    return Math.min(step, row.free, Math.max(unclaimed, Math.min(share, Math.max(0, fairShare - granted))));
}

/**
 * The limit divided by the number of shards that hold units or wait for them, rounded up. Zero if this is less than one
 * unit and the turn of the shard is over.
 */
function fairShareOf(row: GrantRowValue, { shard, isTurnOver }: GrantUsage): number {
    const sharers = new Set([...Object.keys(row.grants), ...Object.keys(row.wants), shard]);
    const share = row.limit / sharers.size;
    return share < 1 && isTurnOver ? 0 : Math.ceil(share);
}

function returnUnits(row: GrantRowValue, usage: GrantUsage, units: number, ceiling: number): GrantPlan {
    return { row: withTransfer(row, usage.shard, -Math.max(0, units)), ceiling };
}

function withUpdatedDemand(row: GrantRowValue, shard: ShardId, units: number): GrantRowValue {
    const stored = row.wants[shard] ?? 0;
    const isSimilar = stored > 0 && units > 0
        && units < stored * DEMAND_CHANGE_FACTOR && units * DEMAND_CHANGE_FACTOR > stored;
    return isSimilar ? row : withDemand(row, shard, units);
}
