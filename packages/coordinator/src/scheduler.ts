/** Decides in rounds which waiting tasks start on which workers, and for which steps hint calls are made. */
import { describeUnknown } from "@tanagerlink/errors";
import type { HintDispatcher } from "@tanagerlink/hints";
import { multiplyResources } from "@tanagerlink/model";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { Attempt, type JobRun, JobState, type StepRun } from "@tanagerlink/workflow";
import { type ActiveStep, ActiveSteps } from "./activeSteps.ts";
import type { CellPolicy, QueueRule } from "./cellPolicy.ts";
import type { CoordinatorMetrics } from "./coordinatorMetrics.ts";
import { findObstacle, type Obstacle } from "./feasibility.ts";
import type { Fleet } from "./fleet.ts";
import { GangReservations } from "./gangReservations.ts";
import { HeldCapacity } from "./heldCapacity.ts";
import { entitlementOf } from "./longWaits.ts";
import { type Placement, type PlacementResult, placeTasks, type WorkerAccess } from "./placement.ts";
import { PlacementMonitor } from "./placementMonitor.ts";
import { sortByUrgency } from "./stepOrder.ts";
import type { TeamUsage } from "./teamUsage.ts";
import { TrialClaims } from "./trialClaims.ts";
import { selectTasks } from "./trials.ts";
import { diagnoseWait, type WaitDiagnosis } from "./waitDiagnosis.ts";
import { WaitReason } from "./waitTimes.ts";
import type { WorkerSession } from "./workerSession.ts";

/** A hint call names more workers than needed, since a second call costs more than further names in one. */
const HINT_CALL_WORKERS_PER_WAITING_TASK = 4;
const MINIMUM_WORKERS_PER_HINT_CALL = 12;
/** Limit of the hint service. */
const MAXIMUM_WORKERS_PER_HINT_CALL = 100;
/** Delay of the next hint call of a step after a failed one. */
const HINT_RETRY_DELAY_MILLISECONDS = 300;
/** A round that has taken this long continues after pending input has been processed. */
const ROUND_BUDGET_MILLISECONDS = 10;
/** Waiting time of a step before it is checked whether it could start on empty workers, and between such checks. */
const FEASIBILITY_CHECK_INTERVAL_MILLISECONDS = 2_000;

export interface SchedulerOptions {
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: CoordinatorMetrics;
    readonly fleet: Fleet;
    readonly usage: TeamUsage;
    readonly hintDispatcher: Pick<HintDispatcher, "request">;
    readonly policy: () => CellPolicy | undefined;
    /** Stores the attempts and then sends their start orders. */
    readonly startAttempts: (attempts: readonly PlacedAttempt[]) => void;
    /** Requests a further round. */
    readonly requestRound: () => void;
}

/** An attempt that occupies capacity and is yet to be stored and started. */
export interface PlacedAttempt {
    readonly attempt: Attempt;
    readonly worker: WorkerSession;
    readonly ticket: string | undefined;
}

export class Scheduler {
    private readonly options: SchedulerOptions;
    private readonly steps = new ActiveSteps();
    private readonly heldCapacity = new HeldCapacity();
    private readonly reservations = new GangReservations();
    private readonly trialClaims = new TrialClaims();
    private readonly feasibilityCheckedAt = new WeakMap<ActiveStep, number>();
    private readonly monitor: PlacementMonitor;

    constructor(options: SchedulerOptions) {
        this.options = options;
        const { timers, logger, fleet, metrics } = options;
        this.monitor = new PlacementMonitor({
            timers,
            logger,
            gauges: metrics.placement,
            steps: this.steps,
            fleet,
            diagnose: entry => this.diagnose(entry),
        });
    }

    /** Activates the steps of a job that can start. */
    activate(job: JobRun): void {
        const { timers } = this.options;
        for (const step of job.readySteps(timers.wallClock())) {
            step.readyAt ??= timers.now();
            this.steps.add(step);
        }
    }

    /** Removes the steps of a job that has ended. */
    deactivate(job: JobRun): void {
        for (const { steps } of job.occurrences) {
            for (const step of steps) {
                const entry = this.steps.get(step);
                if (entry !== undefined) {
                    this.releaseCapacity(entry);
                    this.steps.remove(entry);
                }
            }
        }
    }

    get activeStepCount(): number {
        return this.steps.size;
    }

    /** Whether a round has any step to check. */
    get hasWork(): boolean {
        return this.steps.hasWork;
    }

    /** Discards a ticket that a worker has rejected. */
    discardTicket(step: StepRun, worker: string): void {
        this.steps.get(step)?.hints.discardTicket(worker);
    }

