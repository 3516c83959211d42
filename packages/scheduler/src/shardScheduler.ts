/**
 * The scheduler of one owned shard under one epoch: accepts jobs, runs the policy against the attached workers, starts
 * and tracks tasks, and assigns requests to the slots of the shard's executors.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import {
    type ConfigurationSnapshot,
    failureDomainOfShard,
    isFinished,
    type JobRecord,
    Reason,
    type Resources,
    type ServiceRequest,
    type ServiceResponse,
    type ShardSummary,
    type VmRecord,
} from "@tanagerlink/model";
import type { DispatchGate, ExecutorPool } from "@tanagerlink/routing";
import { sleep } from "@tanagerlink/timers";
import { err, type Result } from "neverthrow";
import { RunTimes } from "./heartbeatTiming.ts";
import { JobAdmission } from "./jobAdmission.ts";
import { createJobEntry, mayHaveActiveTasks } from "./jobEntry.ts";
import { JobMover } from "./jobMover.ts";
import { JobRegistry } from "./jobRegistry.ts";
import { JobRetention } from "./jobRetention.ts";
import { PendingWrites } from "./pendingWrites.ts";
import { Recovery } from "./recovery.ts";
import { ShardReportHandler } from "./reportHandler.ts";
import { SchedulingRounds } from "./schedulingRounds.ts";
import { recordJobDecision, type ShardContext } from "./shardContext.ts";
import type { ShardDependencies } from "./shardDependencies.ts";
import { ShardStatistics } from "./shardStatistics.ts";
import { SplitJobs } from "./splitJobs.ts";
import { startRefusal } from "./startGate.ts";
import type { JobStatus, Submission } from "./submission.ts";
import { TaskLifecycle } from "./taskLifecycle.ts";
import { TaskStarter, TaskStopRequests } from "./taskStarter.ts";
import { UnitWaiters } from "./unitWaiters.ts";
import { UsageGuard } from "./usageGuard.ts";
import { WorkerRegistry } from "./workerRegistry.ts";

/** Period of the checks of leases, availability and recovery. */
const SWEEP_PERIOD_MILLISECONDS = 200;

/** Period at which finished jobs whose retention period has passed are removed. */
const RETENTION_CHECK_PERIOD_MILLISECONDS = 10_000;

/** Maximum wait for pending writes of job records when the scheduler is disposed. */
const JOB_CLOSE_TIMEOUT_MILLISECONDS = 1_000;

const LOAD_RETRY_DELAY_MILLISECONDS = 500;

/** Targets of one shard in the VM list. */
export interface ShardTargets {
    readonly workers: readonly VmRecord[];
    readonly executors: readonly VmRecord[];
}

/** Scheduler of one owned shard. */
export class ShardScheduler implements AsyncDisposable {
    readonly shard: string;
    readonly epoch: number;

    private readonly context: ShardContext;
    private readonly dependencies: ShardDependencies;
    private readonly lifecycle: TaskLifecycle;
    private readonly workers: WorkerRegistry;
    private readonly recovery: Recovery;
    private readonly rounds: SchedulingRounds;
    private readonly executors: ExecutorPool;
    private readonly statistics: ShardStatistics;
    private readonly admission: JobAdmission;
    private readonly splitJobs: SplitJobs;
    private readonly unitWaiters: UnitWaiters;
    private readonly closingController = new AbortController();
    private readonly subscriptions: Disposable[] = [];
    private loaded = false;
    private handingOver = false;
    private pendingTargets: ShardTargets | undefined;
    private loading: Promise<void> = Promise.resolve();

