/**
 * Runs in the process that owns the cell. It keeps every job and attempt in memory, stores progress before acting on
 * it, and is the only process that sends orders to workers. A new owner first reads all records and then fences each
 * worker, so that orders of the previous owner are refused.
 */
import type { HintDispatcher } from "@tanagerlink/hints";
import type { RecordStore } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";
import {
    type Attempt,
    EndKind,
    type JobRun,
    type JobSpecification,
    JobState,
    type TaskRun,
} from "@tanagerlink/workflow";
import { BestEffortPacing } from "./bestEffortPacing.ts";
import { CellJobs } from "./cellJobs.ts";
import type { CellPolicy } from "./cellPolicy.ts";
import type { CoordinatorMetrics } from "./coordinatorMetrics.ts";
import { CrashSuspicion } from "./crashSuspicion.ts";
import type { WonClaim } from "./election.ts";
import { ExpiredJobs } from "./expiredJobs.ts";
import type { Obstacle } from "./feasibility.ts";
import { Fleet } from "./fleet.ts";
import { CANCELLATIONS_TABLE, JOB_PARTITIONS, JOBS_TABLE } from "./jobTables.ts";
import { Journal } from "./journal.ts";
import { initialLeaseTerms, leaseTermsFor } from "./leaseTerms.ts";
import { type LeaseStatement, OWNER_PARTITION } from "./ownerRecord.ts";
import { shortenLeases } from "./previousLeases.ts";
import { PROGRESS_SEGMENTS_TABLE, PROGRESS_TABLE, progressName } from "./progressRows.ts";
import { Quarantines } from "./quarantines.ts";
import { RecordReader } from "./recordReader.ts";
import { restoreJobs } from "./restoreJobs.ts";
import { type PlacedAttempt, Scheduler } from "./scheduler.ts";
import { CrashEvidence, type SessionOwner } from "./sessionOwner.ts";
import { isStalled } from "./stalls.ts";
import { TeamUsage } from "./teamUsage.ts";
import type { RunningReport, WorkerEntry, WorkerPort } from "./workerPort.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Interval of rounds that no event has triggered, for expired tickets, ended quarantines and due occurrences. */
const ROUND_INTERVAL_MILLISECONDS = 200;
/** Maximum estimated work left with which a task finishes on a leaving worker although it has checkpoints. */
const MAXIMUM_DRAIN_MILLISECONDS = 1_500;
/** Longest time from a restart of a worker that the previous owner had not noticed at its end to the next claim. */
const MISSED_START_MILLISECONDS = 7_000;

export interface CoordinatorOptions {
    readonly claim: WonClaim;
    readonly node: string;
    readonly store: RecordStore;
    /** Maximum size of a record in the store. */
    readonly rowBytes?: number | undefined;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: CoordinatorMetrics;
    readonly port: WorkerPort;
    readonly hintDispatcher: Pick<HintDispatcher, "request">;
    readonly renewalMilliseconds: number;
    /** The longest leases that workers grant. */
    readonly maximumLeaseMilliseconds: number;
    readonly stopMilliseconds: number;
    /** Retention of ended jobs. */
    readonly retentionMilliseconds: number;
    /** Age of a worker's entry beyond which its capacity is unknown. */
    readonly workerEntryMilliseconds: number;
    readonly onOwnershipLost: () => void;
}

export class Coordinator implements SessionOwner, Disposable {
    readonly epoch: number;
    private readonly options: CoordinatorOptions;
    readonly claimedAt: number;
    private readonly journal: Journal;
    private readonly jobs: CellJobs;
    private readonly expiredJobs: ExpiredJobs;
    private readonly fleet: Fleet;
    private readonly usage = new TeamUsage();
    private readonly scheduler: Scheduler;
    private readonly quarantines: Quarantines;
    private readonly pacing: BestEffortPacing;
    private readonly crashSuspicion = new CrashSuspicion();
    private readonly ticker: Subscription;
    private readonly reportedInfeasible = new WeakSet<JobRun>();
    /** Open jobs whose occurrences become due over time. */
    private readonly recurringJobs = new Set<JobRun>();
    /** Workers that accepted tasks when they last reported. */
    private readonly acceptingWorkers = new WeakSet<WorkerSession>();
    private policy: CellPolicy | undefined;
    private hasRecovered = false;
    private isStopped = false;
    private isRoundPending = false;