    /** Records that an attempt has ended: its step may wait again, and its capacity is free. */
    recordAttemptEnded({ task }: Attempt, worker: WorkerSession | undefined): void {
        const entry = this.steps.get(task.step);
        if (entry !== undefined) {
            this.steps.markDue(entry);
        }
        if (worker !== undefined) {
            this.steps.recordGrowth(worker);
        }
        this.steps.recordRelease(task.step.job.specification.team);
    }

    /** Records that a worker has more free capacity or accepts tasks again. */
    recordGrowth(worker: WorkerSession): void {
        this.steps.recordGrowth(worker);
    }

    /** Lets the next round check all steps, after a change of the policy. */
    markAllDue(): void {
        this.steps.markAllDue();
    }

    /** Lets the next round check the steps whose recheck is due. */
    markRechecks(): void {
        this.steps.markRechecks(this.options.timers.now());
    }

    /** The steps that have waited long and could not start even on empty workers, as far as known. */
    findObstacles(): { readonly job: JobRun; readonly obstacle: Obstacle | undefined; }[] {
        const now = this.options.timers.now();
        const found: { readonly job: JobRun; readonly obstacle: Obstacle | undefined; }[] = [];
        for (const entry of this.steps.all()) {
            const checkedAt = this.feasibilityCheckedAt.get(entry) ?? entry.step.readyAt ?? now;
            if (entry.blockedBy !== undefined && now - checkedAt >= FEASIBILITY_CHECK_INTERVAL_MILLISECONDS) {
                this.feasibilityCheckedAt.set(entry, now);
                found.push({ job: entry.step.job, obstacle: this.findObstacle(entry) });
            }
        }
        return found;
    }

    /** Logs what steps wait for that have waited long, and updates the gauges of placement. */
    reportWaits(): void {
        this.monitor.tick();
    }

    /** Checks the steps that a change may let start, and places as many of their tasks as possible. */
    runRound(): void {
        const policy = this.options.policy();
        if (policy === undefined) {
            return;
        }
        const { timers } = this.options;
        const startedAt = timers.now();
        const due = this.steps.takeDue(
            startedAt,
            (worker, entry) => this.heldCapacity.freeCapacityFor(worker, entry),
        );
        const placed: PlacedAttempt[] = [];
        for (const entry of this.orderSteps(due, policy)) {
            if (timers.now() - startedAt > ROUND_BUDGET_MILLISECONDS) {
                this.steps.markDue(entry);
            }
            else {
                this.runGuarded(entry, () => placed.push(...this.placeStep(entry, policy)));
            }
        }
        if (placed.length > 0) {
            this.options.startAttempts(placed);
        }
        if (this.steps.hasWork) {
            this.options.requestRound();
        }
    }

    /** Logs an unexpected error in the placement of one step, which must not keep the others from being placed. */
    private runGuarded(entry: ActiveStep, action: () => void): void {
        try {
            action();
        }
        catch (failure) {
            const { timers, logger } = this.options;
            logger.error(
                { step: entry.step.name, reason: describeUnknown(failure) },
                "unexpected error in the placement of a step; it is checked again later",
            );
            this.steps.block(entry, WaitReason.Capacity, timers.now());
        }
    }

    private findObstacle({ step, hints, service }: ActiveStep): Obstacle | undefined {
        const { fleet, usage } = this.options;
        const workers = fleet.workersOfService(service).filter(({ isListed }) => isListed);
        return findObstacle(step, workers, hints, size => usage.fitsLimit(step.job.specification.team, size));
    }

    private diagnose(entry: ActiveStep): WaitDiagnosis {
        const { fleet, timers, policy } = this.options;
        const now = timers.now();
        return diagnoseWait({
            entry,
            workers: fleet.workersOfService(entry.service),
            evacuated: policy()?.evacuated ?? new Set(),
            claims: this.trialClaims.countsOf(entry, now),
            ...this.accessOf(entry, now),
            now,
        });
    }

    /** What a step may use of the workers in view of what others wait for. */
    private accessOf(entry: ActiveStep, now: number): WorkerAccess {
        const mayUse = entitlementOf(entry, this.options.fleet, now);
        const claimedByOthers = mayUse.claimedWorkers ? [] : this.trialClaims.othersOf(entry, now);
        return {
            isReserved: worker =>
                claimedByOthers.includes(worker)
                || !mayUse.reservedWorkers && this.reservations.isReserved(worker, entry, now),
            mayUseQuarantined: mayUse.quarantinedWorkers,
            // Hint calls in vain for capacity that others hold would delay the calls of all of them.
            freeCapacityOf: worker =>
                mayUse.heldCapacity && (!entry.isHinted || entry.hints.isAllowed(worker.id))
                    ? worker.freeCapacity
                    : this.heldCapacity.freeCapacityFor(worker, entry),
        };
    }

