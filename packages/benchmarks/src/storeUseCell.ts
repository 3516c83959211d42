/** Simulates the processes of one failure domain on a counting table, with teams that use units and jobs that run. */
import { TableJobStore } from "@tanagerlink/jobs";
import { defaultGrantDurations, TableGrantLedger } from "@tanagerlink/limits";
import { type JobRecord, jobSpecificationSchema, type ShardId, shardId } from "@tanagerlink/model";
import { defaultOwnershipDurations, Rendezvous, TableShardOwnership } from "@tanagerlink/ownership";
import { ManualTimers } from "@tanagerlink/timers";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CountingTable, type TableUse } from "./countingTable.ts";

export interface StoreUseSize {
    readonly processes: number;
    readonly shards: number;
    readonly teams: number;
    /** Jobs per second in the whole cell, each with an idempotency key, two updates and a deletion. */
    readonly jobsPerSecond: number;
    /** Workers in the roster of each shard. */
    readonly workers: number;
}

const FAILURE_DOMAIN = "north";
const WARM_UP_MILLISECONDS = 60_000;
const START_WINDOW_MILLISECONDS = 2_000;
const TASK_MILLISECONDS = 2_000;
/** The mean for 230,000 running tasks over 490 teams and 22 shards. */
const UNITS_PER_TEAM_AND_SHARD = 21;
/** Largest distance of a team's used units in a shard from `UNITS_PER_TEAM_AND_SHARD`. */
const MAXIMUM_UNITS_DEVIATION = 10;
/** Upper limit of a team as a multiple of its mean usage. */
const UPPER_LIMIT_FACTOR = 1.3;

const rendezvous = await Rendezvous.load();

class SimulatedProcess {
    readonly ownership: TableShardOwnership;
    readonly grantLedger: TableGrantLedger;
    readonly jobStore: TableJobStore;
    readonly openShards = new Map<ShardId, number>();

    constructor(name: string, names: readonly string[], shards: readonly ShardId[], cell: StoreUseCell) {
        const { timers, table, nextTransactionId } = cell;
        const common = { timers, table, nextTransactionId };
        this.grantLedger = new TableGrantLedger({ ...common, ...defaultGrantDurations, random: cell.nextRandom });
        this.grantLedger.setTeamLimits(cell.teamLimits, 1);
        this.jobStore = new TableJobStore(common);
        this.ownership = new TableShardOwnership({
            ...common,
            nodeId: name,
            failureDomain: FAILURE_DOMAIN,
            shards,
            rendezvous,
            durations: defaultOwnershipDurations,
            liveMembers: () => names,
        });
        this.ownership.start({
            onShardAcquired: ({ shard, epoch }) => void this.openShard(shard, epoch, cell),
            onOwnershipLost: shard => void this.openShards.delete(shard),
        });
    }

    private async openShard(shard: ShardId, epoch: number, { size }: StoreUseCell): Promise<void> {
        const workers = Array.from({ length: size.workers }, (_, index) => `${shard}-worker-${index}`);
        this.ownership.setRoster(shard, workers);
        await this.grantLedger.open(shard, epoch);
        await this.jobStore.open(shard, epoch);
        this.openShards.set(shard, epoch);
    }
}

export class StoreUseCell {
    readonly timers = new ManualTimers();
    readonly table = new CountingTable();
    readonly size: StoreUseSize;
    readonly teamLimits: Readonly<Record<string, number>>;
    readonly nextTransactionId = (): string => `transaction-${++this.transactionCount}`;
    private readonly processes: SimulatedProcess[] = [];
    private readonly randomGenerator = xoroshiro128plus(7);
    readonly nextRandom = (): number => uniformFloat64(this.randomGenerator);
    private readonly usedUnits = new Map<string, number>();
    private transactionCount = 0;
    private submittedJobCount = 0;

