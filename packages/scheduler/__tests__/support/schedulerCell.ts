/**
 * Several processes of one or more failure domains with their schedulers, on one table and one set of simulated
 * workers, in virtual time. The checks use the attempts that the workers recorded, not the state of the schedulers.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { TableJobStore } from "@tanagerlink/jobs";
import { defaultGrantDurations, TableGrantLedger } from "@tanagerlink/limits";
import {
    type ConfigurationSnapshot,
    type JobSpecification,
    jobSpecificationSchema,
    type JobState,
    type LimitEnforcement,
    type Resources,
    shardsOfFailureDomain,
    type VmRecord,
    WorkClass,
} from "@tanagerlink/model";
import { defaultOwnershipDurations, Rendezvous, TableShardOwnership } from "@tanagerlink/ownership";
import type { PeerNetwork } from "@tanagerlink/peer";
import { MemoryTableService } from "@tanagerlink/platform";
import { ShardPolicy } from "@tanagerlink/policy";
import type { ExecutorPool } from "@tanagerlink/routing";
import { SimulatedWorker, type WorkerOptions, WorkerRecord } from "@tanagerlink/stand-ins";
import { Metrics, silentLogger } from "@tanagerlink/telemetry";
import { ManualTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { err, type Result } from "neverthrow";
import {
    createSchedulerMetrics,
    type JobStatus,
    SchedulerService,
    type ShardSettings,
    type Submission,
} from "../../src/index.ts";
import { SimulatedProcess } from "./simulatedProcess.ts";
import { WorkerLinks } from "./workerLinks.ts";

const rendezvous = await Rendezvous.load();

export const SHARD = "north/0";

/** Period of heartbeats between processes. */
const PEER_HEARTBEAT_PERIOD_MILLISECONDS = 500;

export function size(processorMillis: number): Resources {
    return { processorMillis, memoryMebibytes: processorMillis, accelerators: 0 };
}

/** One process of the cell. */
export interface CellProcess {
    readonly id: string;
    readonly failureDomain: string;
    readonly process: SimulatedProcess;
    readonly links: WorkerLinks;
    readonly ownership: TableShardOwnership;
    readonly service: SchedulerService;
    readonly ledger: TableGrantLedger;
    readonly peers: CellPeers;
}

/** Calls between the processes of a cell, without network connections. */
class CellPeers {
    readonly handlers = new Map<string, (request: unknown) => Promise<Result<unknown, ServiceError>>>();
    /** Whether the process is partitioned: no calls or heartbeats pass between it and others. */
    isPartitioned = false;
    private readonly findProcess: (process: string) => CellProcess | undefined;

    constructor(findProcess: (process: string) => CellProcess | undefined) {
        this.findProcess = findProcess;
    }

    handle(
        method: { readonly name: string; },
        handler: (request: unknown) => Promise<Result<unknown, ServiceError>>,
    ): void {
        this.handlers.set(method.name, handler);
    }

    async call(
        owner: string,
        method: { readonly name: string; },
        request: unknown,
    ): Promise<Result<unknown, ServiceError>> {
        const target = this.findProcess(owner);
        const isReachable = target !== undefined && target.process.isRunning
            && (target.peers === this || !(this.isPartitioned || target.peers.isPartitioned));
        const handler = isReachable ? target.peers.handlers.get(method.name) : undefined;
        return handler?.(request) ?? err(serviceError(ErrorKind.PeerUnreachable, `process ${owner} does not respond`));
    }
}

/** Properties of a job that a test may set; the others have defaults. */
export interface JobOptions extends Partial<JobSpecification> {
    readonly workClass?: WorkClass;
    readonly runMilliseconds?: number;
    readonly exitCode?: number;
    readonly usage?: Resources;
    readonly key?: string;
}

