/**
 * Which leases a worker may hold: those that this owner has issued, those that previous owners have, and those that were
 * meant for a former incarnation of the worker. A former incarnation's deadlines are far ahead on a clock that starts
 * anew, so that the next incarnation holds the longest lease that it grants.
 */
import { expiryMilliseconds, MAXIMUM_WAIT_FOR_LEASE_MILLISECONDS } from "./leaseTerms.ts";
import type { SessionOptions } from "./sessionOwner.ts";
import { type LeaseCall, UnsettledLeases } from "./unsettledLeases.ts";
import type { WorkerIncarnation } from "./workerIncarnation.ts";

export class WorkerLeases {
    private readonly options: SessionOptions;
    private readonly unsettled = new UnsettledLeases();
    private incarnation: WorkerIncarnation | undefined;
    /** Monotonic time at which leases have expired that an incarnation may have which has not reported yet. */
    private unreportedExpireAt = -Infinity;

    constructor(options: SessionOptions) {
        this.options = options;
    }

    /** Records a call with a lease. It is to be settled once it is known that no other incarnation executes it. */
    recordCall(now: number): LeaseCall {
        return this.unsettled.record(now);
    }

    settle(call: LeaseCall | undefined): void {
        this.unsettled.settle(call);
    }

    /** Counts with leases that a new incarnation may have taken from calls for the former one. */
    expectRestart(now: number): void {
        if (this.unsettled.hasCalls(now)) {
            this.unreportedExpireAt = now + expiryMilliseconds(this.options.maximumLeaseMilliseconds);
        }
    }

    /**
     * Counts with the leases of an incarnation that refuses all calls for former ones from now on. Returns whether it may
     * hold one that was meant for a former incarnation.
     */
    adopt(incarnation: WorkerIncarnation, clock: number, isRestart: boolean): boolean {
        const { owner, timers, maximumLeaseMilliseconds } = this.options;
        const now = timers.now();
        this.incarnation = incarnation;
        this.unreportedExpireAt = -Infinity;
        incarnation.lease.recordClock(clock, now);
        const mayHoldForeignLease = isRestart
            ? this.unsettled.hasCalls(now)
            : owner.mayHaveMissedStart(now - clock);
        if (mayHoldForeignLease) {
            incarnation.lease.assume(maximumLeaseMilliseconds);
        }
        return mayHoldForeignLease;
    }

    /** Time until leases have expired that last longer than the terms say; `undefined` if none do. */
    longerMilliseconds(now: number): number | undefined {
        const { owner, entry } = this.options;
        const remaining = Math.ceil(Math.max(this.ownExpireAt, owner.listedLeaseExpiresAt(entry.id)) - now);
        return remaining > expiryMilliseconds(owner.leaseMilliseconds) ? remaining : undefined;
    }

    /** Whether tasks may start under the present leases: a successor has to know how long these last. */
    allowStarts(now: number): boolean {
        const { owner, entry } = this.options;
        const longer = this.longerMilliseconds(now);
        return longer === undefined
            || longer <= MAXIMUM_WAIT_FOR_LEASE_MILLISECONDS && owner.isLongerLeaseStored(entry.id, now + longer);
    }

    /**
     * Time until all leases have expired. `mayHaveRestarted`: the worker may have done so, unnoticed, under the previous
     * owner, which no record says.
     */
    remainingMilliseconds(now: number, mayHaveRestarted: boolean): number {
        const expiresAt = Math.max(this.ownExpireAt, this.previousExpireAt(mayHaveRestarted));
        return Math.max(0, Math.ceil(expiresAt - now));
    }

    /** Whether all leases have expired, those of previous owners included. */
    haveExpired(now: number, mayHaveRestarted: boolean): boolean {
        return now >= this.previousExpireAt(mayHaveRestarted) && now > this.ownExpireAt;
    }

    /** Monotonic time at which all leases have expired that this owner has issued or assumes. */
    private get ownExpireAt(): number {
        const lease = this.incarnation?.lease;
        return Math.max(lease?.hasClockReading === true ? lease.expiresAt : -Infinity, this.unreportedExpireAt);
    }

    /** Same for the leases of previous owners. */
    private previousExpireAt(mayHaveRestarted: boolean): number {
        const { owner, entry, maximumLeaseMilliseconds } = this.options;
        const expiresAt = owner.previousLeasesExpireAt(entry.id);
        return mayHaveRestarted
            ? Math.max(expiresAt, owner.claimedAt + expiryMilliseconds(maximumLeaseMilliseconds))
            : expiresAt;
    }
}
