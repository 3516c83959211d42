/**
 * The owner's side of one worker: reports and lease renewal in one long poll, starts, stops, and the settling of orders
 * whose answers were lost. The first report under an epoch fences earlier owners out.
 */
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import { type Resources, subtractResources } from "@tanagerlink/model";
import { sleep } from "@tanagerlink/timers";
import { type Attempt, AttemptStatus, EndKind, type StepRun } from "@tanagerlink/workflow";
import type { SessionOptions } from "./sessionOwner.ts";
import { attemptKey, WorkerAttempts } from "./workerAttempts.ts";
import { WorkerHealth } from "./workerHealth.ts";
import { WorkerLease } from "./workerLease.ts";
import {
    type OrderOutcome,
    RefusalReason,
    type RunningReport,
    type WorkerEntry,
    type WorkerReport,
} from "./workerPort.ts";

/** Longest wait of a report for an end; also bounds the age of what is known of tail latencies. */
const REPORT_WAIT_MILLISECONDS = 1_000;
/** Wait of a report while orders have to be settled; longer than a stop takes. */
const SETTLING_WAIT_MILLISECONDS = 250;
/** Pause after a report that failed. */
const RETRY_MILLISECONDS = 150;
/**
 * Lease of a start. Reports renew it at once. A start that is carried out late is refused by the worker after it,
 * and lost answers are followed by orders that are carried out two seconds later or more.
 */
const START_LEASE_MILLISECONDS = 1_900;
/** A report lists at most this many ends, so that live attempts may be missing from a full one. */
const FULL_REPORT_ENDS = 500;

export class WorkerSession {
    entry: WorkerEntry;
    /** Whether the platform's list has the worker. */
    listed = true;
    readonly health = new WorkerHealth();
    private readonly options: SessionOptions;
    private readonly attempts = new WorkerAttempts();
    private readonly lease = new WorkerLease();
    private fenced = false;
    private reachable = false;
    private strays = 0;
    private boot: number;
    private lastEnd = 0;
    /** Ends up to this number are stored, and the same as the worker was last told. */
    private acknowledgedEnd = 0;
    private toldEnd = 0;
    private closed = false;
    private wake = new AbortController();
    private readonly stopsInFlight = new Set<Attempt>();

    constructor(options: SessionOptions) {
        this.options = options;
        this.entry = options.entry;
        this.boot = options.entry.boot;
    }

    get id(): string {
        return this.entry.id;
    }

    /** Identifies the worker's present life. */
    get life(): number {
        return this.boot;
    }

    get liveAttempts(): IterableIterator<Attempt> {
        return this.attempts.all();
    }

    get attemptCount(): number {
        return this.attempts.size;
    }

    /** Room for further tasks. */
    get room(): Resources {
        return subtractResources(this.entry.capacity, this.attempts.occupiedRoom);
    }

    /** Whether the worker takes new tasks. */
    isUsable(now: number): boolean {
        return this.listed && this.fenced && this.reachable && this.strays === 0 && !this.entry.leaving
            && !this.health.isResting(now);
    }

    /** Whether a task runs here whose response times are bounded. */
    get servesUsers(): boolean {
        return this.attempts.servesUsers;
    }

    countOf(step: StepRun): number {
        return this.attempts.countOf(step);
    }

    /** Takes the room of an attempt. */
    add(attempt: Attempt): void {
        this.attempts.add(attempt);
    }

    run(): void {
        void this.loop();
    }

    close(): void {
        this.closed = true;
        this.wake.abort();
    }

    /** Takes in a changed entry of the platform's list. */
    update(entry: WorkerEntry): void {
        const reborn = entry.boot > this.boot;
        this.entry = entry;
        this.listed = true;
        if (reborn) {
            // The new life has another clock and does not know the epoch.
            this.fenced = false;
            this.nudge();
        }
    }

