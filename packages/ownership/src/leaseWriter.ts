/**
 * Writes of shard rows: renewal, acquisition and release. Every write expects the version last seen. An answer that was
 * lost is settled by the identifier of the transaction in the row.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, TableRow, TableTransaction, TransactionAnswer } from "@tanagerlink/platform";
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
    private readonly pending = new Map<ShardId, PendingAcquisition>();

    constructor(options: OwnershipOptions, directory: ShardDirectory) {
        this.options = options;
        this.directory = directory;
    }

    /** Renews all leases in one transaction. Returns the shards that are lost; a conflict of one doesn't stop others. */
    async renew(held: readonly HeldShard[]): Promise<readonly HeldShard[]> {
        await this.readUnknownRosterVersions(held);
        const lost: HeldShard[] = [];
        let remaining = [...held];
        // Each round settles or loses at least one shard, so the number of rounds is bounded.
        for (let round = 0; round <= held.length && remaining.length > 0; round++) {
            const { id, answer } = await this.sendRenewal(remaining);
            if (answer.isErr()) {
                this.dropIfWithoutEffect(remaining, id, answer.error);
                return lost;
            }
            if (answer.value.committed) {
                settleAll(remaining, id, answer.value.versions);
                return lost;
            }
            const conflict = answer.value;
            remaining.forEach(shard => shard.dropAttempt(id));
            const newlyLost = remaining.filter(shard => !this.survives(shard, conflict.conflicts, conflict.rows));
            lost.push(...newlyLost);
            remaining = remaining.filter(shard => !newlyLost.includes(shard));
        }
        return lost;
    }

    /** Compares a held shard with its row as read. Returns whether it is still held. */
    reconcile(held: HeldShard, row: TableRow | undefined): boolean {
        if (row === undefined || row.version <= held.version) {
            return true;
        }
        return held.settleAttempt(row.transactionId, row.version, undefined);
    }

    /** An earlier acquisition that turns out to have taken effect. */
    settledAcquisition(shard: ShardId, observation: RowObservation): HeldShard | undefined {
        const pending = this.pending.get(shard);
        if (pending?.transactionId !== observation.transactionId) {
            return undefined;
        }
        this.pending.delete(shard);
        return new HeldShard({ ...pending.acquisition, version: observation.version }, this.options.durations);
    }

    /** Takes the shard over with the next epoch. `undefined` when another process was faster or the table is down. */
    async acquire(shard: ShardId, observation: RowObservation): Promise<HeldShard | undefined> {
        const { table, timers, durations, nextTransactionId } = this.options;
        const roster = await table.read(shardRosterKey(shard));
        const epochRow = await table.read(shardEpochKey(shard));
        if (roster.isErr() || epochRow.isErr()) {
            return undefined;
        }
        const former = observation.value;
        const known = Math.max(former?.epoch ?? 0, parseEpoch(epochRow.value), this.directory.highestEpoch(shard));
        const acquisition: Acquisition = {
            shard,
            epoch: known + 1,
            version: observation.version + 1,
            sentAt: timers.now(),
            roster: parseRoster(roster.value),
            rosterVersion: roster.value?.version ?? 0,
            afterTakeover: former?.state === ShardRowState.Held || former?.takeoverPending === true,
        };
        const id = nextTransactionId();
        const answer = await this.transact({
            id,
            conditions: [],
            writes: [
                { key: shardKey(shard), expectedVersion: observation.version, value: this.heldValue(known + 1) },
                {
                    key: shardEpochKey(shard),
                    expectedVersion: epochRow.value?.version ?? 0,
                    value: { epoch: known + 1 },
                },
            ],
        });
        if (answer.isErr()) {
            return await this.settleAcquisition(answer.error, { transactionId: id, acquisition });
        }
        if (!answer.value.committed) {
            answer.value.rows.filter(row => row.key === shardKey(shard))
                .forEach(row => this.directory.observe(shard, row, timers.now()));
            return undefined;
        }
        const version = answer.value.versions[shardKey(shard)] ?? acquisition.version;
        return new HeldShard({ ...acquisition, version }, durations);
    }

    /** Writes the release until it is known to be settled or the time is up. At least one attempt is made. */
    async release(held: HeldShard, successor: string | undefined, deadline: number): Promise<void> {
        const { timers, durations, nextTransactionId } = this.options;
        for (;;) {
            const id = nextTransactionId();
            held.beginAttempt(id, { sentAt: timers.now(), roster: held.storedRoster, wroteRoster: false });
            const answer = await this.transact({
                id,
                conditions: [],
                writes: [{
                    key: shardKey(held.shard),
                    expectedVersion: held.version,
                    value: this.releasedValue(held, successor),
                }],
            });
            if (answer.isOk() && this.isReleaseSettled(held, answer.value)) {
                return;
            }
            if (timers.now() >= deadline) {
                return;
            }
            if (answer.isErr()) {
                await sleep(timers, Math.min(durations.renewal / 4, deadline - timers.now()));
            }
        }
    }

    private isReleaseSettled(held: HeldShard, answer: TransactionAnswer): boolean {
        if (answer.committed) {
            return true;
        }
        const row = answer.rows.find(candidate => candidate.key === shardKey(held.shard));
        const own = row !== undefined && held.settleAttempt(row.transactionId, row.version, undefined);
        return !own || parseShardRow(row)?.state === ShardRowState.Released;
    }

    private async sendRenewal(
        held: readonly HeldShard[],
    ): Promise<{ id: string; answer: Result<TransactionAnswer, ServiceError>; }> {
        const id = this.options.nextTransactionId();
        const sentAt = this.options.timers.now();
        const writes = held.flatMap(shard => {
            const wroteRoster = shard.rosterVersion !== undefined && shard.rosterToWrite(sentAt);
            const roster = wroteRoster ? shard.desiredRoster : shard.storedRoster;
            shard.beginAttempt(id, { sentAt, roster, wroteRoster });
            return this.renewalWrites(shard, wroteRoster ? shard.rosterVersion : undefined);
        });
        return { id, answer: await this.transact({ id, conditions: [], writes }) };
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

    /** Whether a shard of a refused renewal is still held; its own earlier attempt may have caused the conflict. */
    private survives(held: HeldShard, conflicts: readonly string[], rows: readonly TableRow[]): boolean {
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

    private dropIfWithoutEffect(held: readonly HeldShard[], id: string, error: ServiceError): void {
        if (error.kind === ErrorKind.StoreUnavailable) {
            held.forEach(shard => shard.dropAttempt(id));
        }
    }

    private async settleAcquisition(
        error: ServiceError,
        pending: PendingAcquisition,
    ): Promise<HeldShard | undefined> {
        if (error.kind === ErrorKind.StoreUnavailable) {
            return undefined;
        }
        const { shard } = pending.acquisition;
        this.pending.set(shard, pending);
        const row = await this.options.table.read(shardKey(shard));
        if (row.isErr() || row.value === undefined) {
            return undefined;
        }
        return this.settledAcquisition(shard, this.directory.observe(shard, row.value, this.options.timers.now()));
    }

    private async readUnknownRosterVersions(held: readonly HeldShard[]): Promise<void> {
        for (const shard of held.filter(candidate => candidate.rosterVersion === undefined)) {
            const row = await this.options.table.read(shardRosterKey(shard.shard));
            if (row.isOk()) {
                shard.rosterVersion = row.value?.version ?? 0;
            }
        }
    }

    /** A call without an answer within a lease counts as one with an unknown outcome. */
    private async transact(transaction: TableTransaction): Promise<Result<TransactionAnswer, ServiceError>> {
        const { timers, table, durations } = this.options;
        const answer = await withDeadline(timers, durations.lease, table.transact(transaction));
        return answer
            ?? err(serviceError(ErrorKind.StoreOutcomeUnknown, "The table did not answer within the lease."));
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
            ...(held.takeoverSettled(this.options.timers.now()) ? {} : { takeoverPending: true }),
        };
    }
}

function settleAll(held: readonly HeldShard[], id: string, versions: Readonly<Record<string, number>>): void {
    for (const shard of held) {
        const version = versions[shardKey(shard.shard)];
        if (version !== undefined) {
            shard.settleAttempt(id, version, versions[shardRosterKey(shard.shard)]);
        }
    }
}
