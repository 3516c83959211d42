/**
 * The owner of the cell: it keeps every job and attempt in memory, records progress before it acts on it, and is the
 * only process that gives orders to workers. A new owner first reads all records and then fences each worker.
 */
import type { HintDispatcher } from "@tanagerlink/hints";
import { decodeJson, type RecordStore, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Subscription, Timers } from "@tanagerlink/timers";
import {
    type Attempt,
    EndKind,
    isEndedState,
    type JobRun,
    type JobSpecification,
    jobSpecificationSchema,
    JobState,
    progressRecordSchema,
    restoreProgress,
} from "@tanagerlink/workflow";
import { CellJobs } from "./cellJobs.ts";
import type { CellPolicy } from "./cellPolicy.ts";
import type { CoordinatorMetrics } from "./coordinatorMetrics.ts";
import { FillPacing } from "./fillPacing.ts";
import { Fleet } from "./fleet.ts";
import { CANCELLATIONS_TABLE, JOB_PARTITIONS, JOBS_TABLE, partitionOf } from "./jobTables.ts";
import { Journal, PROGRESS_TABLE } from "./journal.ts";
import { OWNER_PARTITION, type OwnerRecord, type SeenOwner } from "./ownerRecord.ts";
import { RecordReader } from "./recordReader.ts";
import { Scheduler, type StartedAttempt } from "./scheduler.ts";
import type { SessionOwner } from "./sessionOwner.ts";
import { isStalled } from "./stalls.ts";
import { TeamUsage } from "./teamUsage.ts";
import type { RunningReport, WorkerEntry, WorkerPort } from "./workerPort.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Period of rounds without an event, for tickets, rests and due times. */
const ROUND_MILLISECONDS = 200;
/** An owner without confirmation from the store for this long renews no leases, so that a successor can rely on it. */
const BLIND_MILLISECONDS = 8_000;
/** A worker's clock may lose two hundredths. */
const SLOWEST_CLOCK_FACTOR = 1.02;
/** For orders on the way when the last owner stopped. */
const LAPSE_ALLOWANCE_MILLISECONDS = 500;
/** Work that is left on a leaving worker to finish by itself. */
const FINISHES_BY_ITSELF_MILLISECONDS = 1_500;

export interface CoordinatorOptions {
    readonly claim: SeenOwner;
    readonly former: OwnerRecord | undefined;
    readonly node: string;
    readonly store: RecordStore;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: CoordinatorMetrics;
    readonly port: WorkerPort;
    readonly hints: Pick<HintDispatcher, "ask">;
    readonly renewalMilliseconds: number;
    readonly leaseMilliseconds: number;
    readonly stopMilliseconds: number;
    /** Time for which ended jobs are kept. */
    readonly retentionMilliseconds: number;
    readonly deposed: () => void;
}

export class Coordinator implements SessionOwner, Disposable {
    readonly epoch: number;
    private readonly options: CoordinatorOptions;
    private readonly wonAt: number;
    private readonly journal: Journal;
    private readonly jobs: CellJobs;
    private readonly fleet: Fleet;
    private readonly usage = new TeamUsage();
    private readonly scheduler: Scheduler;
    private readonly pacing: FillPacing;
    private readonly ticker: Subscription;
    private readonly reportedInfeasible = new WeakSet<JobRun>();
    private policy: CellPolicy | undefined;
    private ready = false;
    private ended = false;
    private roundAsked = false;

    constructor(options: CoordinatorOptions) {
        const { timers, logger, store, claim } = options;
        this.options = options;
        this.epoch = claim.record.epoch;
        this.wonAt = timers.now();
        this.jobs = new CellJobs(timers);
        this.pacing = new FillPacing(timers);
        this.journal = new Journal({
            store,
            timers,
            logger,
            claim,
            renewalMilliseconds: options.renewalMilliseconds,
            deposed: () => this.lose(),
        });
        this.fleet = new Fleet({
            owner: this,
            port: options.port,
            timers,
            logger,
            leaseMilliseconds: options.leaseMilliseconds,
            stopMilliseconds: options.stopMilliseconds,
        });
        this.scheduler = new Scheduler({
            timers,
            logger,
            metrics: options.metrics,
            fleet: this.fleet,
            usage: this.usage,
            hints: options.hints,
            policy: () => this.policy,
            start: started => void this.startAll(started),
            again: () => this.askRound(),
        });
        this.ticker = timers.every(ROUND_MILLISECONDS, () => this.tick());
    }

