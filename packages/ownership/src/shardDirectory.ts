/**
 * What this process knows about the shards: for how long each shard row has been unchanged, by the local monotonic
 * clock, and the owner with the highest epoch, as read from the table or received from a peer.
 */
import type { ShardId } from "@tanagerlink/model";
import type { TableRow } from "@tanagerlink/platform";
import type { ShardOwner } from "./shardOwnership.ts";
import { parseShardRow, type ShardRowValue } from "./shardRow.ts";

/** A shard row as last read. */
export interface RowObservation {
    /** Version of the row; 0 if it does not exist. */
    readonly version: number;
    readonly transactionId: string;
    /** `undefined` if the row does not exist or is malformed. */
    readonly value: ShardRowValue | undefined;
    /** Monotonic time at which an answer with this version was first received. */
    readonly unchangedSince: number;
}

interface KnownOwner {
    readonly epoch: number;
    /** `undefined` while only the epoch is known, and after a release. */
    readonly owner: string | undefined;
    readonly isReleased: boolean;
}

/** @internal */
export class ShardDirectory {
    private readonly observations = new Map<ShardId, RowObservation>();
    private readonly owners = new Map<ShardId, KnownOwner>();

    /** Records a row, or its absence, as received at `now`. Ignores versions that are not newer than the known one. */
    observe(shard: ShardId, row: TableRow | undefined, now: number): RowObservation {
        const known = this.observations.get(shard);
        const version = row?.version ?? 0;
        if (known !== undefined && known.version >= version) {
            return known;
        }
        const value = row === undefined ? undefined : parseShardRow(row);
        const observation = { version, transactionId: row?.transactionId ?? "", value, unchangedSince: now };
        this.observations.set(shard, observation);
        if (value !== undefined) {
            this.recordRow(shard, value);
        }
        return observation;
    }

    observationOf(shard: ShardId): RowObservation | undefined {
        return this.observations.get(shard);
    }

    /** Highest known epoch; 0 if none is known. */
    highestEpoch(shard: ShardId): number {
        return this.owners.get(shard)?.epoch ?? 0;
    }

    ownerOf(shard: ShardId): ShardOwner | undefined {
        const known = this.owners.get(shard);
        return known?.owner === undefined ? undefined : { shard, owner: known.owner, epoch: known.epoch };
    }

    /** Ignores an epoch that is lower than the known one or was released. */
    recordOwner({ shard, owner, epoch }: ShardOwner): void {
        const known = this.owners.get(shard);
        const isOwnerOfKnownEpoch = known?.epoch === epoch && known.owner === undefined && !known.isReleased;
        if (isOwnerOfKnownEpoch || epoch > this.highestEpoch(shard)) {
            this.owners.set(shard, { epoch, owner, isReleased: false });
        }
    }

    /** The owner released the shard; later reports of an owner with the same epoch are stale. */
    recordRelease(shard: ShardId, epoch: number): void {
        if (epoch >= this.highestEpoch(shard)) {
            this.owners.set(shard, { epoch, owner: undefined, isReleased: true });
        }
    }

    /** A higher epoch exists whose owner is unknown. */
    recordEpoch(shard: ShardId, epoch: number): void {
        if (epoch > this.highestEpoch(shard)) {
            this.owners.set(shard, { epoch, owner: undefined, isReleased: false });
        }
    }

    private recordRow(shard: ShardId, value: ShardRowValue): void {
        if (value.state === "released") {
            this.recordRelease(shard, value.epoch);
        }
        else {
            this.recordOwner({ shard, owner: value.owner, epoch: value.epoch });
        }
    }
}
