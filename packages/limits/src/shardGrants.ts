/**
 * Grants of one shard: the usage of each team, and the transactions that change the shard's part of the grant rows. At
 * most one transaction is in flight, and apart from the retries after a conflict at most one is sent per second.
 */
import { ErrorKind } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableRow, TransactionOutcome } from "@tanagerlink/platform";
import { sleep, type Subscription, withDeadline } from "@tanagerlink/timers";
import { DemandRow } from "./demandRow.ts";
import type { LimitExcess } from "./grantLedger.ts";
import type { GrantLedgerOptions } from "./grantLedgerOptions.ts";
import { type GrantUsage, planGrant } from "./grantPlan.ts";
import { grantKey, type GrantRowValue, unitsToReturn, withLimit } from "./grantRow.ts";
import type { GrantRowCache } from "./grantRowCache.ts";
import { TeamGrant } from "./teamGrant.ts";

/** Changes of the demand within this time are combined in one transaction. */
const BATCHING_MILLISECONDS = 10;
/** Base of the randomized exponential backoff after a conflict; without it, shards retry in lockstep. */
const CONFLICT_BACKOFF_MILLISECONDS = 20;
/**
 * Attempts of a transaction whose rows conflict; after the last one the shard waits for the next transaction interval.
 * The first attempt often conflicts with changes that other shards made since the rows were read; the answer contains
 * the new rows.
 */
const MAXIMUM_TRANSACTION_ATTEMPTS = 5;
/** Without an answer within this time, the outcome of a transaction counts as unknown. */
const TRANSACTION_TIMEOUT_MILLISECONDS = 10_000;
/**
 * Time within which owners return their idle units after a debt begins: a poll of the configuration and the minimum
 * interval between two transactions. Without this wait, fully used shards stopped tasks while others held idle units.
 */
const IDLE_RETURN_MILLISECONDS = 2_000;
const MAXIMUM_TRANSACTION_ROWS = 500;

interface PlannedWrite {
    readonly team: string;
    readonly grant: TeamGrant;
    readonly row: GrantRowValue;
    readonly version: number;
}

/** @internal */
export class ShardGrants {
    readonly shard: ShardId;
    epoch: number | undefined;
    /** Makes each transaction conditional on the epoch of the shard; set once the shard is open. */
    epochCondition: RowCondition | undefined;
    isClosed = false;
    readonly teamGrants = new Map<string, TeamGrant>();
    private readonly options: GrantLedgerOptions;
    private readonly rows: GrantRowCache;
    private readonly demandRow: DemandRow;
    private readonly onOwnershipLost: (shard: ShardGrants) => void;
    private readonly refreshRows: () => Promise<void>;
    private scheduledTransaction: Subscription | undefined;
    private isTransactionRunning = false;
    private isTransactionRequested = false;
    private lastTransactionAt = Number.NEGATIVE_INFINITY;

    constructor(
        shard: ShardId,
        options: GrantLedgerOptions,
        rows: GrantRowCache,
        onOwnershipLost: (shard: ShardGrants) => void,
        refreshRows: () => Promise<void>,
    ) {
        this.shard = shard;
        this.options = options;
        this.rows = rows;
        this.demandRow = new DemandRow(shard);
        this.onOwnershipLost = onOwnershipLost;
        this.refreshRows = refreshRows;
    }

    getOrCreateTeamGrant(team: string): TeamGrant {
        let grant = this.teamGrants.get(team);
        if (grant === undefined) {
            grant = new TeamGrant();
            this.teamGrants.set(team, grant);
            this.onRowChanged(team);
        }
        return grant;
    }

    /** Applies the newest known version of a team's grant row. */
    onRowChanged(team: string): void {
        const known = this.rows.get(team);
        const grant = this.teamGrants.get(team);
        if (known === undefined) {
            return;
        }
        if (grant === undefined) {
            if ((known.value.grants[this.shard] ?? 0) + (known.value.wants[this.shard] ?? 0) > 0) {
                this.getOrCreateTeamGrant(team);
            }
            return;
        }
        grant.observe(this.shard, known.value, known.version);
        grant.isInDebt = this.rows.isInDebt(team);
        if (!grant.isInDebt) {
            grant.debtSince = undefined;
        }
        else if (grant.debtSince === undefined) {
            grant.debtSince = this.options.timers.now();
            this.options.timers.after(IDLE_RETURN_MILLISECONDS, () => this.isClosed ? undefined : this.refreshRows());
        }
    }

    /** Applies the shard's demand row as read; ignored during a transaction, whose answer is more recent. */
    onDemandRowRead(row: TableRow | undefined): void {
        if (!this.isTransactionRunning) {
            this.demandRow.observe(row);
        }
    }

    /**
     * Whether other shards wait for units of the team or its row is in debt, so that ended units should be returned.
     */
    isContested(team: string): boolean {
        const row = this.rows.get(team)?.value;
        return row !== undefined
            && (this.rows.isInDebt(team) || Object.keys(row.wants).some(shard => shard !== this.shard));
    }

    /**
     * Teams that use more units than their grant less the shard's part of the debt. Counts only limits that are already
     * stored in the row, since the row divides the debt. Does not count unconfirmed units, which may have ended.
     * `readAt` is the time of the last read of the rows, which must be late enough to show the idle units that other
     * shards returned.
     */
    limitExcesses(readAt: number): readonly LimitExcess[] {
        const excesses: LimitExcess[] = [];
        for (const [team, grant] of this.teamGrants) {
            const row = this.rows.get(team)?.value;
            const limit = this.rows.limitOf(team);
            const isCurrent = row !== undefined && withLimit(row, limit) === row;
            const isSettled = readAt >= (grant.debtSince ?? Number.POSITIVE_INFINITY) + IDLE_RETURN_MILLISECONDS;
            const due = isCurrent && isSettled ? unitsToReturn(row, this.shard) : 0;
            const units = due === 0 ? 0 : grant.usedUnits - (grant.grantedUnits - due);
            if (limit !== undefined && units > 0) {
                excesses.push({ team, units, limitVersion: limit.version });
            }
        }
        return excesses;
    }