    /** Sends the start of an attempt whose record is stored. */
    async start(attempt: Attempt, ticket: string | undefined): Promise<void> {
        const { owner, port, timers } = this.options;
        const leaseUntil = this.lease.until(timers.now(), START_LEASE_MILLISECONDS);
        const isWanted = attempt.live && attempt.status !== AttemptStatus.Stopping;
        if (!isWanted || leaseUntil === undefined || this.closed) {
            this.end(attempt, EndKind.Lost, "");
            return;
        }
        attempt.startedAt = timers.now();
        attempt.movedAt = timers.now();
        this.nudge();
        const outcome = await port.start(this.entry, {
            epoch: owner.epoch,
            task: attempt.task.name,
            attempt: attempt.number,
            payload: attempt.task.step.job.specification.payload,
            leaseUntil,
            checkpoint: attempt.task.checkpoint,
            ticket,
        });
        if (!this.closed && attempt.live) {
            this.startAnswered(attempt, outcome);
        }
    }

    /** Asks the worker to stop an attempt; it ends once the worker lists its end. */
    stop(attempt: Attempt): void {
        const starting = attempt.status === AttemptStatus.Starting;
        if (attempt.live && attempt.status !== AttemptStatus.Stopping) {
            attempt.become(AttemptStatus.Stopping, this.options.timers.now());
        }
        // Before its answer, the stop could overtake the start.
        if (!starting) {
            void this.sendStop(attempt);
        }
        this.nudge();
    }

    /** Stops something that the records do not have on this worker. */
    async stopStray(report: RunningReport): Promise<void> {
        const { owner, port } = this.options;
        await port.stop(this.entry, { epoch: owner.epoch, task: report.task, attempt: report.attempt });
    }

    async setPace(attempt: Attempt, percent: number): Promise<void> {
        const { owner, port } = this.options;
        attempt.pace = percent;
        const order = { epoch: owner.epoch, task: attempt.task.name, attempt: attempt.number, percent };
        const outcome = await port.pace(this.entry, order);
        if (outcome.kind !== "done" && attempt.live && attempt.pace === percent) {
            // Unknown at the worker; the next report decides again.
            attempt.pace = Number.NaN;
        }
    }

    describe(): unknown {
        return {
            id: this.id,
            listed: this.listed,
            reachable: this.reachable,
            fenced: this.fenced,
            leaving: this.entry.leaving,
            room: this.room,
            attempts: [...this.attempts.all()].map(({ task, number, status, percent, pace }) => ({
                task: task.name,
                attempt: number,
                status,
                percent,
                pace,
            })),
        };
    }

    private startAnswered(attempt: Attempt, outcome: OrderOutcome): void {
        const { timers, owner, logger } = this.options;
        const now = timers.now();
        const stopping = attempt.status === AttemptStatus.Stopping;
        if (outcome.kind === "done") {
            if (outcome.clock !== undefined) {
                this.lease.read(outcome.clock, now);
            }
            if (stopping) {
                void this.sendStop(attempt);
            }
            else {
                attempt.become(AttemptStatus.Running, now);
            }
            return;
        }
        if (outcome.kind === "unanswered") {
            this.reachable = false;
            attempt.become(stopping ? AttemptStatus.Stopping : AttemptStatus.Unsettled, now);
            logger.info({ task: attempt.task.name, attempt: attempt.number, worker: this.id }, "start unanswered");
            this.nudge();
            return;
        }
        const reason = outcome.kind === "refused" ? outcome.reason : outcome.kind;
        logger.info({ task: attempt.task.name, attempt: attempt.number, worker: this.id, reason }, "start refused");
        if (reason === RefusalReason.Epoch) {
            owner.suspectDeposed();
        }
        if (reason === RefusalReason.Ticket) {
            owner.ticketRefused(attempt);
        }
        else {
            this.health.declined(now);
        }
        this.end(attempt, EndKind.Lost, "");
        if (outcome.kind === "not_sent" || reason === RefusalReason.OtherWorker) {
            this.reachable = false;
            this.nudge();
        }
    }