    constructor(options: CoordinatorOptions) {
        const { timers, logger, store, claim } = options;
        this.options = options;
        this.epoch = claim.record.epoch;
        this.claimedAt = claim.sentAt;
        this.jobs = new CellJobs(timers);
        this.pacing = new BestEffortPacing(timers);
        this.journal = new Journal({
            store,
            rowBytes: options.rowBytes,
            timers,
            logger,
            claim,
            describeLeases: () => this.describeLeases(),
            renewalMilliseconds: options.renewalMilliseconds,
            onOwnershipLost: () => this.handleOwnershipLost(),
            onRefused: job => this.handleRefusedProgress(job),
        });
        this.expiredJobs = new ExpiredJobs({
            store,
            timers,
            logger,
            jobs: this.jobs,
            retentionMilliseconds: options.retentionMilliseconds,
            onRemoved: id => this.journal.remove([progressName(id)]),
        });
        this.fleet = new Fleet({
            owner: this,
            port: options.port,
            timers,
            logger,
            workerEntryMilliseconds: options.workerEntryMilliseconds,
            stopMilliseconds: options.stopMilliseconds,
            maximumLeaseMilliseconds: options.maximumLeaseMilliseconds,
        });
        this.quarantines = new Quarantines(this.fleet, logger);
        this.scheduler = new Scheduler({
            timers,
            logger,
            metrics: options.metrics,
            fleet: this.fleet,
            usage: this.usage,
            hintDispatcher: options.hintDispatcher,
            policy: () => this.policy,
            startAttempts: placed => void this.startAttempts(placed),
            requestRound: () => this.requestRound(),
        });
        this.ticker = timers.every(ROUND_INTERVAL_MILLISECONDS, () => this.tick());
    }

    /** Whether all records have been read, so that requests can be answered. */
    get isReady(): boolean {
        return this.hasRecovered && !this.isStopped;
    }

    /** Monotonic time at which the store last confirmed the claim on the cell. */
    get confirmedAt(): number {
        return this.journal.confirmedAt;
    }

    /** Reads all records, with retries until it succeeds or ownership is lost, and starts scheduling. */
    async recover(): Promise<void> {
        const { logger, timers, store, claim } = this.options;
        const reader = new RecordReader({
            store,
            timers,
            logger,
            minimumVersion: claim.version,
            isAbandoned: () => this.isStopped,
        });
        const [progress, segments, accepted, cancelled] = await Promise.all([
            reader.read(PROGRESS_TABLE, [OWNER_PARTITION]),
            reader.read(PROGRESS_SEGMENTS_TABLE, [OWNER_PARTITION]),
            reader.read(JOBS_TABLE, JOB_PARTITIONS),
            reader.read(CANCELLATIONS_TABLE, JOB_PARTITIONS),
        ]);
        if (this.isStopped) {
            return;
        }
        const { jobs, usage, fleet, journal } = this;
        const state = { jobs, usage, fleet, journal, timers, logger };
        const obsolete = restoreJobs(state, accepted, progress, segments);
        this.journal.remove(obsolete);
        this.hasRecovered = true;
        cancelled.forEach(({ key, version }) => this.cancel(key, version));
        for (const job of this.jobs.all()) {
            this.openJob(job);
        }
        this.fleet.start();
        this.journal.requestConfirmation();
        logger.info(
            {
                epoch: this.epoch,
                jobs: accepted.length,
                progress: progress.length,
                segments: segments.length,
                obsolete: obsolete.length,
                milliseconds: Math.round(timers.now() - this.claimedAt),
            },
            "cell recovered",
        );
        this.requestRound();
    }

