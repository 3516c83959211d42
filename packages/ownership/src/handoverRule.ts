/**
 * Decides which owned shard to hand over to its preferred owner. A process must have been the preferred owner
 * continuously for a stability period, and one shard is handed over at a time. The period doubles each time the shard
 * comes back from the same process, so that a flapping process does not move shards back and forth.
 */
import type { ShardId } from "@tanagerlink/model";
import type { OwnershipDurations } from "./ownershipOptions.ts";

const MAXIMUM_STABILITY_DOUBLINGS = 8;
const RETURN_COUNT_RETENTION_MILLISECONDS = 3_600_000;

export interface Handover {
    readonly shard: ShardId;
    readonly successor: string;
}

/** The preferred owner of a shard, and since when it has been preferred. */
interface Preference {
    readonly owner: string;
    readonly since: number;
}

interface PastHandover {
    readonly successor: string;
    readonly at: number;
    readonly handoverCount: number;
}

/** @internal */
export class HandoverRule {
    private readonly preferences = new Map<ShardId, Preference>();
    private readonly pastHandovers = new Map<ShardId, PastHandover>();
    private lastHandoverAt = Number.NEGATIVE_INFINITY;
    private readonly nodeId: string;
    private readonly durations: OwnershipDurations;

    constructor(nodeId: string, durations: OwnershipDurations) {
        this.nodeId = nodeId;
        this.durations = durations;
    }

    /**
     * Must be called at each poll with all owned shards, to track how long each preferred owner has been stable. The
     * handover that a call returns counts as carried out from then on.
     */
    chooseHandover(
        owned: readonly ShardId[],
        preferredOwner: (shard: ShardId) => string,
        now: number,
    ): Handover | undefined {
        const due = owned.filter(shard => this.isDue(shard, preferredOwner(shard), now));
        const shard = due[0];
        if (shard === undefined || now - this.lastHandoverAt < this.durations.lease) {
            return undefined;
        }
        const successor = preferredOwner(shard);
        this.lastHandoverAt = now;
        this.preferences.delete(shard);
        this.pastHandovers.set(shard, {
            successor,
            at: now,
            handoverCount: this.returnCountFrom(shard, successor, now) + 1,
        });
        return { shard, successor };
    }

    private isDue(shard: ShardId, preferred: string, now: number): boolean {
        const known = this.preferences.get(shard);
        if (known?.owner !== preferred) {
            this.preferences.set(shard, { owner: preferred, since: now });
            return false;
        }
        const doublings = Math.min(this.returnCountFrom(shard, preferred, now), MAXIMUM_STABILITY_DOUBLINGS);
        const stabilityPeriod = (this.durations.lease + this.durations.margin) * 2 ** doublings;
        return preferred !== this.nodeId && now - known.since >= stabilityPeriod;
    }

    /** How many times the shard was handed over to this successor and came back. */
    private returnCountFrom(shard: ShardId, successor: string, now: number): number {
        const past = this.pastHandovers.get(shard);
        const isRelevant = past?.successor === successor && now - past.at < RETURN_COUNT_RETENTION_MILLISECONDS;
        return isRelevant ? past.handoverCount : 0;
    }
}