    /** Removes the steps that are done or whose jobs have ended, and returns the others in the order of placement. */
    private orderSteps(due: readonly ActiveStep[], policy: CellPolicy): ActiveStep[] {
        const open: ActiveStep[] = [];
        for (const entry of due) {
            if (entry.step.job.isOpen && !entry.step.isDone) {
                this.applyRule(entry, policy);
                open.push(entry);
            }
            else {
                this.releaseCapacity(entry);
                this.steps.remove(entry);
            }
        }
        return sortByUrgency(open, this.options.fleet, this.options.usage);
    }

    private applyRule(entry: ActiveStep, policy: CellPolicy): void {
        const rule = queueRuleOf(entry.step.job, policy);
        if (rule.service !== entry.service) {
            this.releaseCapacity(entry);
            this.steps.unblock(entry);
        }
        entry.priority = rule.priority;
        entry.service = rule.service;
        entry.isHinted = rule.hinted;
    }

    /** Releases the capacity that is held, reserved or claimed for a step, for which other steps may wait. */
    private releaseCapacity(entry: ActiveStep): void {
        const { heldCapacity, reservations, trialClaims } = this;
        for (const workers of [heldCapacity.release(entry), reservations.release(entry), trialClaims.release(entry)]) {
            workers.forEach(worker => this.steps.recordGrowth(worker));
        }
    }

    private placeStep(entry: ActiveStep, policy: CellPolicy): PlacedAttempt[] {
        const { fleet, usage, timers } = this.options;
        const { step } = entry;
        const waitingTasks = step.waitingTasks();
        if (waitingTasks.length === 0) {
            this.releaseCapacity(entry);
            this.steps.unblock(entry);
            return [];
        }
        const { team } = step.job.specification;
        const now = timers.now();
        const unitSize = step.specification.gang
            ? multiplyResources(step.specification.size, waitingTasks.length)
            : step.specification.size;
        if (!usage.allows(team, unitSize)) {
            this.releaseCapacity(entry);
            entry.waitsSince = undefined;
            entry.waitTimes.startWait(WaitReason.Limit, now);
            this.steps.block(entry, WaitReason.Limit, now);
            return [];
        }
        const formerlyHeld = this.heldCapacity.release(entry);
        const workers = fleet.workersOfService(entry.service);
        const claimedWorkers = this.trialClaims.workersOf(entry, now);
        let isLimitReached = false;
        const result = placeTasks({
            step,
            tasks: selectTasks(waitingTasks, workers, this.trialClaims.countsOf(entry, now), now),
            taskSize: entry.taskSize,
            workers,
            evacuated: policy.evacuated,
            hints: entry.isHinted ? entry.hints : undefined,
            claimedWorkers,
            ...this.accessOf(entry, now),
            now,
            acquireTeamCapacity: () => {
                const allowed = usage.allows(team, unitSize);
                if (allowed) {
                    usage.add(team, unitSize);
                }
                isLimitReached ||= !allowed;
                return allowed;
            },
        });
        // A step whose hint call has failed leaves the room to others until it makes the next one.
        const workersToHold = isLimitReached || now < entry.hints.retryAt ? [] : result.workersToHold;
        this.heldCapacity.hold(entry, workersToHold);
        for (const worker of formerlyHeld) {
            if (!workersToHold.includes(worker)) {
                this.steps.recordGrowth(worker);
            }
        }
        const attempts = this.createAttempts(entry, result.placements);
        const isTrialBegun = result.placements.some(({ task }) => task.isSuspect);
        const mayClaim = step.hasWaitingSuspect && !isLimitReached && !isTrialBegun && now >= entry.hints.retryAt;
        const noLongerClaimed = mayClaim
            ? this.trialClaims.claim(entry, result.workersForTrial, now)
            : this.trialClaims.release(entry);
        noLongerClaimed.forEach(worker => this.steps.recordGrowth(worker));
        if (claimedWorkers.length === 0 && this.trialClaims.workersOf(entry, now).length > 0) {
            // The next check asks hints for the claimed workers.
            this.steps.markDue(entry);
        }
        if (attempts.length > 0) {
            entry.waitsSince = undefined;
        }
        if (result.placements.length < waitingTasks.length) {
            // The attempts above must be started even if this fails.
            this.runGuarded(entry, () => this.waitForChange(entry, policy, result, isLimitReached));
        }
        else {
            this.reservations.release(entry).forEach(worker => this.steps.recordGrowth(worker));
            this.steps.unblock(entry);
        }
        return attempts;
    }

