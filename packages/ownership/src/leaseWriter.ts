/**
 * Writes shard rows to renew, acquire and release leases. Every write is conditional on the version last seen. If an
 * answer is lost, the transaction identifier in the row shows whether the write took effect.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, TableRow, TableTransaction, TransactionOutcome } from "@tanagerlink/platform";
import { sleep, withDeadline } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { type Acquisition, HeldShard } from "./heldShard.ts";
import type { OwnershipOptions } from "./ownershipOptions.ts";
import type { RowObservation, ShardDirectory } from "./shardDirectory.ts";
import {
    parseEpoch,
    parseRoster,
    parseShardRow,
    shardEpochKey,
    shardKey,
    shardRosterKey,
    ShardRowState,
    type ShardRowValue,
} from "./shardRow.ts";

/** An acquisition whose outcome is unknown. */
interface PendingAcquisition {
    readonly transactionId: string;
    readonly acquisition: Acquisition;
}

/** @internal */
export class LeaseWriter {
    private readonly options: OwnershipOptions;
    private readonly directory: ShardDirectory;
    private readonly pendingAcquisitions = new Map<ShardId, PendingAcquisition>();

    constructor(options: OwnershipOptions, directory: ShardDirectory) {
        this.options = options;
        this.directory = directory;
    }

    /** Renews all leases in one transaction, without those whose rows conflict. Returns the shards that are lost. */
    async renew(held: readonly HeldShard[]): Promise<readonly HeldShard[]> {
        await this.readUnknownRosterVersions(held);
        const lost: HeldShard[] = [];
        let remaining = [...held];
        // Each round settles or removes at least one shard, which bounds the number of rounds.
        for (let round = 0; round <= held.length && remaining.length > 0; round++) {
            const { id, outcome } = await this.sendRenewal(remaining);
            if (outcome.isErr()) {
                this.dropAttemptsWithoutEffect(remaining, id, outcome.error);
                return lost;
            }
            if (outcome.value.committed) {
                settleAttempts(remaining, id, outcome.value.versions);
                return lost;
            }
            const conflict = outcome.value;
            remaining.forEach(shard => shard.dropAttempt(id));
            const newlyLost = remaining.filter(shard => !this.isStillHeld(shard, conflict.conflicts, conflict.rows));
            lost.push(...newlyLost);
            remaining = remaining.filter(shard => !newlyLost.includes(shard));
        }
        return lost;
    }

    /** Compares a held shard with its row as read. Returns whether the shard is still held. */
    reconcile(held: HeldShard, row: TableRow | undefined): boolean {
        if (row === undefined || row.version <= held.version) {
            return true;
        }
        return held.settleAttempt(row.transactionId, row.version, undefined);
    }

    /** Returns the shard if the row shows that an earlier acquisition with an unknown outcome took effect. */
    takeSettledAcquisition(shard: ShardId, observation: RowObservation): HeldShard | undefined {
        const pending = this.pendingAcquisitions.get(shard);
        if (pending?.transactionId !== observation.transactionId) {
            return undefined;
        }
        this.pendingAcquisitions.delete(shard);
        return new HeldShard({ ...pending.acquisition, version: observation.version }, this.options.durations);
    }

    /** Acquires the shard under the next epoch. `undefined` if another process was faster or the table is down. */
    async acquire(shard: ShardId, observation: RowObservation): Promise<HeldShard | undefined> {
        const { table, timers, durations, nextTransactionId } = this.options;
        const roster = await table.read(shardRosterKey(shard));
        const epochRow = await table.read(shardEpochKey(shard));
        if (roster.isErr() || epochRow.isErr()) {
            return undefined;
        }
        const previous = observation.value;
        const knownEpoch = Math.max(
            previous?.epoch ?? 0,
            parseEpoch(epochRow.value),
            this.directory.highestEpoch(shard),
        );
        const acquisition: Acquisition = {
            shard,
            epoch: knownEpoch + 1,
            version: observation.version + 1,
            sentAt: timers.now(),
            roster: parseRoster(roster.value),
            rosterVersion: roster.value?.version ?? 0,
            isTakeover: previous?.state === ShardRowState.Held || previous?.takeoverPending === true,
        };
        const id = nextTransactionId();
        const outcome = await this.transact({
            id,
            conditions: [],
            writes: [
                { key: shardKey(shard), expectedVersion: observation.version, value: this.heldValue(knownEpoch + 1) },
                {
                    key: shardEpochKey(shard),
                    expectedVersion: epochRow.value?.version ?? 0,
                    value: { epoch: knownEpoch + 1 },
                },
            ],
        });
        if (outcome.isErr()) {
            return await this.resolveFailedAcquisition(outcome.error, { transactionId: id, acquisition });
        }
        if (!outcome.value.committed) {
            outcome.value.rows.filter(row => row.key === shardKey(shard))
                .forEach(row => this.directory.observe(shard, row, timers.now()));
            return undefined;
        }
        const version = outcome.value.versions[shardKey(shard)] ?? acquisition.version;
        return new HeldShard({ ...acquisition, version }, durations);
    }