    /** Whether all records are read, so that answers can be given. */
    get isReady(): boolean {
        return this.ready && !this.ended;
    }

    /** Monotonic time at which the store last confirmed the claim on the cell. */
    get confirmedAt(): number {
        return this.journal.confirmedAt;
    }

    /** Reads all records, tried until it succeeds or the cell is lost, and begins to work. */
    async recover(): Promise<void> {
        const { logger, timers, store, claim } = this.options;
        const reader = new RecordReader({
            store,
            timers,
            logger,
            minimumVersion: claim.version,
            abandoned: () => this.ended,
        });
        const [progress, accepted, cancelled] = await Promise.all([
            reader.read(PROGRESS_TABLE, [OWNER_PARTITION]),
            reader.read(JOBS_TABLE, JOB_PARTITIONS),
            reader.read(CANCELLATIONS_TABLE, JOB_PARTITIONS),
        ]);
        if (this.ended) {
            return;
        }
        const records = new Map(progress.map(record => [record.key, record]));
        for (const stored of accepted) {
            this.restore(stored, records.get(stored.key));
        }
        this.ready = true;
        cancelled.forEach(({ key }) => this.cancel(key));
        for (const job of this.jobs.all()) {
            this.advance(job);
        }
        this.fleet.runAll();
        logger.info(
            { epoch: this.epoch, jobs: accepted.length, milliseconds: Math.round(timers.now() - this.wonAt) },
            "cell recovered",
        );
        this.askRound();
    }

    /** Takes in a job whose acceptance is stored. */
    accept(specification: JobSpecification): void {
        if (!this.ready || this.ended) {
            return;
        }
        const job = this.jobs.add(specification);
        if (job === undefined) {
            return;
        }
        if (this.jobs.takeEarlyCancellation(job.id)) {
            this.finish(job, JobState.Cancelled);
            return;
        }
        this.advance(job);
        this.askRound();
    }

    /** Takes in a cancellation that is stored. */
    cancel(id: string): void {
        const job = this.jobs.get(id);
        if (job === undefined && !this.jobs.isEnded(id)) {
            this.jobs.noteEarlyCancellation(id);
        }
        else if (job?.open === true) {
            this.finish(job, JobState.Cancelled);
        }
    }

    /** State of a job as callers may see it; `undefined` if it is not known here. */
    state(id: string): JobState | undefined {
        return this.jobs.shownState(id);
    }

    pending(queue: string): number {
        return this.jobs.pendingOf(queue);
    }

    setPolicy(policy: CellPolicy): void {
        this.policy = policy;
        this.usage.setRules(policy.teams);
        this.askRound();
    }

    setWorkers(entries: ReadonlyMap<string, WorkerEntry>): void {
        for (const session of this.fleet.setListed(entries)) {
            this.clear(session);
        }
        this.askRound();
    }

    /** Stops giving orders and gives the cell back. */
    async release(): Promise<void> {
        this.fleet[Symbol.dispose]();
        this.ended = true;
        this.ticker[Symbol.dispose]();
        await this.journal.release();
    }

    [Symbol.dispose](): void {
        this.ended = true;
        this.ticker[Symbol.dispose]();
        this.fleet[Symbol.dispose]();
        this.journal[Symbol.dispose]();
    }

    describe(): unknown {
        return {
            epoch: this.epoch,
            ready: this.ready,
            activeSteps: this.scheduler.activeSteps,
            usage: this.usage.describe(),
            workers: [...this.fleet.all()].map(session => session.describe()),
        };
    }

