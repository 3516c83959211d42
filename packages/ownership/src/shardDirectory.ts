/**
 * What this process knows of the shards of its failure domain: since when each row has been seen unchanged on the own
 * monotonic clock, and the owner with the highest epoch, read from the table or heard from a peer.
 */
import type { ShardId } from "@tanagerlink/model";
import type { TableRow } from "@tanagerlink/platform";
import type { ShardOwner } from "./shardOwnership.ts";
import { parseShardRow, type ShardRowValue } from "./shardRow.ts";

/** A shard row as last read. */
export interface RowObservation {
    /** 0 when the row doesn't exist. */
    readonly version: number;
    readonly transactionId: string;
    /** `undefined` when the row doesn't exist or can't be understood. */
    readonly value: ShardRowValue | undefined;
    /** Monotonic time at which an answer with this version first arrived. */
    readonly since: number;
}

interface KnownOwner {
    readonly epoch: number;
    /** `undefined` while only the epoch is known, and after a release. */
    readonly owner: string | undefined;
    readonly released: boolean;
}

/** @internal */
export class ShardDirectory {
    private readonly observations = new Map<ShardId, RowObservation>();
    private readonly owners = new Map<ShardId, KnownOwner>();

    /** Takes in a row, or its absence, as received at `now`. An older version than the known one is ignored. */
    observe(shard: ShardId, row: TableRow | undefined, now: number): RowObservation {
        const known = this.observations.get(shard);
        const version = row?.version ?? 0;
        if (known !== undefined && known.version >= version) {
            return known;
        }
        const value = row === undefined ? undefined : parseShardRow(row);
        const observation = { version, transactionId: row?.transactionId ?? "", value, since: now };
        this.observations.set(shard, observation);
        if (value !== undefined) {
            this.learnRow(shard, value);
        }
        return observation;
    }

    observation(shard: ShardId): RowObservation | undefined {
        return this.observations.get(shard);
    }

    /** Highest epoch heard of. */
    highestEpoch(shard: ShardId): number {
        return this.owners.get(shard)?.epoch ?? 0;
    }

    ownerOf(shard: ShardId): ShardOwner | undefined {
        const known = this.owners.get(shard);
        return known?.owner === undefined ? undefined : { shard, owner: known.owner, epoch: known.epoch };
    }

    /** Ignores a lower epoch than the known one, and one that was released. */
    learnOwner({ shard, owner, epoch }: ShardOwner): void {
        const known = this.owners.get(shard);
        const completes = known?.epoch === epoch && known.owner === undefined && !known.released;
        if (completes || epoch > this.highestEpoch(shard)) {
            this.owners.set(shard, { epoch, owner, released: false });
        }
    }

    /** The owner gave the shard up; later reports of the same epoch are stale. */
    learnRelease(shard: ShardId, epoch: number): void {
        if (epoch >= this.highestEpoch(shard)) {
            this.owners.set(shard, { epoch, owner: undefined, released: true });
        }
    }

    /** A higher epoch exists, but its owner isn't known. */
    learnEpoch(shard: ShardId, epoch: number): void {
        if (epoch > this.highestEpoch(shard)) {
            this.owners.set(shard, { epoch, owner: undefined, released: false });
        }
    }

    private learnRow(shard: ShardId, value: ShardRowValue): void {
        if (value.state === "released") {
            this.learnRelease(shard, value.epoch);
        }
        else {
            this.learnOwner({ shard, owner: value.owner, epoch: value.epoch });
        }
    }
}
