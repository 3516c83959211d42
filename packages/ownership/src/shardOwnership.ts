import type { ShardId } from "@tanagerlink/model";

/** A shard that this process owns. */
export interface OwnedShard {
    readonly shard: ShardId;
    readonly epoch: number;
    /** Worker identifiers stored in the roster row; a quorum is a majority of them. */
    readonly roster: readonly string[];
}

/** Owner of a shard as last read from the table or received from a peer. */
export interface ShardOwner {
    readonly shard: ShardId;
    readonly owner: string;
    readonly epoch: number;
}

/** Called synchronously, once for each change. */
export interface OwnershipListener {
    onShardAcquired(owned: OwnedShard): void;
    /** The shard must no longer be used: nothing may be started under its epoch after this call. */
    onOwnershipLost(shard: ShardId, epoch: number): void;
    /**
     * Called before a planned handover to make pending records durable. The lease is still valid and being renewed, but
     * nothing may be started. The handover waits for the promise for at most the length of a lease, and then reports
     * the loss of the shard.
     */
    onHandoverStarted?(shard: ShardId, epoch: number): Promise<void>;
}

/** Ownership of the shards of one failure domain, and of adopted shards, from the point of view of one process. */
export interface ShardOwnership extends AsyncDisposable {
    start(listener: OwnershipListener): void;
    ownedShards(): readonly OwnedShard[];
    /** Last known owner, to which requests are forwarded. */
    ownerOf(shard: ShardId): ShardOwner | undefined;
    /** Records an owner reported by a peer; ignores a lower epoch than the known one. */
    recordOwner(owner: ShardOwner): void;
    /**
     * Whether work may be started under this epoch now. The lease must be valid by the monotonic clock, or a majority
     * of the roster must have accepted the epoch within the confirmation window. After a takeover, a majority must also
     * have been attached and the confirmation window must have passed since then. Check it again after every `await`.
     */
    mayStart(shard: ShardId, epoch: number): boolean;
    /** Milliseconds until the lease expires unless it is renewed; 0 or less if it expired or the shard is not held. */
    remainingLeaseMilliseconds(shard: ShardId, epoch: number): number;
    /** Records that a worker accepted the epoch in a request sent at `sentAt` (monotonic). */
    recordEpochAccepted(shard: ShardId, epoch: number, worker: string, sentAt: number): void;
    /** Records that a worker rejected the epoch because it knows a higher one; the shard is lost at once. */
    recordHigherEpoch(shard: ShardId, epoch: number, higherEpoch: number): void;
    /** Sets the desired roster, which is stored before any of its new workers is used. */
    setRoster(shard: ShardId, workers: readonly string[]): void;
    /** Whether the worker is in the stored roster; only then may it receive new work. */
    rosterContains(shard: ShardId, worker: string): boolean;
    /** Records that the platform removed the worker's VM permanently, so that no earlier owner can reach it. */
    recordWorkerRemoved(shard: ShardId, epoch: number, worker: string): void;
    /** Records that the worker has a new boot identifier and no longer knows the highest epoch that it accepted. */
    recordWorkerRestarted(shard: ShardId, epoch: number, worker: string): void;
    /** Stops acquiring and hands over every owned shard; resolves when all rows are released or the time is up. */
    releaseAll(withinMilliseconds: number): Promise<void>;
}
