/**
 * Workers of the stored roster that the VM list lacks, so that this owner has no address of them. They count as gone
 * once the list has lacked them for a while. Without this a takeover after the loss of an owner together with most
 * workers would never be settled.
 */

/**
 * Heartbeat periods for which the list must lack a worker. The former owner put it into the roster at least a lease
 * before this owner read the list, so a list that only lags names it.
 */
const UNLISTED_PERIODS = 5;

/** Unlisted workers of one shard. */
export class UnlistedWorkers {
    private readonly since = new Map<string, number>();
    private readonly boundMilliseconds: number;

    constructor(heartbeatMilliseconds: number) {
        this.boundMilliseconds = UNLISTED_PERIODS * heartbeatMilliseconds;
    }

    /** Takes in a list that was read. */
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

    /** Workers that count as gone. */
    gone(now: number): string[] {
        return [...this.since].filter(([, since]) => now - since >= this.boundMilliseconds).map(([worker]) => worker);
    }
}
