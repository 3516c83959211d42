/**
 * The grants of one shard: the use of each team, and the transactions that change the shard's part of the rows. There is
 * at most one transaction under way, and at most one a second apart from the retries after a conflict.
 */
import { ErrorKind } from "@tanagerlink/errors";
import type { ShardId } from "@tanagerlink/model";
import type { ConditionalWrite, RowCondition, TableRow, TransactionAnswer } from "@tanagerlink/platform";
import { sleep, type Subscription, withDeadline } from "@tanagerlink/timers";
import type { LimitExcess } from "./grantLedger.ts";
import type { GrantLedgerOptions } from "./grantLedgerOptions.ts";
import { type GrantNeed, planGrant } from "./grantPlan.ts";
import { dueOf, grantKey, type GrantRowValue, withLimit } from "./grantRow.ts";
import type { GrantRows } from "./grantRows.ts";
import { OwnWants } from "./grantWants.ts";
import { TeamGrant } from "./teamGrant.ts";

/** Needs that arise within this time go into the same transaction. */
const COLLECT_MILLISECONDS = 10;
/** Longest pause before the first retry after a conflict, doubled with each; without it, shards retry in lockstep. */
const CONFLICT_PAUSE_MILLISECONDS = 20;
/**
 * Attempts of one transaction while its rows conflict; what is left waits for the next second. The first one often meets
 * rows that others changed since they were read, and learns them from the answer.
 */
const CONFLICT_ATTEMPTS = 5;
/** A transaction without an answer for this long counts as one with an unknown outcome. */
const ANSWER_MILLISECONDS = 10_000;
/**
 * Time after which the owners have given back idle units when a debt begins: a poll of the configuration and the least
 * time between two transactions. Without it, shards in full use stopped tasks for units that were idle in others.
 */
