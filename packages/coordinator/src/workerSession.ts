/**
 * The owner's session with one worker. A long poll fetches reports and renews the lease; start and stop orders are sent
 * beside it, and orders whose responses were lost are reconciled with the reports. The first report in an epoch fences
 * out previous owners.
 *
 * A worker can start again under its id at any time, and no call names the incarnation that it is meant for. Calls hold
 * leases, starts and acknowledged ends only while the last one was answered by the known incarnation. After a restart, a
 * report request with a new fencing token and without such values comes first: once the new incarnation has answered it,
 * it refuses all calls that were meant for the former one.
 */
import { describeUnknown, ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { fitsInto, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import { sleep } from "@tanagerlink/timers";
import { type Attempt, AttemptStatus, EndKind, type StepRun } from "@tanagerlink/workflow";
import { FRESH_START_MILLISECONDS } from "./crashSuspicion.ts";
import { FencingTokens } from "./fencingTokens.ts";
import { reportWaitMilliseconds } from "./leaseTerms.ts";
import type { SessionOptions } from "./sessionOwner.ts";
import type { LeaseCall } from "./unsettledLeases.ts";
import { attemptKey, WorkerAttempts } from "./workerAttempts.ts";
import { WorkerCrashes } from "./workerCrashes.ts";
import { WorkerExclusion } from "./workerExclusion.ts";
import { WorkerHealth } from "./workerHealth.ts";
import { WorkerIncarnation } from "./workerIncarnation.ts";
import { WorkerLeases } from "./workerLeases.ts";
import {
    type OrderOutcome,
    RefusalReason,
    type RunningReport,
    UNKNOWN_BOOT,
    type WorkerEntry,
    type WorkerReport,
} from "./workerPort.ts";

/** Wait of a long poll while attempts are to be reconciled; longer than a stop takes. */
const RECONCILIATION_WAIT_MILLISECONDS = 250;
/** A worker does not start again and do a task within this time. */
const SHORTEST_RESTART_MILLISECONDS = 100;
/** Delay after a failed poll. */
const RETRY_DELAY_MILLISECONDS = 150;
/**
 * Lease of a start order; the next report renews it. Shorter than 2 s, since a start whose response was lost may be
 * executed 2 s later or more and is then refused for its expired lease.
 */
const START_LEASE_MILLISECONDS = 1_900;
/** A report with this many ends is full and may omit live attempts. */
const MAXIMUM_ENDS_PER_REPORT = 500;
/** Bounds the age of the reading of a worker's clock, which may be slow, and so how much shorter its leases get. */
const MAXIMUM_IDLE_MILLISECONDS = 10_000;
/** Time for which an unlisted worker is asked whether it has crashed; workers are back some seconds after a crash. */
const EVIDENCE_MILLISECONDS = 10_000;

/** A report request on its way. */
interface ReportCall {
    readonly sentAt: number;
    readonly token: number;
    /** Incarnation that the values of the request are meant for; `undefined` if it has none. */
    readonly incarnation: WorkerIncarnation | undefined;
    readonly acknowledgedEnd: number;
    readonly lease: LeaseCall | undefined;
}

export class WorkerSession {
    entry: WorkerEntry;
    /** Whether the worker is in the platform's list. */
    isListed = true;
    readonly health = new WorkerHealth();
    /** Monotonic time of the last sign of life of the current incarnation. */
    lastHeardAt = -Infinity;
    /** Monotonic time at which the worker was last found unreachable. */
    lostAt: number | undefined;
    /** Whether the worker was on trial at that time, which explains the loss. */
    wasLostOnTrial = false;
    private readonly options: SessionOptions;
    private readonly attempts = new WorkerAttempts();
    private readonly tokens: FencingTokens;
    private readonly leases: WorkerLeases;
    private readonly crashes: WorkerCrashes;
    /** The last incarnation that has answered; `undefined` before the first report. */
    private incarnation: WorkerIncarnation | undefined;
    /** Whether that incarnation has seen the current fencing token, and nothing shows that the worker has restarted. */
    private isFenced = false;
    /** Whether the last report did not count; further ones are requested with a delay. */
    private hasDiscardedReport = false;
    /** Ends the wait for the response to the current report request. */
    private abandonReport: (() => void) | undefined;
    /** Whether the last poll succeeded; reset when a start order gets no response from the worker. */
    private isReachable = false;
    /** Whether the last poll renewed the lease. */
    private isLeaseRenewed = false;
    /** Whether the last poll got no usable response. */
    private hasPollFailed = false;
    private unexpectedAttemptCount = 0;
    /** Address at which the worker last answered. */
    private answeredAddress: string | undefined;
    /** Monotonic time after which the entry was written; `Infinity` if the list does not say. */
    private entryWrittenAfter = Infinity;
    private isClosed = false;
    /** Ends the current wait of an idle poll loop. */
    private endWait: (() => void) | undefined;
    private isWakeUpPending = false;
    /** Cached until the capacity or the attempts change. */
    private cachedFreeCapacity: Resources | undefined;
    private readonly stopsInFlight = new Set<Attempt>();

    constructor(options: SessionOptions) {
        this.options = options;
        this.entry = options.entry;
        this.tokens = new FencingTokens(options.owner.epoch);
        this.leases = new WorkerLeases(options);
        this.crashes = new WorkerCrashes(options.owner, this);
    }

    get id(): string {
        return this.entry.id;
    }

    /** Identifies the last incarnation that has answered. */
    get currentBoot(): number {
        return this.incarnation?.boot ?? this.entry.boot;
    }

    get liveAttempts(): IterableIterator<Attempt> {
        return this.attempts.all();
    }

    get attemptCount(): number {
        return this.attempts.size;
    }

    /** Capacity that is not occupied by attempts. */
    get freeCapacity(): Resources {
        this.cachedFreeCapacity ??= subtractResources(this.entry.capacity, this.attempts.usedResources);
        return this.cachedFreeCapacity;
    }

    /** Whether the attempts, including those not sent yet, exceed a capacity that has shrunk. */
    private get isOverCapacity(): boolean {
        return !fitsInto(noResources, this.freeCapacity);
    }

    /**
     * Whether the entry is recent and describes the incarnation that answers. A later one may be of another kind, with
     * other labels and another capacity, and is listed only after it has answered.
     */
    private isEntryCurrent(now: number): boolean {
        return now - this.entryWrittenAfter <= this.options.workerEntryMilliseconds
            && (this.entry.boot === UNKNOWN_BOOT || this.entry.boot >= this.currentBoot);
    }

    /** Why the capacity or what occupies it is not known; `undefined` if both are. */
    private unknownRoom(now: number): WorkerExclusion | undefined {
        if (!this.isListed) {
            return WorkerExclusion.Unlisted;
        }
        if (!this.isEntryCurrent(now)) {
            return WorkerExclusion.EntryNotCurrent;
        }
        return this.unexpectedAttemptCount > 0 ? WorkerExclusion.UnexpectedAttempts : undefined;
    }

    /** Whether the worker may get new tasks. */
    canAcceptTasks(now: number): boolean {
        return this.exclusion(now) === undefined;
    }

    /** The first cause that keeps all new tasks from the worker, or those that no other worker accepts. */
    exclusion(now: number, mayUseQuarantined = false): WorkerExclusion | undefined {
        const unknownRoom = this.unknownRoom(now);
        if (unknownRoom !== undefined) {
            return unknownRoom;
        }
        if (!this.isFenced) {
            return WorkerExclusion.NotFenced;
        }
        if (!this.isReachable) {
            return WorkerExclusion.Unreachable;
        }
        if (!this.leases.allowStarts(now)) {
            return WorkerExclusion.LongLease;
        }
        if (this.entry.leaving) {
            return WorkerExclusion.Leaving;
        }
        if (!mayUseQuarantined && this.health.isQuarantined(now)) {
            return WorkerExclusion.Quarantined;
        }
        if (this.health.isPaused(now)) {
            return WorkerExclusion.Paused;
        }
        return this.isOnTrial(now) ? WorkerExclusion.OnTrial : undefined;
    }

    /** Whether the worker answered the last order or report request. */
    get responds(): boolean {
        return this.isReachable;
    }

    /** Whether an attempt was placed or started so recently that a crash could be its doing. */
    hasStartedRecently(now: number): boolean {
        for (const { startedAt } of this.attempts.all()) {
            if (now - startedAt <= FRESH_START_MILLISECONDS) {
                return true;
            }
        }
        return false;
    }

    /** Whether the worker runs an attempt that may crash it, so that nothing else may be started on it. */
    isOnTrial(now: number): boolean {
        for (const { status, statusChangedAt } of this.attempts.trials) {
            if (status !== AttemptStatus.Running || now - statusChangedAt < FRESH_START_MILLISECONDS) {
                return true;
            }
        }
        return false;
    }

    /** Whether the worker was lost during a trial and has not come back. */
    get isDownAfterTrial(): boolean {
        return !this.isReachable && this.wasLostOnTrial;
    }

    /** Whether an attempt belongs to a task with a latency target. */
    get hasLatencySensitiveTask(): boolean {
        return this.attempts.hasLatencySensitiveTask;
    }

    countTasksOf(step: StepRun): number {
        return this.attempts.countTasksOf(step);
    }

    /** Adds an attempt, which occupies capacity until it has ended. */
    addAttempt(attempt: Attempt): void {
        this.cachedFreeCapacity = undefined;
        this.attempts.add(attempt);
    }

    /** Whether it may still turn out if the worker has crashed under attempts that have ended with their lease. */
    awaitsEvidence(now: number): boolean {
        return this.crashes.isUnresolved && now - (this.lostAt ?? -Infinity) < EVIDENCE_MILLISECONDS;
    }

    startPolling(): void {
        void this.runPollLoop();
    }

    close(): void {
        this.isClosed = true;
        this.wakeUp();
    }

    /** Updates the worker's entry from the platform's list. */
    updateEntry(entry: WorkerEntry, writtenAfter = Infinity): void {
        this.entryWrittenAfter = writtenAfter;
        const hasRestarted = this.incarnation !== undefined && entry.boot > this.incarnation.boot;
        const hasChanged = entry !== this.entry || !this.isListed;
        this.entry = entry;
        this.isListed = true;
        if (entry.leaving) {
            this.crashes.recordLeaving(entry.boot);
        }
        if (hasChanged) {
            this.cachedFreeCapacity = undefined;
            this.options.owner.onEntryChanged(this);
        }
        if (hasRestarted) {
            this.expectRestart();
        }
    }

    /** Sends the start order of an attempt that is already stored. */
    async start(attempt: Attempt, ticket: string | undefined): Promise<void> {
        const { owner, port, timers } = this.options;
        const now = timers.now();
        const incarnation = this.reachableIncarnation;
        const { requiredLabel } = attempt.task.step.specification;
        const isWanted = attempt.isLive && attempt.status !== AttemptStatus.Stopping
            && (requiredLabel === undefined || this.entry.labels.includes(requiredLabel));
        const hasRoom = this.unknownRoom(now) === undefined && !this.isOverCapacity;
        const canStart = isWanted && !this.isClosed && hasRoom && owner.canExtendLease(this.id);
        const leaseUntil = canStart ? incarnation?.lease.issue(now, START_LEASE_MILLISECONDS) : undefined;
        if (incarnation === undefined || leaseUntil === undefined) {
            this.endAttempt(attempt, EndKind.Lost, "");
            return;
        }
        attempt.startedAt = now;
        attempt.startSentAt = now;
        attempt.workerBoot = incarnation.boot;
        attempt.progressedAt = now;
        this.wakeUp();
        const lease = this.leases.recordCall(now);
        const token = this.tokens.current;
        this.tokens.recordBoundCall();
        let outcome: OrderOutcome;
        try {
            outcome = await port.start(this.entry, {
                fencingToken: token,
                task: attempt.task.name,
                attempt: attempt.number,
                payload: attempt.task.step.job.specification.payload,
                leaseUntil,
                checkpoint: attempt.task.checkpoint,
                ticket,
            });
        }
        catch (failure) {
            outcome = this.recordUnexpectedError(failure);
        }
        if (this.isClosed) {
            return;
        }
        if (outcome.kind !== "unanswered" && this.recordOrderClock(incarnation, outcome, now)) {
            this.leases.settle(lease);
        }
        if (attempt.isLive) {
            this.handleStartOutcome(attempt, outcome, token);
        }
    }

    /** Stops an attempt. It counts as ended only once the worker reports its end. */
    stop(attempt: Attempt): void {
        const isStarting = attempt.status === AttemptStatus.Starting;
        if (attempt.isLive && attempt.status !== AttemptStatus.Stopping) {
            attempt.setStatus(AttemptStatus.Stopping, this.options.timers.now());
        }
        // A stop sent before the response to the start could overtake it.
        if (!isStarting) {
            void this.sendStop(attempt);
        }
        this.wakeUp();
    }

    /** Stops a reported attempt that is not recorded on this worker. */
    async stopUnexpectedAttempt(report: RunningReport): Promise<void> {
        const { port } = this.options;
        try {
            await port.stop(this.entry, {
                fencingToken: this.tokens.current,
                task: report.task,
                attempt: report.attempt,
            });
        }
        catch (failure) {
            this.recordUnexpectedError(failure);
        }
    }

    async setPace(attempt: Attempt, percent: number): Promise<void> {
        const { port } = this.options;
        attempt.pace = percent;
        const order = {
            fencingToken: this.tokens.current,
            task: attempt.task.name,
            attempt: attempt.number,
            percent,
        };
        let outcome: OrderOutcome;
        try {
            outcome = await port.pace(this.entry, order);
        }
        catch (failure) {
            outcome = this.recordUnexpectedError(failure);
        }
        if (outcome.kind !== "done" && attempt.isLive && attempt.pace === percent) {
            // The pace on the worker is unknown; NaN differs from every pace, so the next report sets it again.
            attempt.pace = Number.NaN;
        }
    }

    /** Time until all leases on a worker that does not respond have expired; `undefined` if it responds. */
    remainingLeaseMilliseconds(now: number): number | undefined {
        return this.isReachable ? undefined : this.leases.remainingMilliseconds(now, this.mayHaveRestartedUnnoticed);
    }

    /** Time until leases on the worker have expired that last longer than the terms say; `undefined` if none do. */
    longerLeaseMilliseconds(now: number): number | undefined {
        return this.leases.longerMilliseconds(now);
    }

    /** Whether the worker has restarted since a previous owner has recorded an attempt there, and has not reported yet. */
    private get mayHaveRestartedUnnoticed(): boolean {
        return this.incarnation === undefined
            && [...this.attempts.all()].some(({ workerBoot }) => workerBoot < this.entry.boot);
    }

    /** The incarnation that calls may hold values for; `undefined` while the worker is lost or may have restarted. */
    private get reachableIncarnation(): WorkerIncarnation | undefined {
        return this.isFenced && this.isReachable ? this.incarnation : undefined;
    }

    describe(): unknown {
        return {
            id: this.id,
            listed: this.isListed,
            reachable: this.isReachable,
            fenced: this.isFenced,
            leaving: this.entry.leaving,
            room: this.freeCapacity,
            attempts: [...this.attempts.all()].map(({ task, number, status, percent, pace }) => ({
                task: task.name,
                attempt: number,
                status,
                percent,
                pace,
            })),
        };
    }

    /**
     * Returns the outcome of an order that failed with an unexpected error: a lost response, which reports and further
     * orders settle. Without an outcome, the attempt would keep its status for good.
     */
    private recordUnexpectedError(failure: unknown): OrderOutcome {
        const { logger } = this.options;
        logger.error({ worker: this.id, reason: describeUnknown(failure) }, "unexpected error in an order");
        return { kind: "unanswered" };
    }

    /**
     * Records the clock in the response to an order. Returns false if it cannot be that of the incarnation that the order
     * was meant for.
     */
    private recordOrderClock(incarnation: WorkerIncarnation, outcome: OrderOutcome, sentAt: number): boolean {
        const clock = outcome.kind === "done" || outcome.kind === "refused" ? outcome.clock : undefined;
        if (clock === undefined) {
            return true;
        }
        const isExpected = incarnation.lease.canRead(clock, sentAt);
        if (isExpected) {
            incarnation.lease.recordClock(clock, this.options.timers.now());
        }
        else if (incarnation === this.incarnation) {
            this.options.logger.info({ worker: this.id, clock }, "the clock of the worker has started anew");
            this.expectRestart();
        }
        return isExpected;
    }

    private handleStartOutcome(attempt: Attempt, outcome: OrderOutcome, token: number): void {
        const { timers, owner, logger } = this.options;
        const now = timers.now();
        const isStopping = attempt.status === AttemptStatus.Stopping;
        if (this.isReachable && (outcome.kind === "done" || outcome.kind === "refused")) {
            this.lastHeardAt = now;
        }
        if (outcome.kind === "done") {
            attempt.isConfirmed = true;
            if (isStopping) {
                void this.sendStop(attempt);
            }
            else {
                attempt.setStatus(AttemptStatus.Running, now);
            }
            return;
        }
        if (outcome.kind === "unanswered") {
            this.recordLoss(now);
            attempt.setStatus(isStopping ? AttemptStatus.Stopping : AttemptStatus.Unsettled, now);
            logger.info(
                { task: attempt.task.name, attempt: attempt.number, worker: this.id },
                "no response to start order",
            );
            this.wakeUp();
            return;
        }
        const reason = outcome.kind === "refused" ? outcome.reason : outcome.kind;
        logger.info(
            { task: attempt.task.name, attempt: attempt.number, worker: this.id, reason },
            "start order not executed",
        );
        // A start that a later token of this owner has overtaken is refused, too.
        const isOvertaken = reason === RefusalReason.Epoch && token !== this.tokens.current;
        if (reason === RefusalReason.Epoch && !isOvertaken) {
            owner.confirmOwnership();
        }
        if (reason === RefusalReason.Ticket) {
            owner.onTicketRejected(attempt);
        }
        else if (!isOvertaken) {
            this.health.recordRefusal(now);
        }
        this.endAttempt(attempt, EndKind.Lost, "");
        if (outcome.kind === "not_sent" || reason === RefusalReason.OtherWorker) {
            this.recordLoss(now);
            this.wakeUp();
        }
    }

    private async runPollLoop(): Promise<void> {
        while (!this.isClosed) {
            if (this.isIdle()) {
                await this.waitForWakeUp();
            }
            if (!this.isClosed) {
                await this.pollGuarded();
            }
        }
        this.options.port.closeConnections(this.id);
    }

    /** Polls once. An unexpected error is logged, since it must not end the session or the process. */
    private async pollGuarded(): Promise<void> {
        try {
            await this.poll();
        }
        catch (failure) {
            const { timers, logger } = this.options;
            logger.error({ worker: this.id, reason: describeUnknown(failure) }, "unexpected error in a report");
            await sleep(timers, RETRY_DELAY_MILLISECONDS);
        }
    }

    /** Whether polling can pause: no attempts, no ends to acknowledge, and the last poll succeeded. */
    private isIdle(): boolean {
        return this.reachableIncarnation?.hasUnacknowledgedEnds === false && this.attempts.size === 0
            && this.unexpectedAttemptCount === 0;
    }

    private wakeUp(): void {
        this.isWakeUpPending = true;
        this.endWait?.();
    }

    private async waitForWakeUp(): Promise<void> {
        if (!this.isWakeUpPending) {
            await new Promise<void>(resolve => {
                const subscription = this.options.timers.after(MAXIMUM_IDLE_MILLISECONDS, resolve);
                this.endWait = () => {
                    subscription[Symbol.dispose]();
                    resolve();
                };
            });
        }
        this.endWait = undefined;
        this.isWakeUpPending = false;
    }

    /** Fetches and applies one report. */
    private async poll(): Promise<void> {
        const { owner, port, timers } = this.options;
        const sentAt = timers.now();
        const incarnation = this.reachableIncarnation;
        const shouldRenew = incarnation !== undefined && owner.canExtendLease(this.id);
        const leaseUntil = shouldRenew ? incarnation.lease.issue(sentAt, owner.leaseMilliseconds) : undefined;
        const acknowledgedEnd = this.mayHaveDoneUnconfirmedStart(sentAt) ? 0 : incarnation?.endToAcknowledge ?? 0;
        const call: ReportCall = {
            sentAt,
            token: this.tokens.current,
            incarnation,
            acknowledgedEnd,
            lease: leaseUntil === undefined ? undefined : this.leases.recordCall(sentAt),
        };
        if (leaseUntil !== undefined || acknowledgedEnd > 0) {
            this.tokens.recordBoundCall();
        }
        const { address } = this.entry;
        const request = port.requestReport(this.entry, {
            fencingToken: call.token,
            acknowledgedEnd,
            ...(leaseUntil === undefined ? {} : { leaseUntil }),
            waitMilliseconds: this.pollWaitMilliseconds(shouldRenew),
        });
        const abandoned = new Promise<undefined>(resolve => this.abandonReport = () => resolve(undefined));
        const report = await Promise.race([request, abandoned]);
        this.abandonReport = undefined;
        this.isLeaseRenewed = shouldRenew;
        if (this.isClosed || report === undefined) {
            return;
        }
        if (report.isErr()) {
            await this.handleReportFailure(report.error, address);
            return;
        }
        this.answeredAddress = address;
        if (this.applyReport(report.value, call)) {
            this.hasDiscardedReport = false;
            await this.incarnation?.awaitStoredEnds(() => owner.waitUntilStored());
        }
        else if (this.hasDiscardedReport) {
            await sleep(timers, RETRY_DELAY_MILLISECONDS);
        }
        else {
            this.hasDiscardedReport = true;
        }
    }

    /** Whether the worker may have restarted since it was last heard, and have done a task whose start has no response. */
    private mayHaveDoneUnconfirmedStart(now: number): boolean {
        if (now - this.lastHeardAt <= SHORTEST_RESTART_MILLISECONDS) {
            return false;
        }
        for (const { startSentAt, isConfirmed } of this.attempts.all()) {
            if (startSentAt !== undefined && !isConfirmed) {
                return true;
            }
        }
        return false;
    }

    private pollWaitMilliseconds(isRenewal: boolean): number {
        if (!this.isReachable || !this.isFenced || this.attempts.size === 0) {
            return 0;
        }
        for (const { status } of this.attempts.all()) {
            if (status === AttemptStatus.Stopping || status === AttemptStatus.Unsettled) {
                return RECONCILIATION_WAIT_MILLISECONDS;
            }
        }
        if (!isRenewal) {
            return RECONCILIATION_WAIT_MILLISECONDS;
        }
        // After a pause of renewals, the lease may be about to expire.
        return this.isLeaseRenewed ? reportWaitMilliseconds(this.options.owner.workerCount()) : 0;
    }

    /** Ends the attempts on a worker that does not respond once all leases on it have expired. */
    endExpiredAttempts(): void {
        const now = this.options.timers.now();
        const isLost = !this.isReachable && this.hasPollFailed && this.attempts.size > 0;
        if (isLost && this.leases.haveExpired(now, this.mayHaveRestartedUnnoticed)) {
            this.crashes.presume([...this.attempts.all()]);
            this.endAllAttempts(EndKind.LeaseExpired);
        }
    }

    private async handleReportFailure(error: ServiceError, address: string): Promise<void> {
        const { owner, timers, logger } = this.options;
        if (this.isReachable) {
            logger.warn({ worker: this.id, error: error.kind, attempts: this.attempts.size }, "worker lost");
        }
        const now = timers.now();
        this.recordLoss(now);
        this.hasPollFailed = true;
        if (error.kind === ErrorKind.StaleEpoch) {
            owner.confirmOwnership();
        }
        // At an address at which this worker has never answered, another one says nothing about it: the entry may be wrong.
        if (error.kind === ErrorKind.StaleBoot && this.answeredAddress === address) {
            this.crashes.recordObserved([...this.attempts.all()], Infinity);
            this.endAllAttempts(EndKind.Lost);
        }
        else {
            this.endExpiredAttempts();
        }
        await sleep(timers, RETRY_DELAY_MILLISECONDS);
    }

    /** Returns false if the report does not count. */
    private applyReport(report: WorkerReport, call: ReportCall): boolean {
        const { owner, timers, logger } = this.options;
        const now = timers.now();
        const incarnation = this.identify(report, call);
        if (incarnation === undefined) {
            return false;
        }
        if (!this.isReachable) {
            logger.info({ worker: this.id, attempts: this.attempts.size }, "worker answers");
        }
        incarnation.lease.recordClock(report.clock, now);
        if (call.incarnation === incarnation) {
            incarnation.recordAcknowledged(call.acknowledgedEnd);
            this.leases.settle(call.lease);
        }
        this.lastHeardAt = now;
        this.isFenced = true;
        this.isReachable = true;
        this.hasPollFailed = false;
        const runningKeys = new Set<string>();
        this.unexpectedAttemptCount = 0;
        for (const runningReport of report.running) {
            runningKeys.add(attemptKey(runningReport.task, runningReport.attempt));
            const attempt = this.attempts.get(runningReport.task, runningReport.attempt);
            if (attempt === undefined) {
                this.unexpectedAttemptCount++;
                owner.onUnexpectedAttempt(this, runningReport);
            }
            else {
                applyRunningReport(attempt, runningReport, now);
            }
        }
        for (const end of incarnation.recordEnds(report.ended)) {
            const attempt = this.attempts.get(end.task, end.attempt);
            if (attempt !== undefined) {
                this.endAttempt(attempt, end.kind, end.checkpoint);
            }
        }
        if (report.ended.length < MAXIMUM_ENDS_PER_REPORT) {
            this.reconcileAttempts(runningKeys, call.sentAt);
        }
        owner.onReport(this);
        return true;
    }

    /**
     * The incarnation that a report is from; `undefined` if the report does not count, since the incarnation has ended or
     * may still execute calls that were meant for a former one.
     */
    private identify(report: WorkerReport, call: ReportCall): WorkerIncarnation | undefined {
        const { logger } = this.options;
        const known = this.incarnation;
        const boot = report.boot ?? UNKNOWN_BOOT;
        if (boot !== UNKNOWN_BOOT && boot < Math.max(known?.boot ?? 0, this.entry.boot)) {
            logger.info({ worker: this.id, boot, latest: this.entry.boot }, "report of a former incarnation");
            this.expectRestart();
            return undefined;
        }
        // A report that was requested before a sign of a restart says nothing about it.
        const isKnown = known !== undefined && known.boot === boot && call.token === this.tokens.current
            && (boot !== UNKNOWN_BOOT || known.lease.canRead(report.clock, call.sentAt));
        if (isKnown) {
            if (boot !== UNKNOWN_BOOT) {
                this.crashes.settlePresumed(boot);
            }
            return known;
        }
        if (this.tokens.mustAdvance || call.token !== this.tokens.current) {
            this.expectRestart();
            return undefined;
        }
        if (known !== undefined) {
            logger.info({ worker: this.id, from: known.boot, to: boot }, "worker restarted");
        }
        return this.adopt(new WorkerIncarnation(boot), report, known !== undefined);
    }

    /** Takes over an incarnation that refuses all calls which were meant for former ones. */
    private adopt(incarnation: WorkerIncarnation, report: WorkerReport, isRestart: boolean): WorkerIncarnation {
        const { owner, logger } = this.options;
        this.incarnation = incarnation;
        if (this.leases.adopt(incarnation, report.clock, isRestart)) {
            logger.info(
                { worker: this.id, boot: incarnation.boot },
                "worker may hold a lease for its former incarnation",
            );
            // The owner record has to state the longer lease.
            owner.confirmOwnership();
        }
        const firstEnd = report.ended[0]?.number ?? 1;
        if (isRestart && firstEnd > 1) {
            logger.error({ worker: this.id, firstEnd }, "ends of the worker were acknowledged before they were read");
        }
        this.settleEarlierAttempts(report, incarnation.boot, isRestart);
        return incarnation;
    }

    /** Lets the next report request, which is sent at once, find out which incarnation answers. */
    private expectRestart(): void {
        this.isFenced = false;
        this.tokens.advance();
        this.leases.expectRestart(this.options.timers.now());
        this.abandonReport?.();
        this.wakeUp();
    }

    /** Reconciles attempts with a report that was requested after their last change of status. */
    private reconcileAttempts(runningKeys: ReadonlySet<string>, sentAt: number): void {
        const { logger, stopMilliseconds } = this.options;
        for (const attempt of [...this.attempts.all()]) {
            const isReported = runningKeys.has(attemptKey(attempt.task.name, attempt.number));
            const { status, statusChangedAt, stopConfirmedAt } = attempt;
            if (status === AttemptStatus.Stopping) {
                if (stopConfirmedAt === undefined) {
                    void this.sendStop(attempt);
                }
                else if (!isReported && stopConfirmedAt + stopMilliseconds < sentAt) {
                    this.endAttempt(attempt, EndKind.Lost, "");
                }
            }
            else if (isReported || statusChangedAt >= sentAt || status === AttemptStatus.Starting) {
                continue;
            }
            else if (status === AttemptStatus.Unsettled) {
                // The start may still be executed until the worker has confirmed a stop.
                this.stop(attempt);
            }
            else {
                if (status === AttemptStatus.Running) {
                    logger.warn(
                        { task: attempt.task.name, attempt: attempt.number, worker: this.id },
                        "running attempt missing from the worker's report",
                    );
                }
                this.endAttempt(attempt, EndKind.Lost, "");
            }
        }
    }

    private recordLoss(now: number): void {
        if (this.isReachable) {
            this.lostAt = now;
            this.wasLostOnTrial = this.isOnTrial(now);
        }
        this.isReachable = false;
    }

    /** Ends the attempts of incarnations before the reported one, apart from those that it runs or has run. */
    private settleEarlierAttempts({ running, ended }: WorkerReport, boot: number, isRestart: boolean): void {
        const earlier = [...this.attempts.all()].filter(({ workerBoot }) => isRestart || workerBoot < boot);
        const reported = new Set(
            earlier.length === 0 ? [] : [...running, ...ended].map(({ task, attempt }) => attemptKey(task, attempt)),
        );
        const missing = earlier.filter(({ task, number }) => !reported.has(attemptKey(task.name, number)));
        this.crashes.recordObserved(missing, boot);
        for (const attempt of earlier) {
            if (missing.includes(attempt)) {
                this.endAttempt(attempt, EndKind.Lost, "");
            }
            else {
                attempt.workerBoot = boot;
            }
        }
    }

    private async sendStop(attempt: Attempt): Promise<void> {
        const { owner, port, timers } = this.options;
        const { incarnation } = this;
        if (this.stopsInFlight.has(attempt) || attempt.stopConfirmedAt !== undefined || !attempt.isLive) {
            return;
        }
        this.stopsInFlight.add(attempt);
        const sentAt = timers.now();
        const token = this.tokens.current;
        const order = { fencingToken: token, task: attempt.task.name, attempt: attempt.number };
        let outcome: OrderOutcome;
        try {
            outcome = await port.stop(this.entry, order);
        }
        catch (failure) {
            outcome = this.recordUnexpectedError(failure);
        }
        this.stopsInFlight.delete(attempt);
        const isFromIncarnation = incarnation === undefined || this.recordOrderClock(incarnation, outcome, sentAt);
        if (outcome.kind === "done" && isFromIncarnation) {
            attempt.stopConfirmedAt = timers.now();
        }
        else if (
            outcome.kind === "refused" && outcome.reason === RefusalReason.Epoch && token === this.tokens.current
        ) {
            owner.confirmOwnership();
        }
    }

    private endAllAttempts(kind: EndKind): void {
        for (const attempt of [...this.attempts.all()]) {
            this.endAttempt(attempt, kind, "");
        }
    }

    private endAttempt(attempt: Attempt, kind: EndKind, checkpoint: string): void {
        this.cachedFreeCapacity = undefined;
        if (this.attempts.remove(attempt)) {
            attempt.setStatus(AttemptStatus.Ended, this.options.timers.now());
            this.options.owner.onAttemptEnded(attempt, kind, checkpoint);
        }
    }
}

function applyRunningReport(attempt: Attempt, report: RunningReport, now: number): void {
    const { status, task } = attempt;
    attempt.isConfirmed = true;
    if (status === AttemptStatus.Starting || status === AttemptStatus.Unsettled || status === AttemptStatus.Unknown) {
        attempt.setStatus(AttemptStatus.Running, now);
        attempt.progressedAt = now;
    }
    if (report.percent !== attempt.percent) {
        attempt.percent = report.percent;
        attempt.progressedAt = now;
    }
    attempt.load = report.load;
    if (report.checkpoint !== "") {
        task.checkpoint = report.checkpoint;
    }
}
