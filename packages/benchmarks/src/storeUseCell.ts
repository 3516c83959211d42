/** Processes of one failure domain on a counting table, with teams that use units and jobs that run through. */
import { TableJobStore } from "@tanagerlink/jobs";
import { defaultGrantDurations, TableGrantLedger } from "@tanagerlink/limits";
import { type JobRecord, jobSpecificationSchema, type ShardId, shardId } from "@tanagerlink/model";
import { defaultOwnershipDurations, Rendezvous, TableShardOwnership } from "@tanagerlink/ownership";
import { ManualTimers } from "@tanagerlink/timers";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CountingTable, type TableUse } from "./countingTable.ts";

/** Size of a cell. */
export interface StoreUseSize {
    readonly processes: number;
    readonly shards: number;
    readonly teams: number;
    /** Jobs a second of the whole cell, each with a submission key, two updates and its deletion. */
    readonly jobsPerSecond: number;
    /** Workers in the roster of each shard. */
    readonly workers: number;
}

const DOMAIN = "north";
const WARM_UP_MILLISECONDS = 60_000;
const START_SPREAD_MILLISECONDS = 2_000;
const TASK_MILLISECONDS = 2_000;
/** 230,000 running tasks over 490 teams and 22 shards. */
const UNITS_PER_TEAM_AND_SHARD = 21;
/** The use is kept within this distance of the mean. */
const UNITS_SPREAD = 10;
/** Upper limit of a team in relation to its mean use. */
const LIMIT_FACTOR = 1.3;

const rendezvous = await Rendezvous.load();

class Process {
    readonly ownership: TableShardOwnership;
    readonly ledger: TableGrantLedger;
    readonly jobs: TableJobStore;
    readonly open = new Map<ShardId, number>();

    constructor(name: string, names: readonly string[], shards: readonly ShardId[], cell: StoreUseCell) {
        const { timers, table, nextTransactionId } = cell;
        const common = { timers, table, nextTransactionId };
        this.ledger = new TableGrantLedger({ ...common, ...defaultGrantDurations, random: cell.nextRandom });
        this.ledger.setTeamLimits(cell.limits, 1);
        this.jobs = new TableJobStore(common);
        this.ownership = new TableShardOwnership({
            ...common,
            nodeId: name,
            failureDomain: DOMAIN,
            shards,
            rendezvous,
            durations: defaultOwnershipDurations,
            liveMembers: () => names,
        });
        this.ownership.start({
            onShardAcquired: ({ shard, epoch }) => void this.openShard(shard, epoch, cell),
            onOwnershipLost: shard => void this.open.delete(shard),
        });
    }

    private async openShard(shard: ShardId, epoch: number, { size }: StoreUseCell): Promise<void> {
        const workers = Array.from({ length: size.workers }, (_, index) => `${shard}-worker-${index}`);
        this.ownership.setRoster(shard, workers);
        await this.ledger.open(shard, epoch);
        await this.jobs.open(shard, epoch);
        this.open.set(shard, epoch);
    }
}

export class StoreUseCell {
    readonly timers = new ManualTimers();
    readonly table = new CountingTable();
    readonly size: StoreUseSize;
    readonly limits: Readonly<Record<string, number>>;
    readonly nextTransactionId = (): string => `transaction-${++this.transactions}`;
    private readonly processes: Process[] = [];
    private readonly random = xoroshiro128plus(7);
    readonly nextRandom = (): number => uniformFloat64(this.random);
    private readonly used = new Map<string, number>();
    private transactions = 0;
    private submitted = 0;

    constructor(size: StoreUseSize) {
        this.size = size;
        const teams = Array.from({ length: size.teams }, (_, index) => `team-${index}`);
        this.limits = Object.fromEntries(
            teams.map(team => [team, Math.ceil(size.shards * UNITS_PER_TEAM_AND_SHARD * LIMIT_FACTOR)]),
        );
    }