    /**
     * Writes the release and retries until its outcome is known or the deadline has passed. Makes at least one attempt.
     */
    async release(held: HeldShard, successor: string | undefined, deadline: number): Promise<void> {
        const { timers, durations, nextTransactionId } = this.options;
        for (;;) {
            const id = nextTransactionId();
            held.beginAttempt(id, { sentAt: timers.now(), roster: held.storedRoster, includesRoster: false });
            const outcome = await this.transact({
                id,
                conditions: [],
                writes: [{
                    key: shardKey(held.shard),
                    expectedVersion: held.version,
                    value: this.releasedValue(held, successor),
                }],
            });
            if (outcome.isOk() && this.isReleaseSettled(held, outcome.value)) {
                return;
            }
            if (timers.now() >= deadline) {
                return;
            }
            if (outcome.isErr()) {
                await sleep(timers, Math.min(durations.renewal / 4, deadline - timers.now()));
            }
        }
    }

    private isReleaseSettled(held: HeldShard, outcome: TransactionOutcome): boolean {
        if (outcome.committed) {
            return true;
        }
        const row = outcome.rows.find(candidate => candidate.key === shardKey(held.shard));
        const isOwnWrite = row !== undefined && held.settleAttempt(row.transactionId, row.version, undefined);
        return !isOwnWrite || parseShardRow(row)?.state === ShardRowState.Released;
    }

    private async sendRenewal(
        held: readonly HeldShard[],
    ): Promise<{ id: string; outcome: Result<TransactionOutcome, ServiceError>; }> {
        const id = this.options.nextTransactionId();
        const sentAt = this.options.timers.now();
        const writes = held.flatMap(shard => {
            const writesRoster = shard.rosterVersion !== undefined && shard.shouldWriteRoster(sentAt);
            const roster = writesRoster ? shard.desiredRoster : shard.storedRoster;
            shard.beginAttempt(id, { sentAt, roster, includesRoster: writesRoster });
            return this.renewalWrites(shard, writesRoster ? shard.rosterVersion : undefined);
        });
        return { id, outcome: await this.transact({ id, conditions: [], writes }) };
    }

    private renewalWrites(held: HeldShard, rosterVersion: number | undefined): ConditionalWrite[] {
        const lease: ConditionalWrite = {
            key: shardKey(held.shard),
            expectedVersion: held.version,
            value: this.heldValue(held.epoch),
        };
        return rosterVersion === undefined ? [lease] : [lease, {
            key: shardRosterKey(held.shard),
            expectedVersion: rosterVersion,
            value: { workers: held.desiredRoster },
        }];
    }

    /**
     * Whether a shard is still held after a conflict of the renewal. The conflict may stem from an earlier attempt of
     * this process or from the roster row.
     */
    private isStillHeld(held: HeldShard, conflicts: readonly string[], rows: readonly TableRow[]): boolean {
        if (!conflicts.includes(shardKey(held.shard))) {
            if (conflicts.includes(shardRosterKey(held.shard))) {
                held.rosterVersion = undefined;
            }
            return true;
        }
        const row = rows.find(candidate => candidate.key === shardKey(held.shard));
        if (row !== undefined && held.settleAttempt(row.transactionId, row.version, undefined)) {
            return true;
        }
        this.directory.observe(held.shard, row, this.options.timers.now());
        return false;
    }

    private dropAttemptsWithoutEffect(held: readonly HeldShard[], id: string, error: ServiceError): void {
        if (error.kind === ErrorKind.StoreUnavailable) {
            held.forEach(shard => shard.dropAttempt(id));
        }
    }

    private async resolveFailedAcquisition(
        error: ServiceError,
        pending: PendingAcquisition,
    ): Promise<HeldShard | undefined> {
        if (error.kind === ErrorKind.StoreUnavailable) {
            return undefined;
        }
        const { shard } = pending.acquisition;
        this.pendingAcquisitions.set(shard, pending);
        const row = await this.options.table.read(shardKey(shard));
        if (row.isErr() || row.value === undefined) {
            return undefined;
        }
        return this.takeSettledAcquisition(shard, this.directory.observe(shard, row.value, this.options.timers.now()));
    }

    private async readUnknownRosterVersions(held: readonly HeldShard[]): Promise<void> {
        for (const shard of held.filter(candidate => candidate.rosterVersion === undefined)) {
            const row = await this.options.table.read(shardRosterKey(shard.shard));
            if (row.isOk()) {
                shard.rosterVersion = row.value?.version ?? 0;
            }
        }
    }

    /** Without an answer within the length of a lease, the outcome of the call counts as unknown. */
    private async transact(transaction: TableTransaction): Promise<Result<TransactionOutcome, ServiceError>> {
        const { timers, table, durations } = this.options;
        const outcome = await withDeadline(timers, durations.lease, table.transact(transaction));
        return outcome
            ?? err(
                serviceError(
                    ErrorKind.StoreOutcomeUnknown,
                    `The table did not answer within ${durations.lease} ms, the length of a lease.`,
                ),
            );
    }

    private heldValue(epoch: number): ShardRowValue {
        const { nodeId, durations } = this.options;
        return { owner: nodeId, epoch, leaseMilliseconds: durations.lease, state: ShardRowState.Held };
    }

    private releasedValue(held: HeldShard, successor: string | undefined): ShardRowValue {
        return {
            ...this.heldValue(held.epoch),
            state: ShardRowState.Released,
            ...(successor === undefined ? {} : { successor }),
            ...(held.isTakeoverSettled(this.options.timers.now()) ? {} : { takeoverPending: true }),
        };
    }
}

function settleAttempts(held: readonly HeldShard[], id: string, versions: Readonly<Record<string, number>>): void {
    for (const shard of held) {
        const version = versions[shardKey(shard.shard)];
        if (version !== undefined) {
            shard.settleAttempt(id, version, versions[shardRosterKey(shard.shard)]);
        }
    }
}