    attemptEnded(attempt: Attempt, kind: EndKind, checkpoint: string): void {
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
        metrics.attemptEnded(kind);
        logger.info(
            { task: task.name, attempt: attempt.number, worker: attempt.workerId, end: kind },
            "attempt ended",
        );
        this.judgeWorker(attempt, kind, now);
        if (kind === EndKind.Done && !specification.lasting) {
            (specification.gang ? step.tasks : [task]).forEach(member => member.done = true);
        }
        else if (specification.gang) {
            this.breakGang(attempt, kind);
        }
        else if (kind === EndKind.Failed) {
            task.failures++;
            task.failedOn.add(attempt.workerId);
        }
        this.journal.note(job);
        this.advance(job);
        this.askRound();
    }

    strayAttempt(session: WorkerSession, report: RunningReport): void {
        this.options.logger.warn(
            { worker: session.id, task: report.task, attempt: report.attempt },
            "stops an attempt that is not recorded there",
        );
        void session.stopStray(report);
    }

    reported(session: WorkerSession): void {
        const { timers, logger } = this.options;
        const now = timers.now();
        for (const attempt of session.liveAttempts) {
            if (!attempt.task.step.job.open) {
                session.stop(attempt);
            }
            else if (isStalled(attempt, now)) {
                logger.warn(
                    { task: attempt.task.name, worker: session.id, percent: attempt.percent },
                    "attempt stalled",
                );
                attempt.task.failedOn.add(session.id);
                session.health.rest(now);
                session.stop(attempt);
            }
        }
        if (session.entry.leaving) {
            this.clear(session);
        }
        this.pacing.adjust(session);
        this.askRound();
    }

    async stored(): Promise<boolean> {
        const { timers, metrics } = this.options;
        const startedAt = timers.now();
        const stored = await this.journal.stored();
        metrics.endsStored(timers.now() - startedAt);
        return stored;
    }

    mayRenewLeases(): boolean {
        return !this.ended && this.options.timers.now() - this.journal.confirmedAt < BLIND_MILLISECONDS;
    }

    earlierLeasesLapseAt(): number {
        const { former, node, leaseMilliseconds } = this.options;
        const hasStopped = former === undefined || former.node === "" || former.node === node;
        return this.wonAt + (hasStopped ? 0 : BLIND_MILLISECONDS) + leaseMilliseconds * SLOWEST_CLOCK_FACTOR
            + LAPSE_ALLOWANCE_MILLISECONDS;
    }

    suspectDeposed(): void {
        this.journal.confirm();
    }

    ticketRefused(attempt: Attempt): void {
        this.scheduler.forgetTicket(attempt.task.step, attempt.workerId);
    }

    private lose(): void {
        if (!this.ended) {
            this[Symbol.dispose]();
            this.options.deposed();
        }
    }

    private restore(stored: StoredRecord, progress: StoredRecord | undefined): void {
        const { logger, timers } = this.options;
        const record = progress === undefined ? undefined : decodeJson(progressRecordSchema, progress.value);
        if (record?.isErr() === true) {
            // Without its progress, the job must not be started again.
            logger.error({ job: stored.key, reason: record.error }, "progress of a job cannot be read");
            this.jobs.addEnded(stored.key, JobState.Failed);
            return;
        }
        const known = record?.isOk() === true ? record.value : undefined;
        if (known !== undefined && isEndedState(known.state) && known.tasks.length === 0) {
            this.jobs.addEnded(stored.key, known.state);
            return;
        }
        const specification = decodeJson(jobSpecificationSchema, stored.value);
        if (specification.isErr()) {
            logger.error({ job: stored.key, reason: specification.error }, "record of a job cannot be read");
            return;
        }
        const job = this.jobs.add(specification.value);
        if (job === undefined || known === undefined) {
            return;
        }
        for (const attempt of restoreProgress(job, known, timers.now())) {
            this.usage.add(job.specification.team, attempt.task.size);
            this.fleet.adopt(attempt);
        }
    }

