/**
 * Which leases the owner may extend. A successor relies on what the stored owner record states, so that the owner must
 * not go beyond what any record allows that may be the stored one.
 */
import type { Timers } from "@tanagerlink/timers";
import type { OwnerRecord } from "./ownerRecord.ts";

/** A moment on the monotonic clock, which stands still while the machine is suspended, and the time of day. */
interface Moment {
    readonly monotonic: number;
    readonly wallClock: number;
}

/** The estimated end of a lease moves with the duration of the calls by which the worker's clock is read. */
const STATEMENT_TOLERANCE_MILLISECONDS = 50;

export class LeaseAuthority {
    private readonly timers: Timers;
    /** The record that is known to be stored. */
    private stored: OwnerRecord;
    /** Workers that this record lists as unreachable, or one that was sent since. */
    private unreachableWorkers: ReadonlySet<string>;
    /** When the stored record was sent; `undefined` for the claim, which gives no authority. */
    private storedSentAt: Moment | undefined;
    /** When the next record was first sent. */
    private nextSentAt: Moment | undefined;

    constructor(timers: Timers, claim: OwnerRecord) {
        this.timers = timers;
        this.stored = claim;
        this.unreachableWorkers = workersIn(claim);
    }

    /** Duration of leases that the stored record states; `undefined` if it does not. */
    get leaseMilliseconds(): number | undefined {
        return this.stored.leaseTerms?.leaseMilliseconds;
    }

    /** Whether the stored record states that a lease on the worker lasts until then, longer than the terms say. */
    statesLongerLease(worker: string, expiresAt: number): boolean {
        const stated = this.stored.longerLeases?.[worker];
        return stated !== undefined && this.storedSentAt !== undefined
            && this.storedSentAt.monotonic + stated + STATEMENT_TOLERANCE_MILLISECONDS >= expiresAt;
    }

    /** Whether the worker may get a longer lease. */
    canExtend(worker: string): boolean {
        if (this.storedSentAt === undefined || this.unreachableWorkers.has(worker)) {
            return false;
        }
        const { monotonic, wallClock } = this.storedSentAt;
        const age = Math.max(this.timers.now() - monotonic, this.timers.wallClock() - wallClock);
        return age < (this.stored.leaseTerms?.authorityMilliseconds ?? 0);
    }

    /** Records that a record is sent, again if an earlier one had no response. Returns the moment. */
    recordSent(record: OwnerRecord): Moment {
        const sentAt = { monotonic: this.timers.now(), wallClock: this.timers.wallClock() };
        this.nextSentAt ??= sentAt;
        this.unreachableWorkers = new Set([...this.unreachableWorkers, ...workersIn(record)]);
        return sentAt;
    }

    /** Records that the store has confirmed a record. */
    recordStored(record: OwnerRecord, sentAt: Moment): void {
        this.stored = record;
        this.unreachableWorkers = workersIn(record);
        this.storedSentAt = sentAt;
        this.nextSentAt = undefined;
    }

    /** Records that a record without a response was found in the store. Which of those sent it was is not known. */
    recordFound(record: OwnerRecord): void {
        this.stored = record;
        this.storedSentAt = this.nextSentAt ?? this.storedSentAt;
        this.nextSentAt = undefined;
    }
}

function workersIn({ remainingLeases = {} }: OwnerRecord): ReadonlySet<string> {
    return new Set(Object.keys(remainingLeases));
}