    constructor(size: StoreUseSize) {
        this.size = size;
        const teams = Array.from({ length: size.teams }, (_, index) => `team-${index}`);
        this.teamLimits = Object.fromEntries(
            teams.map(team => [team, Math.ceil(size.shards * UNITS_PER_TEAM_AND_SHARD * UPPER_LIMIT_FACTOR)]),
        );
    }

    /** Starts the processes at different times; started at once, all of their transactions would conflict. */
    private async startProcesses(): Promise<void> {
        const { processes, shards: shardCount } = this.size;
        const names = Array.from({ length: processes }, (_, index) => `process-${index}`);
        const shards = Array.from({ length: shardCount }, (_, index) => shardId(FAILURE_DOMAIN, index));
        for (const name of names) {
            this.processes.push(new SimulatedProcess(name, names, shards, this));
            await this.timers.advance(START_WINDOW_MILLISECONDS / processes);
        }
    }

    /** Returns the use of the table per second, after a warm-up in which shards are acquired and grants settle. */
    async measure(seconds: number): Promise<TableUse> {
        await this.startProcesses();
        await this.timers.advance(WARM_UP_MILLISECONDS / 2);
        this.processes.forEach((process, index) => {
            // The processes act at different times; at the same instant all of their transactions would conflict.
            this.timers.after(1_000 * index / this.processes.length, () => {
                this.timers.every(1_000, () => this.changeProcessUsage(process));
            });
        });
        if (this.size.jobsPerSecond > 0) {
            this.timers.every(1_000 / this.size.jobsPerSecond, () => this.submitJob());
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

    private changeProcessUsage({ openShards, grantLedger }: SimulatedProcess): void {
        for (const shard of openShards.keys()) {
            Object.keys(this.teamLimits).forEach(team => this.changeTeamUsage(grantLedger, shard, team));
        }
    }

    /**
     * Performs a step of a random walk of the units that the team uses in the shard. Steps of -1, 0 and 1 have the
     * variance of 3,600 starts and as many ends per second over 490 teams and 22 shards.
     */
    private changeTeamUsage(grantLedger: TableGrantLedger, shard: ShardId, team: string): void {
        const key = `${shard} ${team}`;
        let currentUnits = this.usedUnits.get(key) ?? 0;
        const step = uniformInt(this.randomGenerator, -1, 1);
        const lowest = UNITS_PER_TEAM_AND_SHARD - MAXIMUM_UNITS_DEVIATION;
        const wantedUnits = Math.min(
            UNITS_PER_TEAM_AND_SHARD + MAXIMUM_UNITS_DEVIATION,
            Math.max(lowest, currentUnits + step),
        );
        for (; currentUnits > wantedUnits; currentUnits--) {
            grantLedger.release(shard, team);
        }
        while (currentUnits < wantedUnits && grantLedger.reserve(shard, team).isOk()) {
            currentUnits++;
        }
        grantLedger.setDemand(shard, team, wantedUnits - currentUnits);
        this.usedUnits.set(key, currentUnits);
    }

    private submitJob(): void {
        const id = `job-${++this.submittedJobCount}`;
        const candidates = this.processes.flatMap(({ jobStore, openShards }) =>
            [...openShards].map(shardAndEpoch => ({ jobStore, shardAndEpoch }))
        );
        const candidate = candidates[this.submittedJobCount % candidates.length];
        if (candidate !== undefined) {
            const [shard, epoch] = candidate.shardAndEpoch;
            void this.runJob(candidate.jobStore, createJobRecord(id, shard, epoch));
        }
    }

    private async runJob(jobStore: TableJobStore, record: JobRecord): Promise<void> {
        await jobStore.accept(record, record.id);
        await jobStore.update({ ...record, state: "running" });
        this.timers.after(TASK_MILLISECONDS, async () => {
            await jobStore.update({
                ...record,
                state: "succeeded",
                succeededTasks: [0],
                finishedAt: this.timers.now(),
            });
            this.timers.after(TASK_MILLISECONDS, () => jobStore.remove(record.shard, record.id));
        });
    }
}

function createJobRecord(id: string, shard: ShardId, acceptedEpoch: number): JobRecord {
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