    /** Lets a step that could not be placed completely wait for what it lacks. */
    private waitForChange(
        entry: ActiveStep,
        policy: CellPolicy,
        result: PlacementResult,
        isLimitReached: boolean,
    ): void {
        const { fleet, timers } = this.options;
        const now = timers.now();
        entry.waitsSince ??= now;
        if (entry.isHinted && !isLimitReached) {
            this.requestHints(entry, queueRuleOf(entry.step.job, policy), result);
        }
        const lacksTickets = entry.hints.isRequestPending || result.workersWithoutTicket.length > 0;
        const reason = lacksTickets ? WaitReason.Hints : WaitReason.Capacity;
        entry.waitTimes.startWait(isLimitReached ? WaitReason.Limit : reason, now);
        this.steps.block(entry, isLimitReached ? WaitReason.Limit : reason, now);
        if (now < entry.hints.retryAt) {
            entry.recheckAt = Math.min(entry.recheckAt, entry.hints.retryAt);
        }
        this.reservations.reserve(entry, fleet.workersOfService(entry.service), now)
            .forEach(worker => this.steps.recordGrowth(worker));
    }

    private createAttempts({ step, waitTimes }: ActiveStep, placements: readonly Placement[]): PlacedAttempt[] {
        const { timers, logger, metrics } = this.options;
        const now = timers.now();
        if (placements.length > 0) {
            const waitedMilliseconds = waitTimes.endWait(now);
            const left = step.waitingTasks().length - placements.length;
            logger.info(
                { step: step.name, starts: placements.length, left, waitedMilliseconds },
                "tasks placed",
            );
        }
        const gangAttempt = step.specification.gang ? step.nextGangAttempt() : undefined;
        return placements.map(({ task, worker, ticket }) => {
            const attempt = new Attempt(task, gangAttempt ?? task.lastAttempt + 1, worker.id, worker.currentBoot, now);
            task.lastAttempt = attempt.number;
            task.current = attempt;
            attempt.isTrial = task.isSuspect;
            worker.addAttempt(attempt);
            if (step.job.firstStartAt === undefined) {
                step.job.firstStartAt = now;
                metrics.recordFirstStart(step.job.specification.queue, now - step.job.receivedAt);
            }
            step.job.state = JobState.Running;
            return { attempt, worker, ticket };
        });
    }

    private requestHints(entry: ActiveStep, rule: QueueRule, result: PlacementResult): void {
        const { timers, logger, requestRound } = this.options;
        const { step, hints } = entry;
        if (hints.isRequestPending || timers.now() < hints.retryAt || result.workersWithoutTicket.length === 0) {
            return;
        }
        const waitingCount = step.waitingTasks().length;
        const workerCount = Math.min(
            MAXIMUM_WORKERS_PER_HINT_CALL,
            Math.max(MINIMUM_WORKERS_PER_HINT_CALL, waitingCount * HINT_CALL_WORKERS_PER_WAITING_TASK),
        );
        const workers = result.workersWithoutTicket.slice(0, workerCount).map(worker => ({
            id: worker.id,
            boot: worker.currentBoot,
        }));
        const requestedAt = timers.now();
        const response = this.options.hintDispatcher.request({
            step: step.name,
            workers: workers.map(({ id }) => id),
            priority: rule.priority,
            expectedMilliseconds: rule.hintMilliseconds,
        });
        hints.isRequestPending = true;
        void response.then(response => {
            hints.isRequestPending = false;
            if (response.isErr()) {
                hints.retryAt = timers.now() + HINT_RETRY_DELAY_MILLISECONDS;
                entry.recheckAt = hints.retryAt;
                const released = [
                    ...this.heldCapacity.release(entry),
                    ...this.trialClaims.abandon(entry, timers.now()),
                ];
                released.forEach(worker => this.steps.recordGrowth(worker));
                requestRound();
                logger.info({ step: step.name, error: response.error.kind }, "hint call failed");
                return;
            }
            hints.recordResponse(workers, response.value, rule.hintValidityMilliseconds, timers.now());
            logger.info(
                {
                    step: step.name,
                    asked: workers.length,
                    allowed: response.value.allowed.length,
                    milliseconds: Math.round(timers.now() - requestedAt),
                },
                "placement hints received",
            );
            this.steps.markDue(entry);
            requestRound();
        }).catch((failure: unknown) => {
            hints.isRequestPending = false;
            logger.error({ step: step.name, reason: describeUnknown(failure) }, "unexpected error in a hint call");
        });
    }
}

/** The rule of the job's queue in force, or the one from the job's acceptance if the queue no longer exists. */
export function queueRuleOf(job: JobRun, policy: CellPolicy): QueueRule {
    return policy.queues.get(job.specification.queue) ?? job.specification;
}
