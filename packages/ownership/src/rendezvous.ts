/**
 * Rendezvous hashing with xxhash. It decides which shard a target belongs to and which process is the preferred owner
 * of a shard. A candidate that joins or leaves changes the choice only for the keys that it wins or held.
 */
import type { ShardId } from "@tanagerlink/model";
import xxhash, { type XXHashAPI } from "xxhash-wasm";

/** Rendezvous hash; equal on all processes for equal input. */
export class Rendezvous {
    private readonly hash: XXHashAPI;

    private constructor(hash: XXHashAPI) {
        this.hash = hash;
    }

    /** Compiles the hash function. The library offers no synchronous way, so this is awaited once at process start. */
    static async load(): Promise<Rendezvous> {
        return new Rendezvous(await xxhash());
    }

    /** Candidates from the most to the least preferred for the key. Order and repetition of the input don't matter. */
    rank(key: string, candidates: readonly string[]): readonly string[] {
        return [...new Set(candidates)]
            .map(candidate => ({ candidate, weight: this.weight(key, candidate) }))
            .sort(compareWeighted)
            .map(weighted => weighted.candidate);
    }

    /** The most preferred candidate. */
    preferred(key: string, candidates: readonly string[]): string | undefined {
        let best: Weighted | undefined;
        for (const candidate of candidates) {
            const weighted = { candidate, weight: this.weight(key, candidate) };
            if (best === undefined || compareWeighted(weighted, best) < 0) {
                best = weighted;
            }
        }
        return best?.candidate;
    }

    /**
     * Shard of a target among the shards of its failure domain. The number of shards is fixed, so the result depends on
     * the target's identifier only. `undefined` when there are no shards.
     */
    shardOfTarget(targetId: string, shards: readonly ShardId[]): ShardId | undefined {
        return this.preferred(targetId, shards);
    }

    private weight(key: string, candidate: string): bigint {
        // The separator can't occur in identifiers; without it "a"+"bc" and "ab"+"c" would collide.
        return this.hash.h64(`${key}\n${candidate}`);
    }
}

interface Weighted {
    readonly candidate: string;
    readonly weight: bigint;
}

function compareWeighted(left: Weighted, right: Weighted): number {
    if (left.weight !== right.weight) {
        return left.weight > right.weight ? -1 : 1;
    }
    return left.candidate < right.candidate ? -1 : Number(left.candidate > right.candidate);
}