    private async loop(): Promise<void> {
        while (!this.closed) {
            if (this.isIdle()) {
                await this.woken();
            }
            if (!this.closed) {
                await this.look();
            }
        }
        this.options.port.release(this.id);
    }

    /** Nothing runs, nothing is to be acknowledged and the worker answered last. */
    private isIdle(): boolean {
        return this.fenced && this.reachable && this.attempts.size === 0 && this.strays === 0
            && this.toldEnd === this.lastEnd;
    }

    private nudge(): void {
        this.wake.abort();
    }

    private async woken(): Promise<void> {
        const { signal } = this.wake;
        if (!signal.aborted) {
            await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
        }
        this.wake = new AbortController();
    }

    /** One report. */
    private async look(): Promise<void> {
        const { owner, port, timers, leaseMilliseconds } = this.options;
        const sentAt = timers.now();
        const renews = this.reachable && owner.mayRenewLeases();
        const leaseUntil = renews ? this.lease.until(sentAt, leaseMilliseconds) : undefined;
        const acknowledgedEnd = this.acknowledgedEnd;
        const report = await port.hold(this.entry, {
            epoch: owner.epoch,
            acknowledgedEnd,
            ...(leaseUntil === undefined ? {} : { leaseUntil }),
            waitMilliseconds: this.waitMilliseconds(),
        });
        if (this.closed) {
            return;
        }
        if (report.isErr()) {
            await this.reportFailed(report.error);
            return;
        }
        this.toldEnd = acknowledgedEnd;
        this.takeIn(report.value, sentAt);
        if (this.lastEnd !== this.acknowledgedEnd) {
            const upTo = this.lastEnd;
            if (await owner.stored()) {
                this.acknowledgedEnd = Math.max(this.acknowledgedEnd, upTo);
            }
        }
    }

    private waitMilliseconds(): number {
        if (!this.reachable || !this.fenced || this.attempts.size === 0) {
            return 0;
        }
        const settling = [...this.attempts.all()].some(attempt =>
            attempt.status === AttemptStatus.Stopping || attempt.status === AttemptStatus.Unsettled
        );
        return settling ? SETTLING_WAIT_MILLISECONDS : REPORT_WAIT_MILLISECONDS;
    }

    private async reportFailed(error: ServiceError): Promise<void> {
        const { owner, timers, logger } = this.options;
        if (this.reachable) {
            logger.warn({ worker: this.id, error: error.kind, attempts: this.attempts.size }, "worker lost");
        }
        this.reachable = false;
        if (error.kind === ErrorKind.StaleEpoch) {
            owner.suspectDeposed();
        }
        const now = timers.now();
        const lapsed = this.lease.known ? this.lease.hasLapsed(now) : now >= owner.earlierLeasesLapseAt();
        if (error.kind === ErrorKind.StaleBoot || lapsed) {
            this.endAll(error.kind === ErrorKind.StaleBoot ? EndKind.Lost : EndKind.Lapsed);
        }
        await sleep(timers, RETRY_MILLISECONDS);
    }

    private takeIn(report: WorkerReport, sentAt: number): void {
        const { owner, timers, logger } = this.options;
        const now = timers.now();
        if (!this.reachable) {
            logger.info({ worker: this.id, attempts: this.attempts.size }, "worker answers");
        }
        if (report.boot !== undefined && report.boot !== this.boot) {
            this.restarted(report.boot);
        }
        this.lease.read(report.clock, now);
        this.fenced = true;
        this.reachable = true;
        const running = new Set<string>();
        this.strays = 0;
        for (const entry of report.running) {
            running.add(attemptKey(entry.task, entry.attempt));
            const attempt = this.attempts.get(entry.task, entry.attempt);
            if (attempt === undefined) {
                this.strays++;
                owner.strayAttempt(this, entry);
            }
            else {
                observe(attempt, entry, now);
            }
        }
        for (const end of report.ended) {
            if (end.number > this.lastEnd) {
                this.lastEnd = end.number;
                const attempt = this.attempts.get(end.task, end.attempt);
                if (attempt !== undefined) {
                    this.end(attempt, end.kind, end.checkpoint);
                }
            }
        }
        if (report.ended.length < FULL_REPORT_ENDS) {
            this.settle(running, sentAt);
        }
        owner.reported(this);
    }