    constructor(shard: string, epoch: number, dependencies: ShardDependencies) {
        this.shard = shard;
        this.epoch = epoch;
        this.dependencies = dependencies;
        this.context = {
            shard,
            failureDomain: failureDomainOfShard(shard),
            epoch,
            dependencies,
            policy: dependencies.createPolicy(),
            jobRegistry: new JobRegistry(),
            runTimes: new RunTimes(),
            pendingWrites: new PendingWrites(),
            requestRound: () => this.rounds.requestRound(),
        };
        const stopRequests = new TaskStopRequests(this.context, worker => this.workers.session(worker));
        this.lifecycle = new TaskLifecycle(this.context, stopRequests);
        const usageGuard = new UsageGuard(this.context, this.lifecycle, stopRequests);
        const reportHandler: ShardReportHandler = new ShardReportHandler(this.context, {
            lifecycle: this.lifecycle,
            stopRequests,
            usageGuard,
            starter: () => starter,
        });
        const starter: TaskStarter = new TaskStarter(this.context, this.lifecycle, reportHandler);
        this.workers = new WorkerRegistry(this.context, this.lifecycle, reportHandler);
        this.unitWaiters = new UnitWaiters(dependencies.timers, () => this.rounds.updateDemand());
        this.rounds = new SchedulingRounds(this.context, this.workers, starter, stopRequests, this.unitWaiters);
        this.executors = dependencies.createExecutorPool(shard, epoch, this.dispatchGate());
        this.recovery = new Recovery(this.context, this.lifecycle, this.workers, this.executors);
        this.statistics = new ShardStatistics(this.context, this.executors);
        this.splitJobs = new SplitJobs(this.context, this.lifecycle);
        this.admission = new JobAdmission(this.context, {
            lifecycle: this.lifecycle,
            splitJobs: this.splitJobs,
            workers: this.workers,
            statistics: this.statistics,
            isClosed: () => this.closingController.signal.aborted,
        });
    }

    /**
     * Loads the jobs, opens sessions to the workers, opens the grants and schedules. `targets` is `undefined` while the
     * VM list is unknown. `storedRoster` lists the workers on which the previous owner may have started tasks.
     */
    start(targets: ShardTargets | undefined, storedRoster: readonly string[] = []): void {
        this.workers.setStoredRoster(storedRoster);
        this.pendingTargets ??= targets;
        this.loading = this.loadAndStart();
    }

    /** Whether the shard accepts jobs. */
    get ready(): boolean {
        return this.loaded && !this.handingOver && !this.closingController.signal.aborted;
    }

    setTargets(targets: ShardTargets): void {
        this.pendingTargets = targets;
        if (this.loaded) {
            this.workers.setWorkers(targets.workers);
            this.executors.setExecutors(targets.executors);
        }
    }

    applyConfiguration(configuration: ConfigurationSnapshot): void {
        this.context.policy.setSettings(configuration.policy);
        const shares = Object.values(configuration.teams).map(team => [team.name, team.share] as const);
        this.context.policy.setTeamShares(new Map(shares));
        this.rounds.requestRound();
    }

    /** Sets the resources that each team uses in all other shards of the fleet. */
    setFleetUsage(usage: ReadonlyMap<string, Resources>, capacity: Resources): void {
        this.context.policy.setFleetUsage(usage, capacity);
    }

    /** Accepts a job durably. A repeated submission returns the job of the first one. */
    submit(submission: Submission): Promise<Result<JobStatus, ServiceError>> {
        return this.admission.submit(submission, this.ready);
    }

    /** Cancels a job. Resolves once the cancellation is durable. */
    cancel(job: string): Promise<Result<JobStatus, ServiceError>> {
        return this.admission.cancel(job);
    }

    /** Returns the current state of a job with its decisions. */
    status(job: string): Result<JobStatus, ServiceError> {
        return this.admission.status(job);
    }

    /** Stops accepting jobs; resolves when every acceptance, cancellation and end so far is durable. */
    async prepareHandover(): Promise<void> {
        this.handingOver = true;
        await this.context.pendingWrites.waitForAll();
    }

