/**
 * Grant ledger in the platform's table. The scheduler's calls work on memory only; the rows are read and written
 * periodically.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import { demandRowKey, readDemandRows, teamsOfDemandRow } from "./demandRow.ts";
import type { GrantLedger, GrantState, LimitExcess } from "./grantLedger.ts";
import type { GrantLedgerOptions } from "./grantLedgerOptions.ts";
import { GrantRowCache } from "./grantRowCache.ts";
import { reclaimShard } from "./reclaim.ts";
import { claimEpoch, staleEpoch } from "./shardEpoch.ts";
import { ShardGrants } from "./shardGrants.ts";
import type { TeamGrant } from "./teamGrant.ts";

/** Rows that were read more poll periods ago may not show which part of a debt other shards have returned. */
const MAXIMUM_READ_AGE_POLLS = 2;

export class TableGrantLedger implements GrantLedger {
    private readonly options: GrantLedgerOptions;
    private readonly rows: GrantRowCache;
    private readonly shards = new Map<ShardId, ShardGrants>();
    private readonly subscriptions: Subscription[];
    private isPolling = false;
    /** Start time of the last read that covered the rows of all indebted teams with grants in this process. */
    private debtsReadAt = Number.NEGATIVE_INFINITY;
    /** Teams for whose units some shard waited when the demand rows were last read. */
    private contestedTeams: ReadonlySet<string> = new Set();
    private lastFullReadAt = Number.NEGATIVE_INFINITY;

    constructor(options: GrantLedgerOptions) {
        this.options = options;
        this.rows = new GrantRowCache(options.table, team => this.shards.forEach(shard => shard.onRowChanged(team)));
        this.subscriptions = [
            options.timers.every(options.pollMilliseconds, () => this.poll()),
            options.timers.every(options.idleMilliseconds / 2, () => this.rotatePeaks()),
        ];
    }

    /**
     * Sets the upper limits of all teams in one configuration version. Only the highest version counts. The rows store
     * it, so that a process with an older configuration can't raise a limit again. A lowered limit blocks new work at
     * once.
     */
    setTeamLimits(limits: Readonly<Record<string, number>>, version: number): void {
        const lowered = this.rows.setLimits(limits, version);
        this.shards.forEach(shard => shard.requestTransaction());
        if (lowered.length > 0) {
            // Unless the table is down, the shards write the new limit and get the current rows within this time.
            this.options.timers.after(this.options.pollMilliseconds, () => this.rows.clearLowered(lowered));
        }
    }

    async open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>> {
        const grants = this.getOrCreateShard(shard);
        grants.epoch = epoch;
        const { table, nextTransactionId } = this.options;
        const claimed = await claimEpoch(table, shard, epoch, nextTransactionId());
        if (claimed.isErr()) {
            return err(claimed.error);
        }
        // No earlier owner can change the shard's part of a row after the epoch was claimed, so this read stays valid.
        const read = await this.readAllRows();
        if (read.isErr()) {
            return err(read.error);
        }
        if (grants.isClosed) {
            return err(serviceError(ErrorKind.NotOwner, `Shard ${shard} was closed while its grants were being read.`));
        }
        this.rows.teams().forEach(team => grants.onRowChanged(team));
        grants.condition = claimed.value;
        grants.requestTransaction();
        return ok(undefined);
    }

    close(shard: ShardId): void {
        this.shards.get(shard)?.close();
        this.shards.delete(shard);
    }

    reserve(shard: ShardId, team: string): Result<void, ServiceError> {
        const grants = this.shards.get(shard);
        if (grants === undefined) {
            return err(
                serviceError(ErrorKind.NotOwner, `The grants of shard ${shard} are not managed by this process.`),
            );
        }
        if (grants.isClosed) {
            return err(staleEpoch(shard, grants.epoch ?? 0, (grants.epoch ?? 0) + 1));
        }
        if (grants.condition === undefined) {
            return err(serviceError(ErrorKind.ShardNotReady, `The grants of shard ${shard} have not been read yet.`));
        }
        const grant = grants.getOrCreateTeamGrant(team);
        if (grant.reserve()) {
            return ok(undefined);
        }
        grants.requestTransaction();
        const detail = { team, shard, granted: grant.grantedUnits, used: grant.usedUnits };
        return err(
            serviceError(
                ErrorKind.TeamLimitReached,
                `Team ${team} has no usable unit in shard ${shard}: ${grant.occupiedUnits}/${grant.grantedUnits} used.`,
                detail,
            ),
        );
    }

    /** May be called before `open` resolves. */
    countRunningUnit(shard: ShardId, team: string): void {
        this.updateUsage(shard, team, grant => grant.usedUnits++);
    }

    release(shard: ShardId, team: string): void {
        const grants = this.shards.get(shard);
        const grant = grants?.teamGrants.get(team);
        if (grants === undefined || grant === undefined) {
            return;
        }
        grant.usedUnits = Math.max(0, grant.usedUnits - 1);
        if (grants.isContested(team)) {
            grants.requestTransaction();
        }
    }

