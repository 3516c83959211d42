/** Selects the processes that may own a shard, and the preferred one of them. */
import { failureDomainOfShard, type ShardId } from "@tanagerlink/model";
import type { OwnershipOptions } from "./ownershipOptions.ts";

/** @internal */
export class OwnerSelector {
    private readonly options: OwnershipOptions;
    private readonly failureDomains: () => readonly string[];

    /** `failureDomains` returns the failure domains that have shards. */
    constructor(options: OwnershipOptions, failureDomains: () => readonly string[]) {
        this.options = options;
        this.failureDomains = failureDomains;
    }

    /** Whether the shard belongs to another failure domain than this process. */
    isForeign(shard: ShardId): boolean {
        return failureDomainOfShard(shard) !== this.options.failureDomain;
    }

    /**
     * Processes that may own the shard: those of its failure domain or, if none of them is live, those of all others.
     */
    eligibleOwners(shard: ShardId): readonly string[] {
        const { liveMembers, nodeId } = this.options;
        const failureDomain = failureDomainOfShard(shard);
        const members = liveMembers(failureDomain);
        if (!this.isForeign(shard)) {
            return [...new Set([...members, nodeId])];
        }
        if (members.length > 0) {
            return members;
        }
        const others = this.failureDomains().filter(name => name !== failureDomain).flatMap(name => liveMembers(name));
        return [...new Set([...others, nodeId])];
    }

    /** Position of this process in the rendezvous order of the shard. */
    ownRank(shard: ShardId): number {
        return this.options.rendezvous.rank(shard, this.eligibleOwners(shard)).indexOf(this.options.nodeId);
    }

    /** An adopted shard stays with its owner until a process of its failure domain is live. */
    preferredOwner(shard: ShardId): string {
        const { nodeId, rendezvous, liveMembers } = this.options;
        const isAdopted = this.isForeign(shard) && liveMembers(failureDomainOfShard(shard)).length === 0;
        return isAdopted ? nodeId : rendezvous.preferredCandidate(shard, this.eligibleOwners(shard)) ?? nodeId;
    }

    /** Process to which the shard is handed over when this process stops. */
    preferredSuccessor(shard: ShardId): string | undefined {
        const { nodeId, rendezvous } = this.options;
        return rendezvous.preferredCandidate(shard, this.eligibleOwners(shard).filter(member => member !== nodeId));
    }
}