export class SchedulerCell {
    readonly timers = new ManualTimers();
    readonly table = new MemoryTableService(this.timers);
    readonly record = new WorkerRecord();
    readonly workers = new Map<string, SimulatedWorker>();
    readonly processes: CellProcess[] = [];
    readonly limit: number;
    readonly shards: readonly string[];
    vms: VmRecord[] = [];
    /** Whether workers added from now on hold the responses to heartbeats. */
    holdsHeartbeats = true;
    /** A worker that is left out of the VM list at the moment. */
    unlistedWorker: string | undefined;
    configuration: ConfigurationSnapshot;
    private readonly progress = new Map<string, number>();
    private transactionCount = 0;

    /** With several shards in a failure domain, its worker N belongs to shard N modulo their number. */
    constructor(
        options: { readonly limit?: number; readonly shards?: number; readonly domains?: readonly string[]; } = {},
    ) {
        const { limit = 1_000, shards = 1, domains = ["north"] } = options;
        this.limit = limit;
        this.shards = domains.flatMap(domain => Array.from({ length: shards }, (_, index) => `${domain}/${index}`));
        this.configuration = configurationOf(limit, shards, domains);
    }

    /** Processes that membership considers live. */
    private liveMembers(failureDomain: string): string[] {
        return this.processes
            .filter(other => other.failureDomain === failureDomain && !other.process.isKilled)
            .map(other => other.id);
    }

    addWorkers(
        count: number,
        capacity = size(4_000),
        capabilities: WorkerOptions["capabilities"] = {},
        failureDomain = "north",
    ): void {
        for (let index = 0; index < count; index++) {
            const id = `worker${this.workers.size}`;
            const surroundings = {
                timers: this.timers,
                record: this.record,
                progress: this.progress,
                defaultRunMilliseconds: undefined,
            };
            this.workers.set(
                id,
                new SimulatedWorker(
                    { id, capacity, capabilities: { ...capabilities }, holds: this.holdsHeartbeats },
                    surroundings,
                ),
            );
            this.vms.push({
                id,
                role: "worker",
                address: "127.0.0.1:1",
                failureDomain,
                rack: `rack${index % 2}`,
                state: "live",
            });
        }
        this.processes.forEach(process => process.service.onTargetsChanged());
    }

    worker(id: string): SimulatedWorker {
        return this.workers.get(id)!;
    }

    addProcess(settings: Partial<ShardSettings> = {}, failureDomain = "north"): CellProcess {
        const id = `process${this.processes.length}`;
        const process = new SimulatedProcess(this.timers);
        const table = process.connect(this.table);
        const nextTransactionId = (): string => `${id}-${++this.transactionCount}`;
        const links = new WorkerLinks(this.timers, process, this.workers);
        const peers = new CellPeers(owner => this.processes.find(other => other.id === owner));
        const ownership = new TableShardOwnership({
            nodeId: id,
            failureDomain,
            shards: Object.values(this.configuration.failureDomains).flatMap(shardsOfFailureDomain),
            timers: process,
            table,
            rendezvous,
            durations: defaultOwnershipDurations,
            liveMembers: name => this.liveMembers(name),
            adoption: { delayMilliseconds: 8_000, mayHaveLiveProcess: name => this.liveMembers(name).length > 0 },
            nextTransactionId,
        });
        const ledger = new TableGrantLedger({ timers: process, table, nextTransactionId, ...defaultGrantDurations });
        this.setLimits(ledger);
        const service = new SchedulerService({
            node: id,
            failureDomain,
            peers: peers as unknown as PeerNetwork,
            targets: {
                isListKnown: () => this.vms.length > 0,
                workers: name => this.vms.filter(vm => vm.id !== this.unlistedWorker && vm.failureDomain === name),
                executors: () => [],
            },
            shardOfTarget: (target, shards) => shards[Number(target.slice("worker".length)) % shards.length],
            dependencies: {
                timers: process,
                logger: silentLogger,
                metrics: createSchedulerMetrics(new Metrics()),
                settings: { ...defaultSettings, ...settings },
                ownership,
                ledger,
                jobs: new TableJobStore({ timers: process, table, nextTransactionId }),
                workerClients: links,
                configuration: () => this.configuration,
                configurationAgeMilliseconds: () => 0,
                createPolicy: () => new ShardPolicy(this.configuration.policy),
                createExecutorPool: () => noExecutors,
            },
        });
        const cellProcess = { id, failureDomain, process, links, ownership, service, ledger, peers };
        this.processes.push(cellProcess);
        process.every(PEER_HEARTBEAT_PERIOD_MILLISECONDS, () => {
            const payload = service.createHeartbeatPayload();
            this.processes.filter(other => other.process.isRunning)
                .filter(other => other === cellProcess || !(other.peers.isPartitioned || peers.isPartitioned))
                .forEach(other => other.service.applySummaries(payload));
        });
        ownership.start(service);
        return cellProcess;
    }