    /** Adds a job whose acceptance has been stored. `recordVersion` is missing if its record has not been read. */
    accept(specification: JobSpecification, recordVersion?: number): void {
        if (!this.hasRecovered || this.isStopped) {
            return;
        }
        const job = this.jobs.add(specification, recordVersion);
        if (job === undefined) {
            return;
        }
        if (this.jobs.takeEarlyCancellation(job)) {
            this.endJob(job, JobState.Cancelled);
            return;
        }
        this.openJob(job);
        this.requestRound();
    }

    /** Cancels a job after the cancellation has been stored. `recordVersion` is missing if that was not read. */
    cancel(id: string, recordVersion?: number): void {
        const job = this.jobs.get(id);
        if (job === undefined && !this.jobs.isEnded(id)) {
            this.jobs.recordEarlyCancellation(id, recordVersion);
        }
        // An older cancellation was that of an earlier job with the same identifier.
        else if (job?.isOpen === true && (recordVersion ?? Infinity) > (job.recordVersion ?? 0)) {
            this.endJob(job, JobState.Cancelled);
        }
    }

    /** Whether the record belongs to a job that this owner knows or whose records it has removed. */
    isKnown(id: string, recordVersion: number): boolean {
        return this.jobs.isKnown(id, recordVersion);
    }

    /** State of a job as shown to callers; `undefined` if the job is unknown. */
    jobState(id: string): JobState | undefined {
        return this.jobs.visibleState(id);
    }

    pendingJobCount(queue: string): number {
        return this.jobs.pendingJobCount(queue);
    }

    setPolicy(policy: CellPolicy): void {
        this.policy = policy;
        this.usage.setRules(policy.teams);
        this.scheduler.markAllDue();
        this.requestRound();
    }

    /**
     * Updates the list of workers. `writtenAfter` holds the monotonic time after which each record was written; workers
     * that it lacks count as confirmed.
     */
    setWorkers(
        entries: ReadonlyMap<string, WorkerEntry>,
        writtenAfter: ReadonlyMap<string, number> = new Map(),
    ): void {
        for (const session of this.fleet.setWorkers(entries, writtenAfter)) {
            this.drainWorker(session);
        }
    }

    /** Stops sending orders and releases ownership of the cell. */
    async release(): Promise<void> {
        this.fleet[Symbol.dispose]();
        this.expiredJobs[Symbol.dispose]();
        this.isStopped = true;
        this.ticker[Symbol.dispose]();
        this.options.metrics.placement.clear();
        await this.journal.release();
    }

    [Symbol.dispose](): void {
        this.isStopped = true;
        this.ticker[Symbol.dispose]();
        this.options.metrics.placement.clear();
        this.fleet[Symbol.dispose]();
        this.expiredJobs[Symbol.dispose]();
        this.journal[Symbol.dispose]();
    }

    describe(): unknown {
        return {
            epoch: this.epoch,
            ready: this.hasRecovered,
            activeSteps: this.scheduler.activeStepCount,
            usage: this.usage.describe(),
            workers: [...this.fleet.all()].map(session => session.describe()),
        };
    }

    onAttemptEnded(attempt: Attempt, kind: EndKind, checkpoint: string): void {
        const { timers, logger, metrics } = this.options;
        const { task } = attempt;
        const { step } = task;
        const { job, specification } = step;
        const now = timers.now();
        this.usage.subtract(job.specification.team, specification.size);
        if (checkpoint !== "") {
            task.checkpoint = checkpoint;
        }
        if (task.current === attempt) {
            task.current = undefined;
        }
        metrics.recordAttemptEnded(kind);
        metrics.recordLostAttempt(attempt, kind, this.fleet.get(attempt.workerId), this.claimedAt, now);
        logger.info(
            { task: task.name, attempt: attempt.number, worker: attempt.workerId, end: kind },
            "attempt ended",
        );
        this.updateWorkerHealth(attempt, kind, now);
        if (kind === EndKind.Done && !specification.lasting) {
            (specification.gang ? step.tasks : [task]).forEach(member => member.isDone = true);
        }
        else if (specification.gang) {
            this.stopGang(attempt, kind);
        }
        else if (kind === EndKind.Failed) {
            task.failures++;
            task.failedOn.add(attempt.workerId);
        }
        this.journal.recordChange(job);
        this.scheduler.recordAttemptEnded(attempt, this.fleet.get(attempt.workerId));
        this.advanceJob(job);
        this.requestRound();
    }

