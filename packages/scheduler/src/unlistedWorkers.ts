/**
 * Workers of the stored roster that are missing from the VM list, so that this owner does not know their addresses.
 * They count as gone after a grace period. Otherwise recovery could not complete after an owner was lost together with
 * most workers.
 */

/**
 * Grace period in heartbeat periods. The previous owner added the worker to the roster at least one lease before this
 * owner read the list, so a list that is merely out of date contains it.
 */
const UNLISTED_GRACE_PERIOD_HEARTBEATS = 5;

/** Tracks the unlisted workers of one shard. */
export class UnlistedWorkers {
    private readonly unlistedSince = new Map<string, number>();
    private readonly gracePeriodMilliseconds: number;

    constructor(heartbeatMilliseconds: number) {
        this.gracePeriodMilliseconds = UNLISTED_GRACE_PERIOD_HEARTBEATS * heartbeatMilliseconds;
    }

    /** Applies a newly read VM list. */
    update(roster: Iterable<string>, isListed: (worker: string) => boolean, now: number): void {
        for (const worker of roster) {
            if (isListed(worker)) {
                this.unlistedSince.delete(worker);
            }
            else if (!this.unlistedSince.has(worker)) {
                this.unlistedSince.set(worker, now);
            }
        }
    }

    /** Workers that have been unlisted for the whole grace period. */
    goneWorkers(now: number): string[] {
        return [...this.unlistedSince]
            .filter(([, since]) => now - since >= this.gracePeriodMilliseconds)
            .map(([worker]) => worker);
    }
}
