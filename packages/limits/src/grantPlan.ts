/**
 * What one shard does with one team's row: takes units, asks for them, or gives units back. Pure, so that all rules of
 * division are in one place.
 *
 * - While the row is in debt, every unit that is not in use goes back.
 * - A shard in need takes the whole need when that is a small part of the free units, and otherwise half of it in each
 *   step, and not more than its part of the free units among those that wait. When nothing is free, it leaves a want.
 * - A shard without need gives idle units to shards that want them at once, and otherwise after the idle period, but
 *   for a working stock.
 * - A shard that holds more than an equal part while others want units lets half of the excess go as its units end.
 * - Where the limit is lower than the number of shards, so that an equal part is no whole unit, shards take turns.
 */
import type { ShardId } from "@tanagerlink/model";
import {
    type GrantRowValue,
    type TeamLimit,
    unitsOf,
    wantsOfOthers,
    withLimit,
    withTransfer,
    withWant,
} from "./grantRow.ts";

/** Part of the units in use that is kept beyond them. */
const WORKING_STOCK = 0.1;
/**
 * Part of the free units that a shard may take at once for its whole need. Halving every need made a gang of four wait
 * for a second transaction, which comes a second later.
 */
const AMPLE_PART = 0.25;
/** A want is written again only when it changed by this factor, to keep the write rate low. */
const WANT_CHANGE_FACTOR = 2;
/** Part of the limit above which free units count as plentiful. */
const PLENTIFUL_PART = 0.1;

/** The use of a team in a shard. */
export interface GrantNeed {
    readonly shard: ShardId;
    /** Units in use or held back. */
    readonly busy: number;
    /** Units that waiting work would use. */
    readonly wanted: number;
    /** Highest sum of the two within the idle period. */
    readonly peak: number;
    readonly turnIsOver: boolean;
    readonly sitsOut: boolean;
}

export interface GrantPlan {
    /** The row to write; the same object as the given one when there is nothing to change. */
    readonly row: GrantRowValue;
    /** Units that new work may bring the use up to, at most; lower than the grant while the shard gives way to others. */
    readonly ceiling: number;
}

/** Plans the next version of the row. */
export function planGrant(stored: GrantRowValue, need: GrantNeed, limit: TeamLimit | undefined): GrantPlan {
    const row = withLimit(stored, limit);
    const granted = unitsOf(row, need.shard);
    const missing = Math.max(0, need.busy + need.wanted - granted);
    if (row.free < 0) {
        return give(asking(row, need.shard, missing), need, Math.min(granted - need.busy, -row.free), granted);
    }
    return missing > 0 ? planForNeed(row, need, granted, missing) : planForSurplus(row, need, granted);
}

function planForNeed(row: GrantRowValue, need: GrantNeed, granted: number, missing: number): GrantPlan {
    if (need.sitsOut && wantsOfOthers(row, need.shard) > 0) {
        return { row: asking(row, need.shard, 0), ceiling: Number.POSITIVE_INFINITY };
    }
    const fair = equalPart(row, need);
    const taken = unitsToTake(row, need.shard, granted, missing, fair);
    if (taken > 0) {
        const after = withTransfer(row, need.shard, taken + stockToTake(row, need, taken));
        return { row: asking(after, need.shard, missing - taken), ceiling: Number.POSITIVE_INFINITY };
    }
    return giveWay(asking(row, need.shard, missing), need, granted);
}

function planForSurplus(row: GrantRowValue, need: GrantNeed, granted: number): GrantPlan {
    const asked = asking(row, need.shard, 0);
    const short = wantsOfOthers(row, need.shard) - row.free;
    const spare = Math.min(granted - need.busy - need.wanted, short);
    if (short > 0) {
        return spare > 0 ? give(asked, need, spare, Number.POSITIVE_INFINITY) : giveWay(asked, need, granted);
    }
    const stock = Math.max(1, Math.ceil(need.peak * WORKING_STOCK));
    return give(asked, need, granted - need.peak - stock, Number.POSITIVE_INFINITY);
}

/** Lets units beyond the equal part go as they end, if others wait for more than is free. */
function giveWay(row: GrantRowValue, need: GrantNeed, granted: number): GrantPlan {
    const fair = equalPart(row, need);
    if (wantsOfOthers(row, need.shard) <= row.free || granted <= fair) {
        return { row, ceiling: Number.POSITIVE_INFINITY };
    }
    const ceiling = granted - Math.ceil((granted - fair) / 2);
    return give(row, need, granted - Math.max(need.busy, ceiling), ceiling);
}

/**
 * While many units are free and no other shard waits, a working stock is taken along with the need, because a write for
 * each single unit would be too many for the table.
 */
function stockToTake(row: GrantRowValue, need: GrantNeed, taken: number): number {
    const left = row.free - taken;
    const plenty = wantsOfOthers(row, need.shard) === 0 && left > row.limit * PLENTIFUL_PART;
    return plenty ? Math.min(left, Math.ceil(need.busy * WORKING_STOCK)) : 0;
}

/** A shard that has its equal part leaves what the others wait for. */
function unitsToTake(row: GrantRowValue, shard: ShardId, granted: number, missing: number, fair: number): number {
    const step = missing <= row.free * AMPLE_PART ? missing : Math.max(1, Math.ceil(missing / 2));
    const others = Object.keys(row.wants).filter(other => other !== shard).length;
    if (others === 0) {
        return Math.min(step, row.free);
    }
    const unclaimed = Math.max(0, row.free - wantsOfOthers(row, shard));
    const part = Math.max(1, Math.floor(row.free / (1 + others)));
    return Math.min(step, row.free, Math.max(unclaimed, Math.min(part, Math.max(0, fair - granted))));
}

/** An equal part of the limit among the shards that hold or want units; less than one unit when the turn is over. */
function equalPart(row: GrantRowValue, { shard, turnIsOver }: GrantNeed): number {
    const sharing = new Set([...Object.keys(row.grants), ...Object.keys(row.wants), shard]);
    const part = row.limit / sharing.size;
    return part < 1 && turnIsOver ? 0 : Math.ceil(part);
}

function give(row: GrantRowValue, need: GrantNeed, units: number, ceiling: number): GrantPlan {
    return { row: withTransfer(row, need.shard, -Math.max(0, units)), ceiling };
}

function asking(row: GrantRowValue, shard: ShardId, units: number): GrantRowValue {
    const stored = row.wants[shard] ?? 0;
    const similar = stored > 0 && units > 0
        && units < stored * WANT_CHANGE_FACTOR && units * WANT_CHANGE_FACTOR > stored;
    return similar ? row : withWant(row, shard, units);
}
