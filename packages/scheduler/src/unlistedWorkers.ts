/**
 * Workers of the stored roster that are missing from the VM list, so that this owner has no address of them. They count
 * as gone after a grace period. Otherwise recovery could not complete after an owner was lost together with most
 * workers.
 */

/**
 * Grace period in heartbeat periods. The previous owner added the worker to the roster at least one lease before this
 * owner read the list, so a list that is merely out of date contains it.
 */
const UNLISTED_PERIODS = 5;

/** Tracks the unlisted workers of one shard. */
export class UnlistedWorkers {
    private readonly since = new Map<string, number>();
    private readonly boundMilliseconds: number;

    constructor(heartbeatMilliseconds: number) {
        this.boundMilliseconds = UNLISTED_PERIODS * heartbeatMilliseconds;
    }

    /** Applies a newly read VM list. */
    update(roster: Iterable<string>, isListed: (worker: string) => boolean, now: number): void {
        for (const worker of roster) {
            if (isListed(worker)) {
                this.since.delete(worker);
            }
            else if (!this.since.has(worker)) {
                this.since.set(worker, now);
            }
        }
    }

    /** Workers that have been unlisted for the whole grace period. */
    gone(now: number): string[] {
        return [...this.since].filter(([, since]) => now - since >= this.boundMilliseconds).map(([worker]) => worker);
    }
}
