/**
 * Grant ledger in the platform's table. The scheduler's calls work on memory only; the rows are read and written
 * periodically. A team is in debt while more units are granted to its shards than its lowered limit allows.
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

/**
 * Age of the rows in poll periods above which no limit excesses are computed from them, since older rows may not show
 * which part of a debt other shards have returned.
 */
const MAXIMUM_READ_AGE_POLLS = 2;

export class TableGrantLedger implements GrantLedger {
    private readonly options: GrantLedgerOptions;
    private readonly rows: GrantRowCache;
    private readonly shards = new Map<ShardId, ShardGrants>();
    private readonly subscriptions: Subscription[];
    private isPolling = false;
    /** Start time of the last read that covered the rows of all indebted teams with grants in this process. */
    private debtsReadAt = Number.NEGATIVE_INFINITY;
    /** Teams for whose units any shard, here or elsewhere, waited when the demand rows were last read. */
    private teamsWithDemand: ReadonlySet<string> = new Set();
    private lastFullReadAt = Number.NEGATIVE_INFINITY;

    constructor(options: GrantLedgerOptions) {
        this.options = options;
        this.rows = new GrantRowCache(
            options.table,
            team => this.shards.forEach(shardGrants => shardGrants.onRowChanged(team)),
        );
        this.subscriptions = [
            options.timers.every(options.pollMilliseconds, () => this.poll()),
            // The peak usage covers the current and the previous half period, together at most the idle time.
            options.timers.every(options.idleMilliseconds / 2, () => this.startPeakPeriods()),
        ];
    }

    /**
     * Sets the upper limits of all teams in one configuration version. Only the highest version counts. The rows store
     * it, so that a process with an older configuration can't raise a limit again. A lowered limit blocks new work at
     * once.
     */
    setTeamLimits(limits: Readonly<Record<string, number>>, version: number): void {
        const lowered = this.rows.setLimits(limits, version);
        this.shards.forEach(shardGrants => shardGrants.requestTransaction());
        if (lowered.length > 0) {
            // Within one poll period the shards have written the new limit and received the current rows, unless the
            // table is down. Until then these teams count as indebted.
            this.options.timers.after(this.options.pollMilliseconds, () => this.rows.clearLowered(lowered));
        }
    }

    async open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>> {
        const shardGrants = this.getOrCreateShard(shard);
        shardGrants.epoch = epoch;
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
        if (shardGrants.isClosed) {
            return err(serviceError(ErrorKind.NotOwner, `Shard ${shard} was closed while its grants were being read.`));
        }
        this.rows.teams().forEach(team => shardGrants.onRowChanged(team));
        shardGrants.epochCondition = claimed.value;
        shardGrants.requestTransaction();
        return ok(undefined);
    }

    close(shard: ShardId): void {
        this.shards.get(shard)?.close();
        this.shards.delete(shard);
    }

    reserve(shard: ShardId, team: string): Result<void, ServiceError> {
        const shardGrants = this.shards.get(shard);
        if (shardGrants === undefined) {
            return err(
                serviceError(ErrorKind.NotOwner, `The grants of shard ${shard} are not managed by this process.`),
            );
        }
        if (shardGrants.isClosed) {
            // The epoch of the newer owner is not known here; the next epoch stands for it in the error detail.
            return err(staleEpoch(shard, shardGrants.epoch ?? 0, (shardGrants.epoch ?? 0) + 1));
        }
        if (shardGrants.epochCondition === undefined) {
            return err(serviceError(ErrorKind.ShardNotReady, `The grants of shard ${shard} have not been read yet.`));
        }
        const grant = shardGrants.getOrCreateTeamGrant(team);
        if (grant.reserve()) {
            return ok(undefined);
        }
        shardGrants.requestTransaction();
        const detail = { team, shard, granted: grant.grantedUnits, used: grant.usedUnits };
        return err(
            serviceError(
                ErrorKind.TeamLimitReached,
                `Shard ${shard} denies ${team} a unit: ${grant.occupiedUnits} occupied, ${grant.grantedUnits} granted.`,
                detail,
            ),
        );
    }