    /** Schedules a transaction for the earliest time that the transaction interval permits. */
    requestTransaction(): void {
        this.isTransactionRequested = true;
        if (
            this.scheduledTransaction?.active === true || this.isTransactionRunning || this.isClosed
            || this.epochCondition === undefined
        ) {
            return;
        }
        const { timers, transactionIntervalMilliseconds } = this.options;
        const delay = Math.max(
            BATCHING_MILLISECONDS,
            this.lastTransactionAt + transactionIntervalMilliseconds - timers.now(),
        );
        this.scheduledTransaction = timers.after(delay, () => this.runTransaction());
    }

    close(): void {
        this.isClosed = true;
        this.scheduledTransaction?.[Symbol.dispose]();
    }

    private async runTransaction(): Promise<void> {
        this.scheduledTransaction?.[Symbol.dispose]();
        this.scheduledTransaction = undefined;
        this.isTransactionRunning = true;
        this.isTransactionRequested = false;
        try {
            await this.transact();
        }
        finally {
            this.isTransactionRunning = false;
            // Refused reservations count in all attempts of one transaction, but not in later transactions.
            this.teamGrants.forEach(grant => grant.refusedReservations = 0);
        }
        if (this.isTransactionRequested) {
            this.requestTransaction();
        }
    }

    private async transact(): Promise<void> {
        for (let attempt = 0; attempt < MAXIMUM_TRANSACTION_ATTEMPTS && !this.isClosed; attempt++) {
            if (attempt > 0) {
                const random = this.options.random ?? Math.random;
                await sleep(this.options.timers, CONFLICT_BACKOFF_MILLISECONDS * random() * 2 ** attempt);
            }
            const planned = this.planWrites();
            const { timers, table, nextTransactionId } = this.options;
            const demandWrite = this.demandRow.planWrite(this.teamsWithDemand(planned), timers.now());
            if ((planned.length === 0 && demandWrite === undefined) || this.epochCondition === undefined) {
                return;
            }
            this.lastTransactionAt = timers.now();
            const writes = [...planned.map(toConditionalWrite), ...(demandWrite === undefined ? [] : [demandWrite])];
            const transaction = table.transact({ id: nextTransactionId(), conditions: [this.epochCondition], writes });
            const outcome = await withDeadline(timers, TRANSACTION_TIMEOUT_MILLISECONDS, transaction);
            if (outcome === undefined || outcome.isErr()) {
                const isOutcomeUnknown = outcome === undefined || outcome.error.kind !== ErrorKind.StoreUnavailable;
                planned.forEach(({ grant }) => isOutcomeUnknown ? grant.markWriteUnresolved() : grant.endWrite());
                this.isTransactionRequested = true;
                return;
            }
            this.demandRow.applyOutcome(demandWrite, outcome.value);
            this.applyOutcome(planned, outcome.value);
            if (outcome.value.committed) {
                // A shortage is covered in several steps; the plan after the last step is empty and ends the sequence.
                this.isTransactionRequested = true;
                return;
            }
        }
    }

    private applyOutcome(planned: readonly PlannedWrite[], outcome: TransactionOutcome): void {
        if (outcome.committed) {
            for (const { team, row, version } of planned) {
                this.rows.observe(team, row, outcome.versions[grantKey(team)] ?? version + 1);
            }
        }
        else {
            outcome.rows.forEach(row => this.rows.observeRow(row));
            if (outcome.conflicts.includes(this.epochCondition?.key ?? "")) {
                this.onOwnershipLost(this);
            }
        }
        planned.forEach(({ grant }) => grant.endWrite());
    }

    /** Teams for whose units the shard waits once the planned rows are written, ordered by name. */
    private teamsWithDemand(planned: readonly PlannedWrite[]): readonly string[] {
        const rows = new Map(planned.map(({ team, row }) => [team, row]));
        return [...this.teamGrants.keys()]
            .filter(team => ((rows.get(team) ?? this.rows.get(team)?.value)?.wants[this.shard] ?? 0) > 0)
            .sort();
    }

    private usageOf(grant: TeamGrant): GrantUsage {
        const { occupiedUnits, demand, peak, isTurnOver, isCoolingDown } = grant;
        return { shard: this.shard, occupiedUnits, demand, peak, isTurnOver, isCoolingDown };
    }

    /** Plans the writes of a transaction. Lowers the usable units before the transaction that returns them is sent. */
    private planWrites(): readonly PlannedWrite[] {
        const planned: PlannedWrite[] = [];
        for (const [team, grant] of this.teamGrants) {
            const known = this.rows.get(team);
            if (known === undefined || planned.length === MAXIMUM_TRANSACTION_ROWS) {
                continue;
            }
            const usage = this.usageOf(grant);
            const plan = planGrant(known.value, usage, this.rows.limitOf(team));
            grant.ceiling = plan.ceiling;
            const isFirst = known.version === 0 && usage.occupiedUnits + usage.demand > 0;
            if (plan.row !== known.value || grant.hasUnresolvedWrite || isFirst) {
                grant.beginWrite(this.shard, plan.row, known.version);
                planned.push({ team, grant, row: plan.row, version: known.version });
            }
        }
        return planned;
    }
}

function toConditionalWrite({ team, row, version }: PlannedWrite): ConditionalWrite {
    return { key: grantKey(team), expectedVersion: version, value: row };
}