    /** Processes start at different times; in step, all of their transactions would conflict with one another. */
    private async startProcesses(): Promise<void> {
        const { processes, shards: shardCount } = this.size;
        const names = Array.from({ length: processes }, (_, index) => `process-${index}`);
        const shards = Array.from({ length: shardCount }, (_, index) => shardId(DOMAIN, index));
        for (const name of names) {
            this.processes.push(new Process(name, names, shards, this));
            await this.timers.advance(START_SPREAD_MILLISECONDS / processes);
        }
    }

    /** Use of the table per second, after a warm-up in which shards and grants settle. */
    async measure(seconds: number): Promise<TableUse> {
        await this.startProcesses();
        await this.timers.advance(WARM_UP_MILLISECONDS / 2);
        this.processes.forEach((process, index) => {
            // Processes act at different times; at the same instant all of their transactions would conflict.
            this.timers.after(1_000 * index / this.processes.length, () => {
                this.timers.every(1_000, () => this.changeUse(process));
            });
        });
        if (this.size.jobsPerSecond > 0) {
            this.timers.every(1_000 / this.size.jobsPerSecond, () => this.submit());
        }
        await this.timers.advance(WARM_UP_MILLISECONDS / 2);
        const before = this.table.use;
        await this.timers.advance(seconds * 1_000);
        const after = this.table.use;
        const rate = (name: keyof TableUse): number => (after[name] - before[name]) / seconds;
        return {
            reads: rate("reads"),
            bytesRead: rate("bytesRead"),
            transactions: rate("transactions"),
            conflicts: rate("conflicts"),
            rowsWritten: rate("rowsWritten"),
            bytesWritten: rate("bytesWritten"),
        };
    }

    private changeUse({ open, ledger }: Process): void {
        for (const shard of open.keys()) {
            Object.keys(this.limits).forEach(team => this.changeTeam(ledger, shard, team));
        }
    }

    /**
     * A random walk of the units that the team has running in the shard. Steps of -1, 0 and 1 have the variance of
     * 3,600 starts and as many ends a second over 490 teams and 22 shards.
     */
    private changeTeam(ledger: TableGrantLedger, shard: ShardId, team: string): void {
        const key = `${shard} ${team}`;
        let used = this.used.get(key) ?? 0;
        const step = uniformInt(this.random, -1, 1);
        const lowest = UNITS_PER_TEAM_AND_SHARD - UNITS_SPREAD;
        const target = Math.min(UNITS_PER_TEAM_AND_SHARD + UNITS_SPREAD, Math.max(lowest, used + step));
        for (; used > target; used--) {
            ledger.release(shard, team);
        }
        while (used < target && ledger.reserve(shard, team).isOk()) {
            used++;
        }
        ledger.setDemand(shard, team, target - used);
        this.used.set(key, used);
    }

    private submit(): void {
        const id = `job-${++this.submitted}`;
        const open = this.processes.flatMap(({ jobs, open: shards }) => [...shards].map(entry => ({ jobs, entry })));
        const target = open[this.submitted % open.length];
        if (target !== undefined) {
            const [shard, epoch] = target.entry;
            void this.runJob(target.jobs, newRecord(id, shard, epoch));
        }
    }

    private async runJob(jobs: TableJobStore, record: JobRecord): Promise<void> {
        await jobs.accept(record, record.id);
        await jobs.update({ ...record, state: "running" });
        this.timers.after(TASK_MILLISECONDS, async () => {
            await jobs.update({ ...record, state: "succeeded", succeededTasks: [0], finishedAt: this.timers.now() });
            this.timers.after(TASK_MILLISECONDS, () => jobs.remove(record.shard, record.id));
        });
    }
}

function newRecord(id: string, shard: ShardId, acceptedEpoch: number): JobRecord {
    const size = { processorMillis: 1_000, memoryMebibytes: 512 };
    const specification = { name: "reconciliation", team: "team-0", queue: "overnight", size, runSeconds: 2 };
    return {
        id,
        specification: jobSpecificationSchema.parse(specification),
        workClass: "batch",
        shard,
        acceptedEpoch,
        state: "queued",
        submittedAt: 0,
        succeededTasks: [],
        intents: [],
        decisions: [{ at: 0, reason: "accepted", configurationVersion: 1 }],
    };
}
