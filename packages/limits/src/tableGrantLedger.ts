/** Grants in the platform's table. Calls by the scheduler touch memory only; rows are read and written periodically. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { Subscription } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { GrantLedger, GrantState, LimitExcess } from "./grantLedger.ts";
import type { GrantLedgerOptions } from "./grantLedgerOptions.ts";
import { GrantRows } from "./grantRows.ts";
import { readWants, teamsOfRow, wantsKey } from "./grantWants.ts";
import { reclaimShard } from "./reclaim.ts";
import { claimEpoch, staleEpoch } from "./shardEpoch.ts";
import { ShardGrants } from "./shardGrants.ts";
import type { TeamGrant } from "./teamGrant.ts";

/** Poll periods after which the rows as last read may no longer show what the other shards have paid of a debt. */
const FRESH_POLLS = 2;

export class TableGrantLedger implements GrantLedger {
    private readonly options: GrantLedgerOptions;
    private readonly rows: GrantRows;
    private readonly shards = new Map<ShardId, ShardGrants>();
    private readonly subscriptions: Subscription[];
    private polling = false;
    /** Time from which the rows of all indebted teams are known, as far as this process holds grants of them. */
    private readAt = Number.NEGATIVE_INFINITY;
    /** Teams that some shard waited for when the wants were last read. */
    private contested: ReadonlySet<string> = new Set();
    private allReadAt = Number.NEGATIVE_INFINITY;

    constructor(options: GrantLedgerOptions) {
        this.options = options;
        this.rows = new GrantRows(options.table, team => this.shards.forEach(shard => shard.rowChanged(team)));
        this.subscriptions = [
            options.timers.every(options.pollMilliseconds, () => this.poll()),
            options.timers.every(options.idleMilliseconds / 2, () => this.rotatePeaks()),
        ];
    }

    /**
     * Upper limits of all teams in one configuration version. Only the highest version counts; the rows keep it, so
     * that a process with an older configuration can't raise a limit again. A lowered limit blocks new work at once.
     */
    setTeamLimits(limits: Readonly<Record<string, number>>, version: number): void {
        const lowered = this.rows.setLimits(limits, version);
        this.shards.forEach(shard => shard.request());
        if (lowered.length > 0) {
            // The shards write the new limit within this time, and learn the current rows by it, unless the table is down.
            this.options.timers.after(this.options.pollMilliseconds, () => this.rows.settleLowered(lowered));
        }
    }

    async open(shard: ShardId, epoch: number): Promise<Result<void, ServiceError>> {
        const grants = this.entry(shard);
        grants.epoch = epoch;
        const { table, nextTransactionId } = this.options;
        const condition = await claimEpoch(table, shard, epoch, nextTransactionId());
        if (condition.isErr()) {
            return err(condition.error);
        }
        // After the epoch was claimed no earlier owner can change the shard's part of a row, so what is read now holds.
        const read = await this.readAll();
        if (read.isErr()) {
            return err(read.error);
        }
        if (grants.closed) {
            return err(serviceError(ErrorKind.NotOwner, `Shard ${shard} was closed meanwhile.`));
        }
        this.rows.teams().forEach(team => grants.rowChanged(team));
        grants.condition = condition.value;
        grants.request();
        return ok(undefined);
    }

    close(shard: ShardId): void {
        this.shards.get(shard)?.close();
        this.shards.delete(shard);
    }

    reserve(shard: ShardId, team: string): Result<void, ServiceError> {
        const grants = this.shards.get(shard);
        if (grants === undefined) {
            return err(serviceError(ErrorKind.NotOwner, `Shard ${shard} is not open here.`));
        }
        if (grants.closed) {
            return err(staleEpoch(shard, grants.epoch ?? 0, (grants.epoch ?? 0) + 1));
        }
        if (grants.condition === undefined) {
            return err(serviceError(ErrorKind.ShardNotReady, `The grants of shard ${shard} are being read.`));
        }
        const grant = grants.team(team);
        if (grant.reserve()) {
            return ok(undefined);
        }
        grants.request();
        const detail = { team, shard, granted: grant.grantedUnits, used: grant.used };
        return err(
            serviceError(ErrorKind.TeamLimitReached, `Team ${team} has no unit left in shard ${shard}.`, detail),
        );
    }

    /** May be called before `open` resolves. */
    adopt(shard: ShardId, team: string): void {
        this.change(shard, team, grant => grant.used++);
    }

    release(shard: ShardId, team: string): void {
        const grants = this.shards.get(shard);
        const grant = grants?.teams.get(team);
        if (grants === undefined || grant === undefined) {
            return;
        }
        grant.used = Math.max(0, grant.used - 1);
        if (grants.isContested(team)) {
            grants.request();
        }
    }

