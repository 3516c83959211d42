import type { ShardId } from "@tanagerlink/model";

/** A shard that this process owns. */
export interface OwnedShard {
    readonly shard: ShardId;
    readonly epoch: number;
    /** Worker identifiers stored in the shard row; the quorum is a majority of them. */
    readonly roster: readonly string[];
}

/** Owner of a shard as last read from the table or heard from a peer. */
export interface ShardOwner {
    readonly shard: ShardId;
    readonly owner: string;
    readonly epoch: number;
}

/** Calls are made synchronously, once for each change. */
export interface OwnershipListener {
    acquired(owned: OwnedShard): void;
    /** The shard must not be used any more; after this call nothing may be started under its epoch. */
    lost(shard: ShardId, epoch: number): void;
    /**
     * Called before a planned handover, while the lease still holds but nothing may be started any more, to make
     * pending records durable. The handover waits for it up to a lease, which goes on being renewed; then `lost` follows.
     */
    releasing?(shard: ShardId, epoch: number): Promise<void>;
}

/** The shards of one failure domain as one process sees them. */
export interface ShardOwnership extends AsyncDisposable {
    start(listener: OwnershipListener): void;
    owned(): readonly OwnedShard[];
    /** Last known owner, for forwarding. */
    ownerOf(shard: ShardId): ShardOwner | undefined;
    /** Takes over what a peer reported; a lower epoch than the known one is ignored. */
    learnOwner(owner: ShardOwner): void;
    /**
     * Whether work may be started under this epoch at this moment: the lease is valid on the monotonic clock, or a
     * majority of the roster accepted the epoch within the confirmation window; and, after a takeover, a majority was
     * attached and the confirmation window has passed since. To be checked again after every wait.
     */
    mayStart(shard: ShardId, epoch: number): boolean;
    /** Milliseconds until the lease ends unless it is renewed; 0 or less when it is over or the shard is not held. */
    leaseRemaining(shard: ShardId, epoch: number): number;
    /** Records that a worker accepted the epoch in a request sent at `sentAt` (monotonic). */
    confirm(shard: ShardId, epoch: number, worker: string, sentAt: number): void;
    /** Records that a worker refused the epoch in favour of a higher one; the shard is lost at once. */
    superseded(shard: ShardId, epoch: number, higherEpoch: number): void;
    /** Workers that the shard should have; written to the row before any new one is used. */
    setRoster(shard: ShardId, workers: readonly string[]): void;
    /** Whether a worker is in the stored roster; only then may it get new work. */
    rosterContains(shard: ShardId, worker: string): boolean;
    /** The platform removed the worker's VM for good, so that no earlier owner can reach it. */
    witnessGone(shard: ShardId, epoch: number, worker: string): void;
    /** The worker has a new boot identifier and has forgotten the highest epoch that it had seen. */
    witnessRestarted(shard: ShardId, epoch: number, worker: string): void;
    /** Stops acquiring, and hands every owned shard over; resolves when all rows are released or the time is up. */
    releaseAll(withinMilliseconds: number): Promise<void>;
}
