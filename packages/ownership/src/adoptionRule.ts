/**
 * Which other failure domains have lost all of their entry processes, so that their shards may be adopted. A failure
 * domain counts as lost when membership has known no live process of it for the adoption delay without a break.
 */

/** When the shards of other failure domains may be taken over. */
export interface AdoptionOptions {
    readonly delayMilliseconds: number;
    /** Whether a process of the failure domain may be live; to be true while nothing is known. */
    readonly mayHaveLiveProcess: (failureDomain: string) => boolean;
}

/** @internal */
export class AdoptionRule {
    private readonly options: AdoptionOptions | undefined;
    private readonly withoutProcessSince = new Map<string, number>();

    constructor(options: AdoptionOptions | undefined) {
        this.options = options;
    }

    /** Takes in what membership knows at `now`. Called before each poll with all other failure domains. */
    update(failureDomains: Iterable<string>, now: number): void {
        const previous = new Map(this.withoutProcessSince);
        this.withoutProcessSince.clear();
        for (const failureDomain of failureDomains) {
            if (this.options?.mayHaveLiveProcess(failureDomain) === false) {
                this.withoutProcessSince.set(failureDomain, previous.get(failureDomain) ?? now);
            }
        }
    }

    /** No process is known. The shard rows are observed from here on, so that the lease and the delay run together. */
    isSuspected(failureDomain: string): boolean {
        return this.withoutProcessSince.has(failureDomain);
    }

    isLost(failureDomain: string, now: number): boolean {
        const since = this.withoutProcessSince.get(failureDomain);
        return since !== undefined && now - since >= (this.options?.delayMilliseconds ?? Number.POSITIVE_INFINITY);
    }
}
