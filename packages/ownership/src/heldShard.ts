/**
 * State of one shard that this process holds: its lease, the writes whose outcome is unknown, and the workers that
 * confirmed the epoch. Answers whether work may be started at a given moment; makes no calls itself.
 */
import type { ShardId } from "@tanagerlink/model";
import type { OwnershipDurations } from "./ownershipOptions.ts";

/** A write of the shard row that was sent and whose outcome isn't known. */
export interface LeaseAttempt {
    readonly sentAt: number;
    readonly roster: readonly string[];
    /** Whether the transaction also wrote the roster row. */
    readonly wroteRoster: boolean;
}

/** How a shard was acquired. */
export interface Acquisition {
    readonly shard: ShardId;
    readonly epoch: number;
    readonly version: number;
    readonly sentAt: number;
    readonly roster: readonly string[];
    /** Version of the roster row, 0 when there is none. */
    readonly rosterVersion: number;
    /** Whether the previous owner may still be running, so that a majority of the roster must be attached first. */
    readonly afterTakeover: boolean;
}

/** @internal */
export class HeldShard {
    readonly shard: ShardId;
    readonly epoch: number;
    /** Version of the shard row that the next write expects. */
    version: number;
    /** `undefined` when a write of the roster row has an unknown version; it is read before the next roster write. */
    rosterVersion: number | undefined;
    /** Workers that the owner wants stored. */
    desiredRoster: readonly string[];
    /** While set, nothing may be started: the shard is being handed over. */
    releasing = false;
    private leaseUntil: number;
    private stored: ReadonlySet<string>;
    private readonly takeoverRoster: ReadonlySet<string>;
    private readonly attempts = new Map<string, LeaseAttempt>();
    private readonly confirmedAt = new Map<string, number>();
    private readonly goneWitnesses = new Set<string>();
    private readonly restartedWitnesses = new Set<string>();
    private majorityAttachedAt: number | undefined;
    private readonly durations: OwnershipDurations;

    constructor(acquisition: Acquisition, durations: OwnershipDurations) {
        this.shard = acquisition.shard;
        this.epoch = acquisition.epoch;
        this.version = acquisition.version;
        this.rosterVersion = acquisition.rosterVersion;
        this.desiredRoster = acquisition.roster;
        this.leaseUntil = acquisition.sentAt + durations.lease;
        this.stored = new Set(acquisition.roster);
        this.takeoverRoster = new Set(acquisition.afterTakeover ? acquisition.roster : []);
        this.durations = durations;
    }

    get storedRoster(): readonly string[] {
        return [...this.stored];
    }

    rosterContains(worker: string): boolean {
        return this.stored.has(worker);
    }

    /**
     * Whether a new roster is to be written. The stored one stays until the takeover is settled: if this owner failed
     * before that, the next one must still find the roster on which the owner before this one relies.
     */
    rosterToWrite(now: number): boolean {
        return this.takeoverSettled(now) && this.rosterDiffers();
    }

    private rosterDiffers(): boolean {
        return this.desiredRoster.length !== this.stored.size
            || this.desiredRoster.some(worker => !this.stored.has(worker));
    }

    mayStart(now: number): boolean {
        return !this.releasing && this.takeoverSettled(now) && (now < this.leaseUntil || this.confirmedByQuorum(now));
    }

    leaseRemaining(now: number): number {
        return this.leaseUntil - now;
    }

    /** Records an accepted request; only the newest send time of each worker counts. */
    confirm(worker: string, sentAt: number, now: number): void {
        this.confirmedAt.set(worker, Math.max(sentAt, this.confirmedAt.get(worker) ?? sentAt));
        this.updateAttached(now);
    }

    /** The worker can't accept an earlier epoch any more, since the platform removed its VM. */
    witnessGone(worker: string, now: number): void {
        this.goneWitnesses.add(worker);
        this.updateAttached(now);
    }

    /** A restarted worker forgot the highest epoch; it is no evidence until a renewal shows that no one took over. */
    witnessRestarted(worker: string): void {
        this.restartedWitnesses.add(worker);
    }

    beginAttempt(transactionId: string, attempt: LeaseAttempt): void {
        this.attempts.set(transactionId, attempt);
    }

    /** The attempt certainly had no effect. */
    dropAttempt(transactionId: string): void {
        this.attempts.delete(transactionId);
    }

    /** The attempt took effect as this version of the row, so no other process holds the shard. */
    settleAttempt(transactionId: string, version: number, rosterVersion: number | undefined): boolean {
        const attempt = this.attempts.get(transactionId);
        if (attempt === undefined) {
            return false;
        }
        this.version = version;
        this.leaseUntil = Math.max(this.leaseUntil, attempt.sentAt + this.durations.lease);
        this.stored = new Set(attempt.roster);
        if (attempt.wroteRoster) {
            this.rosterVersion = rosterVersion;
        }
        // All attempts expected the version before this one, so none of the others can take effect any more.
        this.attempts.clear();
        this.restartedWitnesses.clear();
        this.forgetFormerWitnesses();
        return true;
    }

    /** Whether no earlier owner can start anything any more. */
    takeoverSettled(now: number): boolean {
        if (this.takeoverRoster.size === 0) {
            return true;
        }
        const { confirmation, margin, lease } = this.durations;
        return this.majorityAttachedAt !== undefined
            && now >= this.majorityAttachedAt + confirmation * (1 + margin / lease);
    }

    /** A roster write with an unknown outcome makes two rosters possible; the majority of each is needed then. */
    private confirmedByQuorum(now: number): boolean {
        return this.hasQuorum(this.stored, now)
            && [...this.attempts.values()].every(attempt =>
                !attempt.wroteRoster || this.hasQuorum(new Set(attempt.roster), now)
            );
    }

    private hasQuorum(roster: ReadonlySet<string>, now: number): boolean {
        const oldest = now - this.durations.confirmation;
        let confirmed = 0;
        for (const worker of roster) {
            const sentAt = this.confirmedAt.get(worker);
            if (sentAt !== undefined && sentAt > oldest && !this.restartedWitnesses.has(worker)) {
                confirmed++;
            }
        }
        return confirmed * 2 > roster.size;
    }

    private updateAttached(now: number): void {
        if (this.majorityAttachedAt !== undefined || this.takeoverRoster.size === 0) {
            return;
        }
        let attached = 0;
        for (const worker of this.takeoverRoster) {
            if (this.confirmedAt.has(worker) || this.goneWitnesses.has(worker)) {
                attached++;
            }
        }
        if (attached * 2 > this.takeoverRoster.size) {
            this.majorityAttachedAt = now;
        }
    }

    private forgetFormerWitnesses(): void {
        const known = new Set([...this.stored, ...this.takeoverRoster, ...this.desiredRoster]);
        for (const worker of this.confirmedAt.keys()) {
            if (!known.has(worker)) {
                this.confirmedAt.delete(worker);
            }
        }
    }
}
