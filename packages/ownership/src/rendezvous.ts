/**
 * Rendezvous hashing with xxHash. It assigns targets to shards and preferred owners to shards. A candidate that joins
 * or leaves changes the assignment only of those keys that it gains or loses.
 */
import type { ShardId } from "@tanagerlink/model";
import xxhash, { type XXHashAPI } from "xxhash-wasm";

/** Rendezvous hash with the same result in all processes for the same input. */
export class Rendezvous {
    private readonly hash: XXHashAPI;

    private constructor(hash: XXHashAPI) {
        this.hash = hash;
    }

    /**
     * Compiles the hash function. The library has only an asynchronous API, so this is awaited once at process start.
     */
    static async load(): Promise<Rendezvous> {
        return new Rendezvous(await xxhash());
    }

    /**
     * Orders the candidates from most to least preferred for the key. The input may be unordered and have duplicates.
     */
    rank(key: string, candidates: readonly string[]): readonly string[] {
        return [...new Set(candidates)]
            .map(candidate => ({ candidate, weight: this.weightOf(key, candidate) }))
            .sort(compareCandidates)
            .map(weighted => weighted.candidate);
    }

    /** Returns the most preferred candidate for the key; `undefined` if there are no candidates. */
    preferredCandidate(key: string, candidates: readonly string[]): string | undefined {
        let best: WeightedCandidate | undefined;
        for (const candidate of candidates) {
            const weighted = { candidate, weight: this.weightOf(key, candidate) };
            if (best === undefined || compareCandidates(weighted, best) < 0) {
                best = weighted;
            }
        }
        return best?.candidate;
    }

    /**
     * Assigns a target to one of the shards of its failure domain. The set of shards is fixed, so the result depends
     * only on the target's identifier. `undefined` if there are no shards.
     */
    shardOfTarget(targetId: string, shards: readonly ShardId[]): ShardId | undefined {
        return this.preferredCandidate(targetId, shards);
    }

    private weightOf(key: string, candidate: string): bigint {
        // The separator can't occur in identifiers; without it, "a" + "bc" and "ab" + "c" would collide.
        return this.hash.h64(`${key}\n${candidate}`);
    }
}

interface WeightedCandidate {
    readonly candidate: string;
    readonly weight: bigint;
}

function compareCandidates(left: WeightedCandidate, right: WeightedCandidate): number {
    if (left.weight !== right.weight) {
        return left.weight > right.weight ? -1 : 1;
    }
    return left.candidate < right.candidate ? -1 : Number(left.candidate > right.candidate);
}