    /** Replaces the number held back before; may be called before `open` resolves. */
    holdBack(shard: ShardId, team: string, units: number): void {
        this.change(shard, team, grant => grant.heldBack = units);
    }

    want(shard: ShardId, team: string, units: number): void {
        this.change(shard, team, grant => grant.wanted = units);
    }

    excess(shard: ShardId): readonly LimitExcess[] {
        const { timers, pollMilliseconds } = this.options;
        const grants = this.shards.get(shard);
        const fresh = timers.now() - this.readAt <= FRESH_POLLS * pollMilliseconds;
        return fresh && grants?.condition !== undefined && !grants.closed ? grants.excess(this.readAt) : [];
    }

    state(): readonly GrantState[] {
        return [...this.shards.values()].flatMap(({ shard, teams }) =>
            [...teams].map(([team, grant]) => ({
                shard,
                team,
                granted: grant.grantedUnits,
                used: grant.busy,
                wanted: grant.wanted,
            }))
        );
    }

    /**
     * Returns the units of a lost shard to the free ones. Only to be called after the leases of its owner and of all its
     * tasks have provably ended.
     */
    async reclaim(shard: ShardId): Promise<Result<number, ServiceError>> {
        if (this.shards.has(shard)) {
            return err(serviceError(ErrorKind.InvalidRequest, `Shard ${shard} is owned here and can't be reclaimed.`));
        }
        return await reclaimShard(this.options.table, shard, this.options.nextTransactionId);
    }

    /** The grants stay with the shards for their next owner. */
    [Symbol.asyncDispose](): Promise<void> {
        this.subscriptions.forEach(subscription => subscription[Symbol.dispose]());
        [...this.shards.keys()].forEach(shard => this.close(shard));
        return Promise.resolve();
    }

    private change(shard: ShardId, team: string, apply: (grant: TeamGrant) => void): void {
        const grants = this.entry(shard);
        const grant = grants.team(team);
        const before = grant.busy + grant.need;
        apply(grant);
        grant.notePeak();
        if (grant.busy + grant.need !== before) {
            grants.request();
        }
    }

    private entry(shard: ShardId): ShardGrants {
        let grants = this.shards.get(shard);
        if (grants === undefined || grants.closed) {
            const { options, rows } = this;
            const superseded = (grants: ShardGrants): void => this.supersede(grants);
            grants = new ShardGrants(shard, options, rows, superseded, () => this.poll());
            this.shards.set(shard, grants);
        }
        return grants;
    }

    private supersede(grants: ShardGrants): void {
        grants.close();
        this.options.superseded?.(grants.shard, grants.epoch ?? 0);
    }

    /** Reads the rows for which something may have to be done; the rest is right enough until a write corrects it. */
    private async poll(): Promise<void> {
        if (this.polling || this.shards.size === 0) {
            return;
        }
        this.polling = true;
        const { timers, readAllMilliseconds } = this.options;
        if (timers.now() - this.allReadAt >= readAllMilliseconds) {
            await this.readAll();
        }
        await this.readContested();
        this.polling = false;
        this.shards.forEach(shard => shard.request());
    }

    private async readAll(): Promise<Result<void, ServiceError>> {
        const beganAt = this.options.timers.now();
        const read = await this.rows.readAll();
        if (read.isOk()) {
            this.allReadAt = beganAt;
            this.readAt = Math.max(this.readAt, beganAt);
        }
        return read;
    }

    private async readContested(): Promise<void> {
        const beganAt = this.options.timers.now();
        const wants = await readWants(this.options.table);
        if (wants.isErr()) {
            return;
        }
        for (const shard of this.shards.values()) {
            shard.wantsRead(wants.value.find(row => row.key === wantsKey(shard.shard)));
        }
        const contested = new Set(wants.value.flatMap(teamsOfRow));
        // A team that was contested until now is read once more, since its row no longer names the wants.
        const watched = new Set([...contested, ...this.contested]);
        this.contested = contested;
        const known = [...this.shards.values()].flatMap(({ teams }) => [...teams.keys()]);
        const indebted = known.filter(team => this.rows.inDebt(team));
        const isHere = new Set(known);
        const read = await this.rows.readTeams([
            ...new Set([...[...watched].filter(team => isHere.has(team)), ...indebted]),
        ]);
        if (read.isOk()) {
            this.readAt = Math.max(this.readAt, beganAt);
        }
    }

    private rotatePeaks(): void {
        this.shards.forEach(shard => shard.teams.forEach(grant => grant.rotatePeak()));
    }
}
