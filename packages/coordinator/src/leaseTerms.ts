/**
 * How long leases last, and for how long an owner may renew them. The owner record states both, so that a successor
 * knows when the leases on workers that it cannot reach have expired.
 */

/**
 * Time after a stored renewal of the claim for which the owner renews leases and starts attempts. Together with the
 * duration of leases it bounds both how long work outlasts an outage of the store and how long lasting tasks of a lost
 * worker wait after the end of an owner.
 */
const RENEWAL_AUTHORITY_MILLISECONDS = 2_500;
/** Part of a lease that is left when a report is requested late; longer than a change of the owner takes. */
const LEASE_BEYOND_REPORT_MILLISECONDS = 4_000;

/**
 * Wait of a long poll for an ended attempt; also bounds the age of reported tail latencies. It grows with the number of
 * workers up to the platform's maximum, so that the reports of a large fleet take a bounded share of the owner's time.
 */
const MINIMUM_REPORT_WAIT_MILLISECONDS = 1_000;
const MAXIMUM_REPORT_WAIT_MILLISECONDS = 2_000;
const REPORT_WAIT_PER_WORKER_MILLISECONDS = 5;

/** Workers' clocks run at most 2 % slow. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Covers orders in flight when the previous owner stopped. */
const EXPIRY_MARGIN_MILLISECONDS = 200;

/** A worker under a longer lease gets no tasks: they would wait too long after a loss of the worker. */
export const MAXIMUM_WAIT_FOR_LEASE_MILLISECONDS = 7_500;

/** Keeps the owner record within a row of the store. */
export const MAXIMUM_STATED_LEASES = 200;

export interface LeaseTerms {
    readonly leaseMilliseconds: number;
    /** Time after a stored renewal of the claim for which leases are renewed. */
    readonly authorityMilliseconds: number;
}

export function reportWaitMilliseconds(workerCount: number): number {
    const wait = workerCount * REPORT_WAIT_PER_WORKER_MILLISECONDS;
    return Math.min(MAXIMUM_REPORT_WAIT_MILLISECONDS, Math.max(MINIMUM_REPORT_WAIT_MILLISECONDS, wait));
}

/** Terms of an owner with so many workers, given the longest leases that these grant. */
export function leaseTermsFor(workerCount: number, maximumLeaseMilliseconds: number): LeaseTerms {
    return {
        leaseMilliseconds: Math.min(
            maximumLeaseMilliseconds,
            LEASE_BEYOND_REPORT_MILLISECONDS + reportWaitMilliseconds(workerCount),
        ),
        authorityMilliseconds: RENEWAL_AUTHORITY_MILLISECONDS,
    };
}

/** Terms of a new owner. It has no authority before it has recovered and listed the workers that do not respond. */
export function initialLeaseTerms(maximumLeaseMilliseconds: number): LeaseTerms {
    return { ...leaseTermsFor(0, maximumLeaseMilliseconds), authorityMilliseconds: 0 };
}

/** Time until a lease that is issued now has expired on the slowest clock. */
export function expiryMilliseconds(leaseMilliseconds: number): number {
    return leaseMilliseconds * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_MILLISECONDS;
}