    onUnexpectedAttempt(session: WorkerSession, report: RunningReport): void {
        this.options.logger.warn(
            { worker: session.id, task: report.task, attempt: report.attempt },
            "stopping an attempt that is not recorded on this worker",
        );
        void session.stopUnexpectedAttempt(report);
    }

    onWorkerCrashed(session: WorkerSession, attempts: readonly Attempt[], evidence: CrashEvidence): void {
        const { timers, logger, metrics } = this.options;
        const { lastHeardAt, lostAt } = session;
        const noticedAt = lostAt !== undefined && lostAt >= lastHeardAt ? lostAt : timers.now();
        const isCorrelated = this.fleet.hasLostSeveralWith(session);
        const isPresumed = evidence === CrashEvidence.Presumed;
        const { suspects, givenUp } = this.crashSuspicion.record({
            attempts,
            lastHeardAt,
            noticedAt,
            isCorrelated,
            isPresumed,
        });
        metrics.recordWorkerCrash();
        logger.warn(
            {
                worker: session.id,
                evidence,
                attempts: attempts.length,
                correlated: isCorrelated,
                suspects: suspects.map(({ name }) => name),
            },
            "worker crashed",
        );
        for (const { task } of attempts) {
            task.crashedOnRacks.add(session.entry.rack ?? session.id);
            this.journal.recordChange(task.step.job);
        }
        this.giveUp(givenUp);
    }

    onCrashSettled(survivors: readonly Attempt[], crashed: readonly Attempt[]): void {
        if (survivors.length > 0) {
            this.options.logger.info({ attempts: survivors.length }, "worker was only silent; crash taken back");
            this.crashSuspicion.retract(survivors);
            survivors.forEach(({ task }) => this.journal.recordChange(task.step.job));
        }
        this.giveUp(this.crashSuspicion.confirm(crashed));
    }

    private giveUp(tasks: readonly TaskRun[]): void {
        const { metrics, logger } = this.options;
        for (const task of tasks) {
            metrics.recordTaskGivenUp();
            logger.error(
                { task: task.name, crashes: task.crashes },
                "task given up: it crashes the workers that start it",
            );
            if (task.step.job.isOpen) {
                this.endJob(task.step.job, JobState.Failed);
            }
        }
    }

    onReport(session: WorkerSession): void {
        const { timers, logger } = this.options;
        const now = timers.now();
        for (const attempt of session.liveAttempts) {
            if (!attempt.task.step.job.isOpen) {
                session.stop(attempt);
            }
            else if (this.crashSuspicion.clearIfProven(attempt, now)) {
                this.journal.recordChange(attempt.task.step.job);
            }
            else if (isStalled(attempt, now)) {
                logger.warn(
                    { task: attempt.task.name, worker: session.id, percent: attempt.percent },
                    "attempt stalled",
                );
                attempt.task.failedOn.add(session.id);
                attempt.task.stalls++;
                // A task that stalls again on another worker may just be slow.
                if (attempt.task.stalls === 1) {
                    this.quarantines.add(session, now);
                }
                session.stop(attempt);
            }
        }
        if (session.entry.leaving) {
            this.drainWorker(session);
        }
        this.pacing.adjust(session);
        this.recordAvailability(session, now);
    }

    onEntryChanged(session: WorkerSession): void {
        this.scheduler.recordGrowth(session);
        this.requestRound();
    }

    workerCount(): number {
        return this.fleet.size;
    }

    async waitUntilStored(): Promise<boolean> {
        const { timers, metrics } = this.options;
        const startedAt = timers.now();
        const stored = await this.journal.waitUntilStored();
        metrics.recordAttemptEndsStored(timers.now() - startedAt);
        return stored;
    }