    /** Adds workers and one process, and waits until it owns the shard and has attached all workers. */
    async startWithWorkers(workers: number, capacity = size(4_000)): Promise<CellProcess> {
        this.addWorkers(workers, capacity);
        const process = this.addProcess();
        await this.timers.advance(6_000);
        return process;
    }

    /** Adds one process and the given number of workers to each failure domain, and waits until all are attached. */
    async startInEachDomain(workers: number, settings: Partial<ShardSettings> = {}): Promise<CellProcess[]> {
        const domains = Object.keys(this.configuration.failureDomains);
        domains.forEach(domain => this.addWorkers(workers, size(4_000), {}, domain));
        const processes = domains.map(domain => this.addProcess(settings, domain));
        await this.timers.advance(7_000);
        return processes;
    }

    configure(change: Partial<ConfigurationSnapshot>): void {
        this.configuration = { ...this.configuration, ...change, version: this.configuration.version + 1 };
        this.processes.forEach(({ ledger, service }) => {
            this.setLimits(ledger);
            service.onConfigurationChanged(this.configuration);
        });
    }

    /** Lowers or raises the limit of the team. */
    setLimit(upperLimit: number, enforce: LimitEnforcement): void {
        const team = this.configuration.teams["alder"]!;
        this.configure({ teams: { alder: { ...team, upperLimit, enforce } } });
    }

    private setLimits(ledger: TableGrantLedger): void {
        const { teams, version } = this.configuration;
        ledger.setTeamLimits({ alder: teams["alder"]?.upperLimit ?? 0 }, version);
    }

    /** Submits a job and returns its identifier. */
    async submit(process: CellProcess, options: JobOptions = {}): Promise<string> {
        return (await this.advanceUntilSettled(this.sendSubmission(process, options)))._unsafeUnwrap().id;
    }

    /** Submits a job directly to the owner of one shard, without routing. */
    async submitTo(shard: string, options: JobOptions = {}): Promise<string> {
        const owner = this.ownerOf(shard);
        const id = `${shard.replace("/", ".")}.job${++this.transactionCount}`;
        const shardSubmission = { ...this.createDraft(options), id, shard };
        const answer = await this.advanceUntilSettled(
            owner.peers.call(owner.id, { name: "scheduler/submit" }, shardSubmission),
        );
        expect(answer.isOk(), "the job was accepted").to.equal(true);
        return id;
    }

    ownerOf(shard: string): CellProcess {
        return this.processes.find(({ process, ownership }) =>
            process.isRunning && ownership.ownedShards().some(owned => owned.shard === shard)
        )!;
    }

    /** Submits a job without advancing the time. */
    sendSubmission(process: CellProcess, options: JobOptions = {}): ReturnType<SchedulerService["submit"]> {
        process.service.createHeartbeatPayload();
        return process.service.submit(this.createDraft(options));
    }

    private createDraft(options: JobOptions): Omit<Submission, "id" | "shard"> {
        const { workClass = WorkClass.Batch, runMilliseconds, exitCode, usage, key, ...specification } = options;
        const behaviour = { runMilliseconds, exitCode, usage };
        return {
            specification: jobSpecificationSchema.parse({
                name: "job",
                team: "alder",
                queue: workClass,
                size: size(1_000),
                payload: JSON.stringify(behaviour),
                ...specification,
            }),
            workClass,
            submittedAt: this.timers.wallClock(),
            ...(key === undefined ? {} : { idempotencyKey: key }),
        };
    }

