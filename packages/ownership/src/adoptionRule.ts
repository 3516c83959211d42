/**
 * Decides which other failure domains have lost all of their entry processes, so that their shards may be adopted. A
 * failure domain counts as lost once membership has known no live process of it continuously for the adoption delay.
 */

/** Conditions under which the shards of other failure domains may be adopted. */
export interface AdoptionOptions {
    readonly delayMilliseconds: number;
    /** Whether a process of the failure domain may be live; must return true while nothing is known. */
    readonly mayHaveLiveProcess: (failureDomain: string) => boolean;
}

/** @internal */
export class AdoptionRule {
    private readonly options: AdoptionOptions | undefined;
    private readonly withoutProcessSince = new Map<string, number>();

    constructor(options: AdoptionOptions | undefined) {
        this.options = options;
    }

    /** Records what membership knows at `now`. Called before each poll with all other failure domains. */
    update(failureDomains: Iterable<string>, now: number): void {
        const previous = new Map(this.withoutProcessSince);
        this.withoutProcessSince.clear();
        for (const failureDomain of failureDomains) {
            if (this.options?.mayHaveLiveProcess(failureDomain) === false) {
                this.withoutProcessSince.set(failureDomain, previous.get(failureDomain) ?? now);
            }
        }
    }

    /**
     * Whether no live process is known. The shard rows are observed from this moment, so that the waits for the lease
     * and for the adoption delay overlap.
     */
    isSuspected(failureDomain: string): boolean {
        return this.withoutProcessSince.has(failureDomain);
    }

    /** Whether the adoption delay has passed since the failure domain was suspected. */
    isLost(failureDomain: string, now: number): boolean {
        const since = this.withoutProcessSince.get(failureDomain);
        return since !== undefined && now - since >= (this.options?.delayMilliseconds ?? Number.POSITIVE_INFINITY);
    }
}