    get leaseMilliseconds(): number {
        return this.journal.leaseAuthority.leaseMilliseconds
            ?? initialLeaseTerms(this.options.maximumLeaseMilliseconds).leaseMilliseconds;
    }

    canExtendLease(worker: string): boolean {
        const canExtend = !this.isStopped && this.journal.leaseAuthority.canExtend(worker);
        if (!canExtend) {
            this.journal.requestConfirmation();
        }
        return canExtend;
    }

    previousLeasesExpireAt(worker: string): number {
        const { sentAt, record } = this.options.claim;
        return sentAt + (record.remainingLeases?.[worker] ?? record.otherLeasesMilliseconds ?? 0);
    }

    listedLeaseExpiresAt(worker: string): number {
        const { sentAt, record } = this.options.claim;
        return sentAt + (record.remainingLeases?.[worker] ?? -Infinity);
    }

    isLongerLeaseStored(worker: string, expiresAt: number): boolean {
        return this.journal.leaseAuthority.statesLongerLease(worker, expiresAt);
    }

    mayHaveMissedStart(startedAt: number): boolean {
        return this.options.claim.previousOwner !== undefined
            && startedAt > this.claimedAt - MISSED_START_MILLISECONDS;
    }

    /** What a successor has to know. */
    private describeLeases(): LeaseStatement {
        const { claim, timers, maximumLeaseMilliseconds } = this.options;
        if (!this.hasRecovered) {
            return shortenLeases(claim.record, timers.now() - claim.sentAt);
        }
        const { leaseMilliseconds, authorityMilliseconds } = leaseTermsFor(this.fleet.size, maximumLeaseMilliseconds);
        return {
            leaseTerms: {
                // Longer leases that were issued before are still in force.
                leaseMilliseconds: Math.max(leaseMilliseconds, this.leaseMilliseconds),
                authorityMilliseconds,
            },
            ...this.fleet.statedLeases(),
        };
    }

    confirmOwnership(): void {
        this.journal.requestConfirmation();
    }

    onTicketRejected(attempt: Attempt): void {
        this.scheduler.discardTicket(attempt.task.step, attempt.workerId);
    }

    /** Requests a round if the worker accepts tasks again. Other reports do not change what can be placed. */
    private recordAvailability(session: WorkerSession, now: number): void {
        if (!session.canAcceptTasks(now)) {
            this.acceptingWorkers.delete(session);
        }
        else if (!this.acceptingWorkers.has(session)) {
            this.acceptingWorkers.add(session);
            this.scheduler.recordGrowth(session);
            this.requestRound();
        }
    }

    private handleOwnershipLost(): void {
        if (!this.isStopped) {
            this[Symbol.dispose]();
            this.options.onOwnershipLost();
        }
    }

    /** Fails a job whose progress cannot be stored, since the next owner would run its tasks again. */
    private handleRefusedProgress(job: JobRun): void {
        const { logger, metrics } = this.options;
        metrics.recordRefusedProgress();
        logger.error({ job: job.id, state: job.state }, "the store refuses the progress of a job; the job fails");
        if (job.isOpen) {
            this.endJob(job, JobState.Failed);
        }
    }

    /** Starts to schedule an accepted job. */
    private openJob(job: JobRun): void {
        if (job.isOpen && job.specification.recurrence !== undefined) {
            this.recurringJobs.add(job);
        }
        this.advanceJob(job);
    }

    /** Ends a job that has completed or failed; otherwise activates the steps that can start. */
    private advanceJob(job: JobRun): void {
        if (!job.isOpen) {
            return;
        }
        job.closeDoneOccurrences();
        if (job.isDone) {
            this.endJob(job, JobState.Completed);
        }
        else if (job.hasExhaustedAttempts) {
            this.endJob(job, JobState.Failed);
        }
        else {
            this.scheduler.activate(job);
        }
    }