    /** Decides on attempts that a report sent after their last change does not list. */
    private settle(running: ReadonlySet<string>, sentAt: number): void {
        const { logger, stopMilliseconds } = this.options;
        for (const attempt of [...this.attempts.all()]) {
            const isListed = running.has(attemptKey(attempt.task.name, attempt.number));
            const { status, changedAt, stopConfirmedAt } = attempt;
            if (status === AttemptStatus.Stopping) {
                if (stopConfirmedAt === undefined) {
                    void this.sendStop(attempt);
                }
                else if (!isListed && stopConfirmedAt + stopMilliseconds < sentAt) {
                    this.end(attempt, EndKind.Lost, "");
                }
            }
            else if (isListed || changedAt >= sentAt || status === AttemptStatus.Starting) {
                continue;
            }
            else if (status === AttemptStatus.Unsettled) {
                // It may still begin until the worker has confirmed a stop.
                this.stop(attempt);
            }
            else {
                if (status === AttemptStatus.Running) {
                    logger.warn(
                        { task: attempt.task.name, attempt: attempt.number, worker: this.id },
                        "attempt missing",
                    );
                }
                this.end(attempt, EndKind.Lost, "");
            }
        }
    }

    private restarted(boot: number): void {
        const { logger } = this.options;
        logger.info({ worker: this.id, from: this.boot, to: boot }, "worker restarted");
        this.boot = boot;
        this.lease.restart();
        this.lastEnd = 0;
        this.acknowledgedEnd = 0;
        this.toldEnd = 0;
        for (const attempt of [...this.attempts.all()]) {
            // A start whose answer is missing may have reached the new life.
            const open = attempt.status === AttemptStatus.Starting || attempt.status === AttemptStatus.Unsettled;
            if (!open && attempt.workerBoot !== boot) {
                this.end(attempt, EndKind.Lost, "");
            }
        }
    }

    private async sendStop(attempt: Attempt): Promise<void> {
        const { owner, port, timers } = this.options;
        if (this.stopsInFlight.has(attempt) || attempt.stopConfirmedAt !== undefined || !attempt.live) {
            return;
        }
        this.stopsInFlight.add(attempt);
        const order = { epoch: owner.epoch, task: attempt.task.name, attempt: attempt.number };
        const outcome = await port.stop(this.entry, order);
        this.stopsInFlight.delete(attempt);
        if (outcome.kind === "done") {
            attempt.stopConfirmedAt = timers.now();
        }
        else if (outcome.kind === "refused" && outcome.reason === RefusalReason.Epoch) {
            owner.suspectDeposed();
        }
    }

    private endAll(kind: EndKind): void {
        for (const attempt of [...this.attempts.all()]) {
            this.end(attempt, kind, "");
        }
    }

    private end(attempt: Attempt, kind: EndKind, checkpoint: string): void {
        if (this.attempts.remove(attempt)) {
            attempt.become(AttemptStatus.Ended, this.options.timers.now());
            this.options.owner.attemptEnded(attempt, kind, checkpoint);
        }
    }
}

function observe(attempt: Attempt, entry: RunningReport, now: number): void {
    const { status, task } = attempt;
    if (status === AttemptStatus.Starting || status === AttemptStatus.Unsettled || status === AttemptStatus.Unknown) {
        attempt.become(AttemptStatus.Running, now);
        attempt.movedAt = now;
    }
    if (entry.percent !== attempt.percent) {
        attempt.percent = entry.percent;
        attempt.movedAt = now;
    }
    attempt.load = entry.load;
    if (entry.checkpoint !== "") {
        task.checkpoint = entry.checkpoint;
    }
}