    /** May be called before `open` resolves. */
    addUsedUnit(shard: ShardId, team: string): void {
        this.updateUsage(shard, team, grant => grant.usedUnits++);
    }

    release(shard: ShardId, team: string): void {
        const shardGrants = this.shards.get(shard);
        const grant = shardGrants?.teamGrants.get(team);
        if (shardGrants === undefined || grant === undefined) {
            return;
        }
        grant.usedUnits = Math.max(0, grant.usedUnits - 1);
        if (shardGrants.isContested(team)) {
            shardGrants.requestTransaction();
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
        const shardGrants = this.shards.get(shard);
        const isFresh = timers.now() - this.debtsReadAt <= MAXIMUM_READ_AGE_POLLS * pollMilliseconds;
        return isFresh && shardGrants?.epochCondition !== undefined && !shardGrants.isClosed
            ? shardGrants.limitExcesses(this.debtsReadAt)
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
        const shardGrants = this.getOrCreateShard(shard);
        const grant = shardGrants.getOrCreateTeamGrant(team);
        const before = grant.occupiedUnits + grant.demand;
        apply(grant);
        grant.updatePeak();
        if (grant.occupiedUnits + grant.demand !== before) {
            shardGrants.requestTransaction();
        }
    }

    private getOrCreateShard(shard: ShardId): ShardGrants {
        let shardGrants = this.shards.get(shard);
        if (shardGrants === undefined || shardGrants.isClosed) {
            const { options, rows } = this;
            const onOwnershipLost = (shardGrants: ShardGrants): void => this.handleOwnershipLost(shardGrants);
            shardGrants = new ShardGrants(shard, options, rows, onOwnershipLost, () => this.poll());
            this.shards.set(shard, shardGrants);
        }
        return shardGrants;
    }

    private handleOwnershipLost(shardGrants: ShardGrants): void {
        shardGrants.close();
        this.options.onOwnershipLost?.(shardGrants.shard, shardGrants.epoch ?? 0);
    }

    /**
     * Reads the rows of teams with demand or debt, and at longer intervals all rows. The cached versions of other rows
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
        await this.readDemandedAndIndebtedRows();
        this.isPolling = false;
        this.shards.forEach(shardGrants => shardGrants.requestTransaction());
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

    private async readDemandedAndIndebtedRows(): Promise<void> {
        const startedAt = this.options.timers.now();
        const demandRows = await readDemandRows(this.options.table);
        if (demandRows.isErr()) {
            return;
        }
        for (const shardGrants of this.shards.values()) {
            shardGrants.onDemandRowRead(demandRows.value.find(row => row.key === demandRowKey(shardGrants.shard)));
        }
        const teamsWithDemand = new Set(demandRows.value.flatMap(teamsOfDemandRow));
        // The rows of teams whose demand is gone are read once more, to see that it is gone there too.
        const teamsToRead = new Set([...teamsWithDemand, ...this.teamsWithDemand]);
        this.teamsWithDemand = teamsWithDemand;
        const localTeams = [...this.shards.values()].flatMap(({ teamGrants }) => [...teamGrants.keys()]);
        const indebtedTeams = localTeams.filter(team => this.rows.isInDebt(team));
        const localTeamSet = new Set(localTeams);
        const read = await this.rows.readTeams([
            ...new Set([...[...teamsToRead].filter(team => localTeamSet.has(team)), ...indebtedTeams]),
        ]);
        if (read.isOk()) {
            this.debtsReadAt = Math.max(this.debtsReadAt, startedAt);
        }
    }

    private startPeakPeriods(): void {
        this.shards.forEach(shardGrants => shardGrants.teamGrants.forEach(grant => grant.startPeakPeriod()));
    }
}
