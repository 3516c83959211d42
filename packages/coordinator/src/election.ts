/**
 * Decides when this process claims the cell. A claim is one compare-and-swap of the owner record, so that only one
 * process can win, and its higher epoch fences out the previous owner at the workers and in the store. An unnecessary
 * change of owner therefore costs only a short pause.
 */
import type { RecordStore } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";
import { nextEpoch } from "./fencingTokens.ts";
import { initialLeaseTerms } from "./leaseTerms.ts";
import {
    decodeOwnerRecord,
    encodeJson,
    type OwnerRecord,
    ownerRecordName,
    type VersionedOwnerRecord,
} from "./ownerRecord.ts";
import { inheritLeases } from "./previousLeases.ts";

const CHECK_INTERVAL_MILLISECONDS = 100;
/** Processes delay their claims by rank, so that most claims do not conflict. */
const CLAIM_DELAY_PER_RANK_MILLISECONDS = 120;
const MAXIMUM_RANK = 8;
/** Delay of the first claim of a new cell, until the records of most processes are known for their ranks. */
const FIRST_CLAIM_DELAY_MILLISECONDS = 500;

export interface ElectionDurations {
    /** Age of the last renewal after which the claim of the owner has expired. */
    readonly expiryMilliseconds: number;
    /** Replaces `expiryMilliseconds` while the link to the owner is down. */
    readonly unlinkedExpiryMilliseconds: number;
    /** Maximum age of the last received changes; with older ones, a missing renewal does not prove an expired claim. */
    readonly maximumChangesAgeMilliseconds: number;
}

export interface ElectionOptions {
    readonly node: string;
    readonly incarnation: string;
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly durations: ElectionDurations;
    /** Position of this process among the candidates; rank 0 claims first. */
    readonly rank: () => number;
    /** Monotonic time of the last response to a request for changes of the cell's records. */
    readonly changesReceivedAt: () => number;
    readonly isLinked: (node: string) => boolean;
    /** Whether this process may claim the cell now. */
    readonly isEligible: () => boolean;
    /** The longest leases that workers grant. */
    readonly maximumLeaseMilliseconds: () => number;
    readonly onWon: (claim: WonClaim) => void;
}

/** A claim that the store has accepted. */
export interface WonClaim extends VersionedOwnerRecord {
    /** Monotonic time from which the leases count that the record states. */
    readonly sentAt: number;
    readonly previousOwner: OwnerRecord | undefined;
}

export class Election implements Disposable {
    private readonly options: ElectionOptions;
    private readonly ticker: Subscription;
    private knownOwner: VersionedOwnerRecord | undefined;
    private knownOwnerSeenAt: number;
    /** Monotonic time of the last observed renewal: a change of the owner record, or a confirmation of the claim. */
    private lastRenewalAt: number;
    private vacantSince: number | undefined;
    private isClaiming = false;

    constructor(options: ElectionOptions) {
        this.options = options;
        this.lastRenewalAt = options.timers.now();
        this.knownOwnerSeenAt = this.lastRenewalAt;
        this.ticker = options.timers.every(CHECK_INTERVAL_MILLISECONDS, () => this.tick());
    }

    /** The latest known owner record. */
    get owner(): VersionedOwnerRecord | undefined {
        return this.knownOwner;
    }

    /** Updates the known owner record; older versions are ignored. */
    observe(owner: VersionedOwnerRecord): void {
        if (owner.version > (this.knownOwner?.version ?? 0)) {
            this.knownOwner = owner;
            this.knownOwnerSeenAt = this.options.timers.now();
            this.lastRenewalAt = this.knownOwnerSeenAt;
        }
    }

    /**
     * Records when the store last confirmed the owner's claim, as the owner reports over its link. With a slow store,
     * changes of the owner record arrive seconds late.
     */
    recordConfirmation(epoch: number, confirmedAt: number): void {
        if (epoch === this.knownOwner?.record.epoch) {
            this.lastRenewalAt = Math.max(this.lastRenewalAt, confirmedAt);
        }
    }

    [Symbol.dispose](): void {
        this.ticker[Symbol.dispose]();
    }

    private async tick(): Promise<void> {
        const { timers, rank, isEligible } = this.options;
        if (this.isClaiming || !isEligible() || !this.isVacant()) {
            this.vacantSince = undefined;
            return;
        }
        this.vacantSince ??= timers.now();
        const delay = Math.min(MAXIMUM_RANK, rank()) * CLAIM_DELAY_PER_RANK_MILLISECONDS
            + (this.knownOwner === undefined ? FIRST_CLAIM_DELAY_MILLISECONDS : 0);
        if (timers.now() - this.vacantSince >= delay) {
            this.isClaiming = true;
            await this.claimCell().finally(() => this.isClaiming = false);
            this.vacantSince = undefined;
        }
    }

    private isVacant(): boolean {
        const { timers, durations, node, changesReceivedAt, isLinked } = this.options;
        const now = timers.now();
        if (now - changesReceivedAt() > durations.maximumChangesAgeMilliseconds) {
            return false;
        }
        const owner = this.knownOwner?.record;
        if (owner === undefined || owner.node === "" || owner.node === node) {
            return true;
        }
        const age = now - this.lastRenewalAt;
        return age > durations.expiryMilliseconds
            || age > durations.unlinkedExpiryMilliseconds && !isLinked(owner.node);
    }

    private async claimCell(): Promise<void> {
        const { node, incarnation, store, timers, logger, onWon } = this.options;
        const previous = this.knownOwner;
        const previousOwner = previous?.record;
        const sentAt = timers.now();
        const maximumLeaseMilliseconds = this.options.maximumLeaseMilliseconds();
        const record: OwnerRecord = {
            node,
            incarnation,
            epoch: nextEpoch(previous?.record.epoch),
            renewals: 0,
            leaseTerms: initialLeaseTerms(maximumLeaseMilliseconds),
            ...inheritLeases({
                node,
                claimedAt: sentAt,
                previousOwner,
                previousOwnerSeenAt: this.knownOwnerSeenAt,
                maximumLeaseMilliseconds,
            }),
        };
        const outcome = await store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: previous?.version ?? 0 }],
            writes: [{ ...ownerRecordName, value: encodeJson(record) }],
            removals: [],
        });
        if (outcome.isErr()) {
            logger.info({ error: outcome.error.kind }, "claim of the cell failed");
            return;
        }
        if (outcome.value.committed) {
            const claim = { record, version: outcome.value.version };
            this.observe(claim);
            onWon({ ...claim, sentAt, previousOwner });
            return;
        }
        for (const current of outcome.value.current) {
            const decoded = decodeOwnerRecord(current);
            if (decoded.isErr()) {
                logger.error({ reason: decoded.error }, "owner record is invalid");
                continue;
            }
            this.observe(decoded.value);
            if (decoded.value.record.incarnation === incarnation && decoded.value.record.epoch === record.epoch) {
                // An earlier claim succeeded, but its response was lost.
                onWon({ ...decoded.value, sentAt, previousOwner });
            }
        }
    }
}