const IDLE_RETURN_MILLISECONDS = 2_000;
/** Rows in one transaction at most. */
const MAXIMUM_ROWS = 500;

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
    /** Condition on the shard's epoch; set when the shard is open. */
    condition: RowCondition | undefined;
    closed = false;
    readonly teams = new Map<string, TeamGrant>();
    private readonly options: GrantLedgerOptions;
    private readonly rows: GrantRows;
    private readonly ownWants: OwnWants;
    private readonly superseded: (shard: ShardGrants) => void;
    private readonly reread: () => Promise<void>;
    private scheduled: Subscription | undefined;
    private running = false;
    private requested = false;
    private lastAt = Number.NEGATIVE_INFINITY;

    constructor(
        shard: ShardId,
        options: GrantLedgerOptions,
        rows: GrantRows,
        superseded: (shard: ShardGrants) => void,
        reread: () => Promise<void>,
    ) {
        this.shard = shard;
        this.options = options;
        this.rows = rows;
        this.ownWants = new OwnWants(shard);
        this.superseded = superseded;
        this.reread = reread;
    }

    team(name: string): TeamGrant {
        let grant = this.teams.get(name);
        if (grant === undefined) {
            grant = new TeamGrant();
            this.teams.set(name, grant);
            this.rowChanged(name);
        }
        return grant;
    }

    /** Takes in the newest version of a team's row. */
    rowChanged(name: string): void {
        const known = this.rows.get(name);
        const grant = this.teams.get(name);
        if (known === undefined) {
            return;
        }
        if (grant === undefined) {
            if ((known.value.grants[this.shard] ?? 0) + (known.value.wants[this.shard] ?? 0) > 0) {
                this.team(name);
            }
            return;
        }
        grant.observe(this.shard, known.value, known.version);
        grant.inDebt = this.rows.inDebt(name);
        if (!grant.inDebt) {
            grant.debtSince = undefined;
        }
        else if (grant.debtSince === undefined) {
            grant.debtSince = this.options.timers.now();
            this.options.timers.after(IDLE_RETURN_MILLISECONDS, () => this.closed ? undefined : this.reread());
        }
    }

    /** Takes in the shard's own row of wants as it was read; a transaction under way knows it better. */
    wantsRead(row: TableRow | undefined): void {
        if (!this.running) {
            this.ownWants.observe(row);
        }
    }

    /** Whether others wait for units of the team, so that an ended unit should be offered. */
    isContested(name: string): boolean {
        const row = this.rows.get(name)?.value;
        return row !== undefined
            && (this.rows.inDebt(name) || Object.keys(row.wants).some(shard => shard !== this.shard));
    }

    /**
     * Teams whose use exceeds what is left of their grant after the shard's part of the debt. Only limits that the row
     * holds already count, since the row divides the debt. Units held back are not counted: they may have ended unseen.
     * `readAt` is the time of the last reading of the rows, which has to show the idle units that others gave back.
     */
    excess(readAt: number): readonly LimitExcess[] {
        const excess: LimitExcess[] = [];
        for (const [team, grant] of this.teams) {
            const row = this.rows.get(team)?.value;
            const limit = this.rows.limitOf(team);
            const current = row !== undefined && withLimit(row, limit) === row;
            const settled = readAt >= (grant.debtSince ?? Number.POSITIVE_INFINITY) + IDLE_RETURN_MILLISECONDS;
            const due = current && settled ? dueOf(row, this.shard) : 0;
            const units = due === 0 ? 0 : grant.used - (grant.grantedUnits - due);
            if (limit !== undefined && units > 0) {
                excess.push({ team, units, limitVersion: limit.version });
            }
        }
        return excess;
    }

    /** Plans a transaction as soon as the rate allows one. */
    request(): void {
        this.requested = true;
        if (this.scheduled?.active === true || this.running || this.closed || this.condition === undefined) {
            return;
        }
        const { timers, transactionMilliseconds } = this.options;
        const delay = Math.max(COLLECT_MILLISECONDS, this.lastAt + transactionMilliseconds - timers.now());
        this.scheduled = timers.after(delay, () => this.run());
    }

    close(): void {
        this.closed = true;
        this.scheduled?.[Symbol.dispose]();
    }

    private async run(): Promise<void> {
        this.scheduled?.[Symbol.dispose]();
        this.scheduled = undefined;
        this.running = true;
        this.requested = false;
        try {
            await this.transact();
        }
        finally {
            this.running = false;
            // Refusals count once, but for all attempts of the transaction.
            this.teams.forEach(grant => grant.refused = 0);
        }
        if (this.requested) {
            this.request();
        }
    }

    private async transact(): Promise<void> {
        for (let attempt = 0; attempt < CONFLICT_ATTEMPTS && !this.closed; attempt++) {
            if (attempt > 0) {
                const random = this.options.random ?? Math.random;
                await sleep(this.options.timers, CONFLICT_PAUSE_MILLISECONDS * random() * 2 ** attempt);
            }
            const planned = this.plan();
            const { timers, table, nextTransactionId } = this.options;
            const wants = this.ownWants.plan(this.waitingTeams(planned), timers.now());
            if ((planned.length === 0 && wants === undefined) || this.condition === undefined) {
                return;
            }
            this.lastAt = timers.now();
            const writes = [...planned.map(toWrite), ...(wants === undefined ? [] : [wants])];
            const sent = table.transact({ id: nextTransactionId(), conditions: [this.condition], writes });
            const answer = await withDeadline(timers, ANSWER_MILLISECONDS, sent);
            if (answer === undefined || answer.isErr()) {
                const unknown = answer === undefined || answer.error.kind !== ErrorKind.StoreUnavailable;
                planned.forEach(({ grant }) => unknown ? grant.leaveUndecided() : grant.endWrite());
                this.requested = true;
                return;
            }
            this.ownWants.settle(wants, answer.value);
            this.settle(planned, answer.value);
            if (answer.value.committed) {
                // A need is met in steps; the plan after the last step is empty and ends the sequence.
                this.requested = true;
                return;
            }
        }
    }

    private settle(planned: readonly PlannedWrite[], answer: TransactionAnswer): void {
        if (answer.committed) {
            for (const { team, row, version } of planned) {
                this.rows.observe(team, row, answer.versions[grantKey(team)] ?? version + 1);
            }
        }
        else {
            answer.rows.forEach(row => this.rows.observeRow(row));
            if (answer.conflicts.includes(this.condition?.key ?? "")) {
                this.superseded(this);
            }
        }
        planned.forEach(({ grant }) => grant.endWrite());
    }

    /** Teams for whose units the shard waits once the planned rows are written, in name order. */
    private waitingTeams(planned: readonly PlannedWrite[]): readonly string[] {
        const rows = new Map(planned.map(({ team, row }) => [team, row]));
        return [...this.teams.keys()]
            .filter(team => ((rows.get(team) ?? this.rows.get(team)?.value)?.wants[this.shard] ?? 0) > 0)
            .sort();
    }

    private needOf(grant: TeamGrant): GrantNeed {
        const { busy, need, peak, turnIsOver, sitsOut } = grant;
        return { shard: this.shard, busy, wanted: need, peak, turnIsOver, sitsOut };
    }

    /** The use is lowered here, before the units that are given back are recorded. */
    private plan(): readonly PlannedWrite[] {
        const planned: PlannedWrite[] = [];
        for (const [team, grant] of this.teams) {
            const known = this.rows.get(team);
            if (known === undefined || planned.length === MAXIMUM_ROWS) {
                continue;
            }
            const need = this.needOf(grant);
            const plan = planGrant(known.value, need, this.rows.limitOf(team));
            grant.ceiling = plan.ceiling;
            const isFirst = known.version === 0 && need.busy + need.wanted > 0;
            if (plan.row !== known.value || grant.isUndecided || isFirst) {
                grant.beginWrite(this.shard, plan.row, known.version);
                planned.push({ team, grant, row: plan.row, version: known.version });
            }
        }
        return planned;
    }
}

function toWrite({ team, row, version }: PlannedWrite): ConditionalWrite {
    return { key: grantKey(team), expectedVersion: version, value: row };
}