    /** Decides on the end of a job and activates steps that can start. */
    private advance(job: JobRun): void {
        if (!job.open) {
            return;
        }
        if (job.allDone) {
            this.finish(job, JobState.Completed);
        }
        else if (job.exhausted) {
            this.finish(job, JobState.Failed);
        }
        else {
            this.scheduler.activate(job);
        }
    }

    private finish(job: JobRun, state: JobState): void {
        const { timers, logger, metrics } = this.options;
        metrics.jobEnded(state);
        job.state = state;
        job.endedAt = timers.now();
        logger.info({ job: job.id, state }, "job ended");
        for (const task of job.tasks()) {
            if (task.current !== undefined && !task.done) {
                this.fleet.get(task.current.workerId)?.stop(task.current);
            }
        }
        this.journal.note(job);
    }

    private judgeWorker(attempt: Attempt, kind: EndKind, now: number): void {
        const health = this.fleet.get(attempt.workerId)?.health;
        if (kind === EndKind.Done) {
            health?.succeeded();
        }
        else if (kind === EndKind.Failed && !attempt.task.step.specification.lasting) {
            health?.failed(now);
        }
    }

    /** The members of a gang end together; a failure of one counts once for the gang. */
    private breakGang(attempt: Attempt, kind: EndKind): void {
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

    /** Moves what would not finish off a worker that leaves. */
    private clear(session: WorkerSession): void {
        for (const attempt of session.liveAttempts) {
            const { specification } = attempt.task.step;
            const left = specification.estimateMilliseconds * (1 - attempt.percent / 100);
            if (specification.lasting || specification.checkpoints && left > FINISHES_BY_ITSELF_MILLISECONDS) {
                session.stop(attempt);
            }
        }
    }

    private async startAll(started: readonly StartedAttempt[]): Promise<void> {
        for (const { attempt } of started) {
            this.journal.note(attempt.task.step.job);
        }
        if (!(await this.journal.stored()) || this.ended) {
            return;
        }
        for (const { attempt, worker, ticket } of started) {
            void worker.start(attempt, ticket);
        }
    }

    private askRound(): void {
        if (!this.roundAsked && this.ready && !this.ended) {
            this.roundAsked = true;
            setImmediate(() => {
                this.roundAsked = false;
                if (!this.ended) {
                    this.scheduler.round();
                }
            });
        }
    }

    private tick(): void {
        if (!this.ready || this.ended) {
            return;
        }
        const { timers, retentionMilliseconds } = this.options;
        const now = timers.now();
        for (const job of this.jobs.all()) {
            if (job.open) {
                if (job.specification.recurrence !== undefined) {
                    this.scheduler.activate(job);
                }
                this.reportInfeasible(job);
            }
        }
        this.jobs.retire();
        const expired = this.jobs.takeExpired(now - retentionMilliseconds);
        if (expired.length > 0) {
            this.journal.remove(
                expired.map(id => ({ table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: id })),
            );
            void this.removeAccepted(expired);
        }
        this.fleet.dropVacant();
        this.askRound();
    }

    /** Removes the records of jobs that have expired; what is left after an error goes with a later owner. */
    private async removeAccepted(expired: readonly string[]): Promise<void> {
        const { store, logger } = this.options;
        for (const id of expired) {
            const partition = partitionOf(id);
            const removals = [JOBS_TABLE, CANCELLATIONS_TABLE].map(table => ({ table, partition, key: id }));
            const removed = await store.commit({ expectations: [], writes: [], removals });
            if (removed.isErr()) {
                logger.info({ job: id, error: removed.error.kind }, "records of an expired job not removed");
            }
        }
    }

    /** Tells operators of a job that could not start even on empty workers; callers see it as waiting. */
    private reportInfeasible(job: JobRun): void {
        const obstacle = this.scheduler.obstacle(job);
        if (obstacle === undefined) {
            this.reportedInfeasible.delete(job);
        }
        else if (!this.reportedInfeasible.has(job)) {
            this.reportedInfeasible.add(job);
            this.options.logger.warn({ job: job.id, obstacle }, "job cannot start on the present workers");
        }
    }
}