    private endJob(job: JobRun, state: JobState): void {
        const { timers, logger, metrics } = this.options;
        metrics.recordJobEnded(state);
        job.state = state;
        job.endedAt = timers.now();
        logger.info({ job: job.id, state }, "job ended");
        this.jobs.recordEnd(job);
        this.recurringJobs.delete(job);
        this.scheduler.deactivate(job);
        for (const task of job.tasks()) {
            if (task.current !== undefined && !task.isDone) {
                this.fleet.get(task.current.workerId)?.stop(task.current);
            }
        }
        this.journal.recordChange(job);
    }

    private updateWorkerHealth(attempt: Attempt, kind: EndKind, now: number): void {
        const session = this.fleet.get(attempt.workerId);
        if (kind === EndKind.Done) {
            session?.health.recordSuccess();
        }
        else if (kind === EndKind.Failed && !attempt.task.step.specification.lasting) {
            if (session?.health.recordFailure(attempt.startedAt) === true) {
                this.quarantines.add(session, now);
            }
        }
    }

    /** Stops all members of a gang after one has ended; several failures in one attempt count once. */
    private stopGang(attempt: Attempt, kind: EndKind): void {
        const { step } = attempt.task;
        if (kind === EndKind.Failed && step.lastFailedAttempt < attempt.number) {
            step.lastFailedAttempt = attempt.number;
            attempt.task.failedOn.add(attempt.workerId);
            step.tasks.forEach(member => member.failures++);
        }
        for (const { current } of step.tasks) {
            if (current !== undefined && current.number === attempt.number) {
                this.fleet.get(current.workerId)?.stop(current);
            }
        }
    }

    /** Stops lasting tasks, and tasks with checkpoints and much work left, on a leaving worker. Others finish there. */
    private drainWorker(session: WorkerSession): void {
        for (const attempt of session.liveAttempts) {
            const { specification } = attempt.task.step;
            const remainingMilliseconds = specification.estimateMilliseconds * (1 - attempt.percent / 100);
            if (
                specification.lasting || specification.checkpoints && remainingMilliseconds > MAXIMUM_DRAIN_MILLISECONDS
            ) {
                session.stop(attempt);
            }
        }
    }

    private async startAttempts(placed: readonly PlacedAttempt[]): Promise<void> {
        for (const { attempt } of placed) {
            this.journal.recordChange(attempt.task.step.job);
        }
        if (!(await this.journal.waitUntilStored()) || this.isStopped) {
            return;
        }
        for (const { attempt, worker, ticket } of placed) {
            void worker.start(attempt, ticket);
        }
    }

    private requestRound(): void {
        if (!this.isRoundPending && this.hasRecovered && !this.isStopped) {
            this.isRoundPending = true;
            setImmediate(() => {
                this.isRoundPending = false;
                if (!this.isStopped) {
                    this.scheduler.runRound();
                }
            });
        }
    }

    private tick(): void {
        if (!this.hasRecovered || this.isStopped) {
            return;
        }
        const now = this.options.timers.now();
        this.recurringJobs.forEach(job => this.scheduler.activate(job));
        for (const session of this.fleet.all()) {
            session.endExpiredAttempts();
            this.recordAvailability(session, now);
        }
        for (const { job, obstacle } of this.scheduler.findObstacles()) {
            this.reportInfeasible(job, obstacle);
        }
        this.jobs.compactEndedJobs();
        this.expiredJobs.remove();
        this.fleet.closeUnusedSessions();
        this.scheduler.markRechecks();
        if (this.scheduler.hasWork) {
            this.requestRound();
        }
        this.scheduler.reportWaits();
    }

    /** Logs once that a job could not start even on empty workers. Callers see the job as queued. */
    private reportInfeasible(job: JobRun, obstacle: Obstacle | undefined): void {
        if (obstacle === undefined) {
            this.reportedInfeasible.delete(job);
        }
        else if (!this.reportedInfeasible.has(job)) {
            this.reportedInfeasible.add(job);
            this.options.logger.warn(
                { job: job.id, obstacle },
                "job cannot start even if all current workers were empty",
            );
        }
    }
}
