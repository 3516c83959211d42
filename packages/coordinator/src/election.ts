/**
 * Decides when this process takes the cell. Taking it is one conditional write, so that only one process can win, and
 * the epoch that comes with it fences the former owner out at the workers and in the store. A needless change of owner
 * therefore costs a short pause and breaks no promise.
 */
import type { RecordStore } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";
import { decodeOwner, encodeRecord, type OwnerRecord, ownerRecordName, type SeenOwner } from "./ownerRecord.ts";

/** Period of the decision. */
const TICK_MILLISECONDS = 100;
/** Processes try one after the other, so that most attempts meet no other. */
const RANK_STEP_MILLISECONDS = 120;
const MOST_RANKS = 8;

export interface ElectionDurations {
    /** Age of the last renewal after which the owner counts as gone. */
    readonly expiryMilliseconds: number;
    /** The same once the link to the owner is down as well. */
    readonly unlinkedExpiryMilliseconds: number;
    /** Changes must have been followed this recently; else the age of a renewal says nothing. */
    readonly freshnessMilliseconds: number;
}

export interface ElectionOptions {
    readonly node: string;
    readonly incarnation: string;
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly durations: ElectionDurations;
    /** Position of this process among those that may own the cell; 0 tries first. */
    readonly rank: () => number;
    /** Monotonic time at which the changes of the cell's records were last answered. */
    readonly followedAt: () => number;
    readonly isLinked: (node: string) => boolean;
    /** Whether the process may take the cell now. */
    readonly eligible: () => boolean;
    readonly won: (claim: SeenOwner, former: OwnerRecord | undefined) => void;
}

export class Election implements Disposable {
    private readonly options: ElectionOptions;
    private readonly ticker: Subscription;
    private seen: SeenOwner | undefined;
    /** Monotonic time of the last observed change of the owner record, or of its last confirmation. */
    private changedAt: number;
    private wantedSince: number | undefined;
    private trying = false;

    constructor(options: ElectionOptions) {
        this.options = options;
        this.changedAt = options.timers.now();
        this.ticker = options.timers.every(TICK_MILLISECONDS, () => this.tick());
    }

    /** The last known owner record. */
    get owner(): SeenOwner | undefined {
        return this.seen;
    }

    /** Takes in an owner record; older versions than the known one are ignored. */
    observe(owner: SeenOwner): void {
        if (owner.version > (this.seen?.version ?? 0)) {
            this.seen = owner;
            this.changedAt = this.options.timers.now();
        }
    }

    /**
     * Takes in that the owner itself has said over its link when the store last confirmed its claim. A slow store delays
     * the news of its renewals by seconds.
     */
    confirm(epoch: number, confirmedAt: number): void {
        if (epoch === this.seen?.record.epoch) {
            this.changedAt = Math.max(this.changedAt, confirmedAt);
        }
    }

    [Symbol.dispose](): void {
        this.ticker[Symbol.dispose]();
    }

    private async tick(): Promise<void> {
        const { timers, rank, eligible } = this.options;
        if (this.trying || !eligible() || !this.isVacant()) {
            this.wantedSince = undefined;
            return;
        }
        this.wantedSince ??= timers.now();
        if (timers.now() - this.wantedSince >= Math.min(MOST_RANKS, rank()) * RANK_STEP_MILLISECONDS) {
            this.trying = true;
            await this.take().finally(() => this.trying = false);
            this.wantedSince = undefined;
        }
    }

    private isVacant(): boolean {
        const { timers, durations, node, followedAt, isLinked } = this.options;
        const now = timers.now();
        if (now - followedAt() > durations.freshnessMilliseconds) {
            return false;
        }
        const owner = this.seen?.record;
        if (owner === undefined || owner.node === "" || owner.node === node) {
            return true;
        }
        const age = now - this.changedAt;
        return age > durations.expiryMilliseconds
            || age > durations.unlinkedExpiryMilliseconds && !isLinked(owner.node);
    }

    private async take(): Promise<void> {
        const { node, incarnation, store, logger, won } = this.options;
        const former = this.seen;
        const record: OwnerRecord = { node, incarnation, epoch: (former?.record.epoch ?? 0) + 1, renewals: 0 };
        const outcome = await store.commit({
            expectations: [{ ...ownerRecordName, expectedVersion: former?.version ?? 0 }],
            writes: [{ ...ownerRecordName, value: encodeRecord(record) }],
            removals: [],
        });
        if (outcome.isErr()) {
            logger.info({ error: outcome.error.kind }, "cell could not be taken");
            return;
        }
        if (outcome.value.committed) {
            const claim = { record, version: outcome.value.version };
            this.observe(claim);
            won(claim, former?.record);
            return;
        }
        for (const current of outcome.value.current) {
            const decoded = decodeOwner(current);
            if (decoded.isErr()) {
                logger.error({ reason: decoded.error }, "owner record cannot be read");
                continue;
            }
            this.observe(decoded.value);
            if (decoded.value.record.incarnation === incarnation && decoded.value.record.epoch === record.epoch) {
                // The answer to an earlier attempt was lost.
                won(decoded.value, former?.record);
            }
        }
    }
}
