/**
 * State of one shard that this process holds: its lease, the writes whose outcome is unknown, and the workers that
 * confirmed the epoch. Decides whether work may be started at a given time and makes no calls itself.
 */
import type { ShardId } from "@tanagerlink/model";
import type { OwnershipDurations } from "./ownershipOptions.ts";

/** A write of the shard row that was sent and whose outcome is unknown. */
export interface LeaseAttempt {
    readonly sentAt: number;
    readonly roster: readonly string[];
    /** Whether the transaction also wrote the roster row. */
    readonly includesRoster: boolean;
}

/** How a shard was acquired. */
export interface Acquisition {
    readonly shard: ShardId;
    readonly epoch: number;
    readonly version: number;
    readonly sentAt: number;
    readonly roster: readonly string[];
    /** Version of the roster row; 0 if the row does not exist. */
    readonly rosterVersion: number;
    /** Whether the previous owner may still be running, so that a majority of the roster has to be attached first. */
    readonly isTakeover: boolean;
}

/** @internal */
export class HeldShard {
    readonly shard: ShardId;
    readonly epoch: number;
    /** Version of the shard row that the next write expects. */
    version: number;
    /** `undefined` while the version of the roster row is unknown; the row is read before the next roster write. */
    rosterVersion: number | undefined;
    /** Roster that the owner wants to have stored. */
    desiredRoster: readonly string[];
    /** Set while the shard is being handed over; nothing may be started then. */
    isReleasing = false;
    private leaseUntil: number;
    private storedWorkers: ReadonlySet<string>;
    private readonly takeoverRoster: ReadonlySet<string>;
    private readonly attempts = new Map<string, LeaseAttempt>();
    /** Time at which the latest request was sent in which each worker accepted the epoch. */
    private readonly confirmationSentAt = new Map<string, number>();
    private readonly removedWorkers = new Set<string>();
    private readonly restartedWorkers = new Set<string>();
    private majorityAttachedAt: number | undefined;
    private readonly durations: OwnershipDurations;

    constructor(acquisition: Acquisition, durations: OwnershipDurations) {
        this.shard = acquisition.shard;
        this.epoch = acquisition.epoch;
        this.version = acquisition.version;
        this.rosterVersion = acquisition.rosterVersion;
        this.desiredRoster = acquisition.roster;
        this.leaseUntil = acquisition.sentAt + durations.lease;
        this.storedWorkers = new Set(acquisition.roster);
        this.takeoverRoster = new Set(acquisition.isTakeover ? acquisition.roster : []);
        this.durations = durations;
    }

    get storedRoster(): readonly string[] {
        return [...this.storedWorkers];
    }

    rosterContains(worker: string): boolean {
        return this.storedWorkers.has(worker);
    }

    /**
     * Whether a new roster should be written. The stored roster is kept until the takeover is settled: if this owner
     * failed before that, the next owner would still need the roster on which the previous owner relies.
     */
    shouldWriteRoster(now: number): boolean {
        return this.isTakeoverSettled(now) && this.hasNewRoster();
    }

    private hasNewRoster(): boolean {
        return this.desiredRoster.length !== this.storedWorkers.size
            || this.desiredRoster.some(worker => !this.storedWorkers.has(worker));
    }

    mayStart(now: number): boolean {
        return !this.isReleasing && this.isTakeoverSettled(now)
            && (now < this.leaseUntil || this.isConfirmedByQuorum(now));
    }

    remainingLeaseMilliseconds(now: number): number {
        return this.leaseUntil - now;
    }

    /** Records that the worker accepted the epoch; only the latest send time of each worker counts. */
    recordEpochAccepted(worker: string, sentAt: number, now: number): void {
        this.confirmationSentAt.set(worker, Math.max(sentAt, this.confirmationSentAt.get(worker) ?? sentAt));
        this.updateMajorityAttached(now);
    }

    /** The platform removed the worker's VM, so the worker can no longer accept an earlier epoch. */
    recordWorkerRemoved(worker: string, now: number): void {
        this.removedWorkers.add(worker);
        this.updateMajorityAttached(now);
    }

    /**
     * A restarted worker no longer knows the highest epoch. Its confirmations do not count until a renewal proves that
     * no other process took over.
     */
    recordWorkerRestarted(worker: string): void {
        this.restartedWorkers.add(worker);
    }

    beginAttempt(transactionId: string, attempt: LeaseAttempt): void {
        this.attempts.set(transactionId, attempt);
    }

    /** The attempt is known to have had no effect. */
    dropAttempt(transactionId: string): void {
        this.attempts.delete(transactionId);
    }

    /**
     * Records that the transaction took effect as this version of the row, which proves that no other process holds the
     * shard. Returns false if it is not one of the pending attempts.
     */
    settleAttempt(transactionId: string, version: number, rosterVersion: number | undefined): boolean {
        const attempt = this.attempts.get(transactionId);
        if (attempt === undefined) {
            return false;
        }
        this.version = version;
        this.leaseUntil = Math.max(this.leaseUntil, attempt.sentAt + this.durations.lease);
        this.storedWorkers = new Set(attempt.roster);
        if (attempt.includesRoster) {
            this.rosterVersion = rosterVersion;
        }
        // All attempts expected the version before this one, so none of the others can still take effect.
        this.attempts.clear();
        this.restartedWorkers.clear();
        this.pruneConfirmations();
        return true;
    }

    /** Whether it is certain that no earlier owner can still start work. */
    isTakeoverSettled(now: number): boolean {
        if (this.takeoverRoster.size === 0) {
            return true;
        }
        const { confirmation, margin, lease } = this.durations;
        return this.majorityAttachedAt !== undefined
            && now >= this.majorityAttachedAt + confirmation * (1 + margin / lease);
    }

    /**
     * While the outcome of a roster write is unknown, either roster may be stored, so a majority of both is required.
     */
    private isConfirmedByQuorum(now: number): boolean {
        return this.hasQuorum(this.storedWorkers, now)
            && [...this.attempts.values()].every(attempt =>
                !attempt.includesRoster || this.hasQuorum(new Set(attempt.roster), now)
            );
    }

    private hasQuorum(roster: ReadonlySet<string>, now: number): boolean {
        const oldestSentAt = now - this.durations.confirmation;
        let confirmed = 0;
        for (const worker of roster) {
            const sentAt = this.confirmationSentAt.get(worker);
            if (sentAt !== undefined && sentAt > oldestSentAt && !this.restartedWorkers.has(worker)) {
                confirmed++;
            }
        }
        return confirmed * 2 > roster.size;
    }

    private updateMajorityAttached(now: number): void {
        if (this.majorityAttachedAt !== undefined || this.takeoverRoster.size === 0) {
            return;
        }
        let attached = 0;
        for (const worker of this.takeoverRoster) {
            if (this.confirmationSentAt.has(worker) || this.removedWorkers.has(worker)) {
                attached++;
            }
        }
        if (attached * 2 > this.takeoverRoster.size) {
            this.majorityAttachedAt = now;
        }
    }

    private pruneConfirmations(): void {
        const known = new Set([...this.storedWorkers, ...this.takeoverRoster, ...this.desiredRoster]);
        for (const worker of this.confirmationSentAt.keys()) {
            if (!known.has(worker)) {
                this.confirmationSentAt.delete(worker);
            }
        }
    }
}