    /** Runs a request on one of the shard's executors. */
    dispatch(request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>> {
        if (this.closingController.signal.aborted) {
            const message = `shard ${this.shard} is being handed over`;
            return Promise.resolve(err(serviceError(ErrorKind.NotOwner, message)));
        }
        if (!this.loaded) {
            // The pool receives its executors after the jobs are loaded; until then it would report none.
            const message = `the new owner of shard ${this.shard} has not loaded its job records yet`;
            return Promise.resolve(err(serviceError(ErrorKind.ShardNotReady, message)));
        }
        const deadline = this.dependencies.timers.now() + request.remainingMilliseconds;
        return this.unitWaiters.retryUntilGranted(request.team, request.remainingMilliseconds, () => {
            const remainingMilliseconds = deadline - this.dependencies.timers.now();
            return this.executors.dispatch({ ...request, remainingMilliseconds });
        });
    }

    /** Summary that other processes receive with each heartbeat. */
    summary(owner: string): ShardSummary {
        return this.statistics.summary(owner, this.ready && startRefusal(this.context) === undefined);
    }

    describe(): unknown {
        return {
            shard: this.shard,
            epoch: this.epoch,
            loaded: this.loaded,
            refusal: startRefusal(this.context),
            workers: this.workers.sessionStates(),
            jobs: Array.from(this.context.jobRegistry.entries(), entry => this.statistics.status(entry)),
            executors: this.executors.describe(),
            policy: this.context.policy.describe(),
        };
    }

    inFlightRequests(): number {
        return this.executors.inFlightCount();
    }

    /** Stops scheduling. Tasks keep running on their workers; requests in flight are finished. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.closingController.abort();
        for (const subscription of this.subscriptions) {
            subscription[Symbol.dispose]();
        }
        this.rounds.stop();
        await this.loading;
        await this.workers[Symbol.asyncDispose]();
        await this.executors[Symbol.asyncDispose]();
        this.dependencies.ledger.close(this.shard);
        await this.dependencies.jobs.close(this.shard, JOB_CLOSE_TIMEOUT_MILLISECONDS);
    }

    private async loadAndStart(): Promise<void> {
        const records = await this.loadRecords();
        if (records === undefined) {
            return;
        }
        const { timers } = this.dependencies;
        for (const record of records) {
            if (record.movedTo === undefined) {
                this.addLoadedJob(record);
            }
            else {
                this.context.jobRegistry.movedJobs.set(record.id, record.movedTo);
            }
        }
        this.loaded = true;
        const configuration = this.dependencies.configuration();
        if (configuration !== undefined) {
            this.applyConfiguration(configuration);
        }
        if (this.pendingTargets !== undefined) {
            this.setTargets(this.pendingTargets);
        }
        const retention = new JobRetention(this.context);
        this.subscriptions.push(
            new JobMover(this.context, this.lifecycle),
            timers.every(SWEEP_PERIOD_MILLISECONDS, () => this.sweep()),
            timers.every(RETENTION_CHECK_PERIOD_MILLISECONDS, () => retention.removeExpired()),
            this.splitJobs.start(),
            timers.every(this.dependencies.settings.roundPeriodMilliseconds, () => this.rounds.requestRound()),
        );
        // Units of an open grant may be transferred to other shards, so tasks that may still run must count before.
        this.recovery.resolveTasks();
        await this.retryUntilAvailable(() => this.dependencies.ledger.open(this.shard, this.epoch));
    }

    private async loadRecords(): Promise<readonly JobRecord[] | undefined> {
        const { jobs } = this.dependencies;
        return this.retryUntilAvailable(async () => {
            const opened = await jobs.open(this.shard, this.epoch);
            return opened.isOk() ? jobs.load(this.shard) : err(opened.error);
        });
    }

    /** Retries a call to the table until it succeeds or the scheduler is disposed. */
    private async retryUntilAvailable<Value>(
        call: () => Promise<Result<Value, ServiceError>>,
    ): Promise<Value | undefined> {
        const { timers, logger } = this.dependencies;
        while (!this.closingController.signal.aborted) {
            const result = await call();
            if (result.isOk()) {
                return this.closingController.signal.aborted ? undefined : result.value;
            }
            logger.warn(
                { shard: this.shard, error: result.error },
                "shard state could not be loaded from the table; will retry",
            );
            await sleep(timers, LOAD_RETRY_DELAY_MILLISECONDS, this.closingController.signal);
        }
        return undefined;
    }

    private addLoadedJob(record: JobRecord): void {
        const { timers } = this.dependencies;
        const recovering = record.acceptedEpoch < this.epoch && mayHaveActiveTasks(record);
        const entry = createJobEntry(record, timers.now(), timers.wallClock(), recovering);
        this.context.jobRegistry.add(entry);
        const { adopter } = this.dependencies;
        if (adopter !== undefined && !isFinished(record.state)) {
            const detail = `${adopter.node} of failure domain ${adopter.failureDomain} owns shard ${this.shard}`;
            recordJobDecision(this.context, entry, Reason.ShardAdopted, { detail });
        }
        this.lifecycle.enqueueJob(entry);
    }

    private sweep(): void {
        this.workers.sweep();
        this.recovery.resolveTasks();
        this.statistics.updateGauges();
    }

    private dispatchGate(): DispatchGate {
        return {
            enter: team => {
                const refusal = startRefusal(this.context);
                return refusal === undefined ? this.dependencies.ledger.reserve(this.shard, team) : err(refusal);
            },
            leave: team => this.dependencies.ledger.release(this.shard, team),
        };
    }
}
