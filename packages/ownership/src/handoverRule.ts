/**
 * Which owned shard to hand over to its preferred owner. A process must have been the preferred one without a break for
 * a stability period, one shard is handed over at a time, and the period doubles each time that a shard comes back from
 * the same process, so that a flapping member doesn't move shards back and forth.
 */
import type { ShardId } from "@tanagerlink/model";
import type { OwnershipDurations } from "./ownershipOptions.ts";

const MAXIMUM_DOUBLINGS = 8;
const FORGET_RETURNS_MILLISECONDS = 3_600_000;

export interface Handover {
    readonly shard: ShardId;
    readonly successor: string;
}

interface Preference {
    readonly member: string;
    readonly since: number;
}

interface PastHandover {
    readonly successor: string;
    readonly at: number;
    readonly count: number;
}

/** @internal */
export class HandoverRule {
    private readonly preferences = new Map<ShardId, Preference>();
    private readonly past = new Map<ShardId, PastHandover>();
    private lastAt = Number.NEGATIVE_INFINITY;
    private readonly nodeId: string;
    private readonly durations: OwnershipDurations;

    constructor(nodeId: string, durations: OwnershipDurations) {
        this.nodeId = nodeId;
        this.durations = durations;
    }

    /** `preferredOwner` is asked at each poll for every owned shard; a handover that is returned counts as made. */
    choose(
        owned: readonly ShardId[],
        preferredOwner: (shard: ShardId) => string,
        now: number,
    ): Handover | undefined {
        const due = owned.filter(shard => this.isDue(shard, preferredOwner(shard), now));
        const shard = due[0];
        if (shard === undefined || now - this.lastAt < this.durations.lease) {
            return undefined;
        }
        const successor = preferredOwner(shard);
        this.lastAt = now;
        this.preferences.delete(shard);
        this.past.set(shard, { successor, at: now, count: this.returns(shard, successor, now) + 1 });
        return { shard, successor };
    }

    private isDue(shard: ShardId, preferred: string, now: number): boolean {
        const known = this.preferences.get(shard);
        if (known?.member !== preferred) {
            this.preferences.set(shard, { member: preferred, since: now });
            return false;
        }
        const doublings = Math.min(this.returns(shard, preferred, now), MAXIMUM_DOUBLINGS);
        const stability = (this.durations.lease + this.durations.margin) * 2 ** doublings;
        return preferred !== this.nodeId && now - known.since >= stability;
    }

    /** How often the shard came back after it was handed to this process. */
    private returns(shard: ShardId, successor: string, now: number): number {
        const past = this.past.get(shard);
        const counts = past?.successor === successor && now - past.at < FORGET_RETURNS_MILLISECONDS;
        return counts ? past.count : 0;
    }
}