    /** Submits a job and waits until each of its tasks has been started at least once. */
    async submitAndStart(process: CellProcess, options: JobOptions = {}): Promise<string> {
        const job = await this.submit(process, options);
        const started = (): number => new Set(this.attempts(job).map(attempt => attempt.task)).size;
        for (let step = 0; step < 100 && started() < (options.tasks ?? 1); step++) {
            await this.timers.advance(50);
        }
        expect(started(), "tasks started").to.equal(options.tasks ?? 1);
        return job;
    }

    /** Advances the time until the promise has settled, by at most 10 s. */
    async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
        let settled = false;
        const completion = promise.finally(() => settled = true);
        for (let step = 0; step < 200 && !settled; step++) {
            await this.timers.advance(50);
        }
        expect(settled, "the promise settled within 10 s").to.equal(true);
        return await completion;
    }

    async status(process: CellProcess, job: string): Promise<JobStatus> {
        return (await process.service.status(job))._unsafeUnwrap();
    }

    async state(process: CellProcess, job: string): Promise<JobState> {
        return (await this.status(process, job)).state;
    }

    /** Attempts of one job as recorded by the workers. */
    attempts(job: string): WorkerRecord["attempts"] {
        return this.record.attempts.filter(attempt => attempt.job === job);
    }

    /** Checks that the incremental counts of an owner agree with the state of its jobs. */
    checkWaitingCounts({ service }: CellProcess): void {
        const { shards } = service.describe() as { shards: { jobs: JobStatus[]; }[]; };
        const unfinished = (shards[0]?.jobs ?? []).filter(({ state }) => state === "queued" || state === "running");
        const waiting = unfinished.reduce((sum, job) => sum + (job.tasks.waiting ?? 0), 0);
        const teamEntry = service.createHeartbeatPayload().teams.find(({ team }) => team === "alder");
        expect(teamEntry?.waitingTasks ?? 0, "waiting tasks by team").to.equal(waiting);
    }

    /** Checks the invariants that hold under every fault. */
    checkInvariants(nonIdempotent: readonly string[] = []): void {
        expect(this.record.overlaps(), "a task ran in two places at once").to.deep.equal([]);
        expect(this.record.overcommits, "a worker was overcommitted").to.deep.equal([]);
        expect(this.record.highestRunningOfTeam("alder"), "running units of the team").to.be.at.most(this.limit);
        for (const job of nonIdempotent) {
            const tasks = this.attempts(job).map(attempt => attempt.task);
            expect(tasks, `a task of ${job} ran more than once`).to.have.lengthOf(new Set(tasks).size);
        }
    }
}

const defaultSettings: ShardSettings = {
    workerHeartbeatMilliseconds: 2_000,
    leaseMarginMilliseconds: 1_000,
    roundPeriodMilliseconds: 200,
    maximumStartsPerRound: 256,
    maximumJobs: 50_000,
    explanationMilliseconds: 3_600_000,
    maximumConfigurationAgeMilliseconds: 0,
};

const noExecutors: ExecutorPool = {
    setExecutors: () => undefined,
    dispatch: () => Promise.resolve(err(serviceError(ErrorKind.NoCapacity, "no executors in this cell"))),
    summaries: () => [],
    unknownUnits: () => 0,
    inheritedUnits: () => new Map(),
    inFlightCount: () => 0,
    describe: () => undefined,
    [Symbol.asyncDispose]: () => Promise.resolve(),
};

function configurationOf(limit: number, shards: number, domains: readonly string[]): ConfigurationSnapshot {
    const origin = "cell.yaml:1";
    const queues = Object.values(WorkClass).map(name =>
        [name, { name, workClass: name, open: false, origin }] as const
    );
    return {
        version: 1,
        teams: { alder: { name: "alder", share: 1, upperLimit: limit, origin } },
        keys: {},
        queues: Object.fromEntries(queues),
        failureDomains: Object.fromEntries(
            domains.map(name => [name, { name, region: "west", state: "active" as const, shards, origin }]),
        ),
        services: {},
        policy: { urgentReserve: 0, agingSeconds: 600, workerFailureLimit: 5, jobFailureLimit: 3 },
    };
}