    /** Replaces the previous number; may be called before `open` resolves. */
    setUnconfirmedUnits(shard: ShardId, team: string, units: number): void {
        this.updateUsage(shard, team, grant => grant.unconfirmedUnits = units);
    }

    setDemand(shard: ShardId, team: string, units: number): void {
        this.updateUsage(shard, team, grant => grant.reportedDemand = units);
    }

    limitExcesses(shard: ShardId): readonly LimitExcess[] {
        const { timers, pollMilliseconds } = this.options;
        const grants = this.shards.get(shard);
        const isFresh = timers.now() - this.debtsReadAt <= MAXIMUM_READ_AGE_POLLS * pollMilliseconds;
        return isFresh && grants?.condition !== undefined && !grants.isClosed
            ? grants.limitExcesses(this.debtsReadAt)
            : [];
    }

    grantStates(): readonly GrantState[] {
        return [...this.shards.values()].flatMap(({ shard, teamGrants }) =>
            [...teamGrants].map(([team, grant]) => ({
                shard,
                team,
                granted: grant.grantedUnits,
                used: grant.occupiedUnits,
                wanted: grant.reportedDemand,
            }))
        );
    }

    /**
     * Returns the units of a lost shard to the free units and resolves to their number. Call it only when the leases of
     * the shard's owner and of all its tasks have provably ended.
     */
    async reclaim(shard: ShardId): Promise<Result<number, ServiceError>> {
        if (this.shards.has(shard)) {
            return err(
                serviceError(
                    ErrorKind.InvalidRequest,
                    `Shard ${shard} is owned by this process and can't be reclaimed.`,
                ),
            );
        }
        return await reclaimShard(this.options.table, shard, this.options.nextTransactionId);
    }

    /** The grants remain with the shards for their next owners. */
    [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        [...this.shards.keys()].forEach(shard => this.close(shard));
        return Promise.resolve();
    }

    private updateUsage(shard: ShardId, team: string, apply: (grant: TeamGrant) => void): void {
        const grants = this.getOrCreateShard(shard);
        const grant = grants.getOrCreateTeamGrant(team);
        const before = grant.occupiedUnits + grant.demand;
        apply(grant);
        grant.updatePeak();
        if (grant.occupiedUnits + grant.demand !== before) {
            grants.requestTransaction();
        }
    }

    private getOrCreateShard(shard: ShardId): ShardGrants {
        let grants = this.shards.get(shard);
        if (grants === undefined || grants.isClosed) {
            const { options, rows } = this;
            const onOwnershipLost = (grants: ShardGrants): void => this.handleOwnershipLost(grants);
            grants = new ShardGrants(shard, options, rows, onOwnershipLost, () => this.poll());
            this.shards.set(shard, grants);
        }
        return grants;
    }

    private handleOwnershipLost(grants: ShardGrants): void {
        grants.close();
        this.options.onOwnershipLost?.(grants.shard, grants.epoch ?? 0);
    }

    /**
     * Reads the contested and indebted rows, and at longer intervals all rows. The cached versions of other rows
     * suffice until a conflicting write brings the current ones.
     */
    private async poll(): Promise<void> {
        if (this.isPolling || this.shards.size === 0) {
            return;
        }
        this.isPolling = true;
        const { timers, fullReadMilliseconds } = this.options;
        if (timers.now() - this.lastFullReadAt >= fullReadMilliseconds) {
            await this.readAllRows();
        }
        await this.readContestedRows();
        this.isPolling = false;
        this.shards.forEach(shard => shard.requestTransaction());
    }

    private async readAllRows(): Promise<Result<void, ServiceError>> {
        const startedAt = this.options.timers.now();
        const read = await this.rows.readAll();
        if (read.isOk()) {
            this.lastFullReadAt = startedAt;
            this.debtsReadAt = Math.max(this.debtsReadAt, startedAt);
        }
        return read;
    }

    private async readContestedRows(): Promise<void> {
        const startedAt = this.options.timers.now();
        const demandRows = await readDemandRows(this.options.table);
        if (demandRows.isErr()) {
            return;
        }
        for (const shard of this.shards.values()) {
            shard.onDemandRowRead(demandRows.value.find(row => row.key === demandRowKey(shard.shard)));
        }
        const contested = new Set(demandRows.value.flatMap(teamsOfDemandRow));
        // The rows of teams that are no longer contested are read once more, to see that their demand is gone.
        const teamsToRead = new Set([...contested, ...this.contestedTeams]);
        this.contestedTeams = contested;
        const known = [...this.shards.values()].flatMap(({ teamGrants }) => [...teamGrants.keys()]);
        const indebted = known.filter(team => this.rows.isInDebt(team));
        const knownTeams = new Set(known);
        const read = await this.rows.readTeams([
            ...new Set([...[...teamsToRead].filter(team => knownTeams.has(team)), ...indebted]),
        ]);
        if (read.isOk()) {
            this.debtsReadAt = Math.max(this.debtsReadAt, startedAt);
        }
    }

    private rotatePeaks(): void {
        this.shards.forEach(shard => shard.teamGrants.forEach(grant => grant.rotatePeak()));
    }
}
