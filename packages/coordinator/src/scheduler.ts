/** Decides in rounds which waiting tasks start on which workers, and for which steps hint calls are made. */
import { type HintDispatcher, StepHints } from "@tanagerlink/hints";
import { multiplyResources, type Resources } from "@tanagerlink/model";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { Attempt, type JobRun, JobState, type StepRun, type TaskRun } from "@tanagerlink/workflow";
import type { CellPolicy, QueueRule } from "./cellPolicy.ts";
import type { CoordinatorMetrics } from "./coordinatorMetrics.ts";
import { findObstacle, type Obstacle } from "./feasibility.ts";
import type { Fleet } from "./fleet.ts";
import { HeldCapacity, type Placement, type PlacementResult, placeTasks } from "./placement.ts";
import type { TeamUsage } from "./teamUsage.ts";
import { WaitReason, WaitTimes } from "./waitTimes.ts";
import type { WorkerSession } from "./workerSession.ts";

/** A hint call names more workers than needed, since a second call costs more than further names in one. */
const HINT_CALL_WORKERS_PER_WAITING_TASK = 4;
const MINIMUM_WORKERS_PER_HINT_CALL = 12;
/** Limit of the hint service. */
const MAXIMUM_WORKERS_PER_HINT_CALL = 100;
/** Delay of the next hint call of a step after a failed one. */
const HINT_RETRY_DELAY_MILLISECONDS = 300;
/** Waiting time of a gang before workers are reserved for it. */
const GANG_RESERVATION_DELAY_MILLISECONDS = 2_000;

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
    private readonly activeSteps = new Set<StepRun>();
    private readonly hintsByStep = new WeakMap<StepRun, StepHints>();
    private readonly waitTimesByStep = new WeakMap<StepRun, WaitTimes>();

    constructor(options: SchedulerOptions) {
        this.options = options;
    }

    /** Activates the steps of a job that can start. */
    activate(job: JobRun): void {
        const { timers } = this.options;
        for (const step of job.readySteps(timers.wallClock())) {
            step.readyAt ??= timers.now();
            this.activeSteps.add(step);
        }
    }

    get activeStepCount(): number {
        return this.activeSteps.size;
    }

    /** Discards a ticket that a worker has rejected. */
    discardTicket(step: StepRun, worker: string): void {
        this.hintsByStep.get(step)?.discardTicket(worker);
    }

    /** The reason why a waiting step of the job could not start even on empty workers, as far as known. */
    findObstacle(job: JobRun): Obstacle | undefined {
        const { fleet, usage } = this.options;
        const policy = this.options.policy();
        const steps = [...this.activeSteps].filter(step => step.job === job && step.waitingTasks().length > 0);
        if (policy === undefined || steps.length === 0) {
            return undefined;
        }
        const { service } = queueRuleOf(job, policy);
        const workers = fleet.workersOfService(service).filter(({ isListed }) => isListed);
        const fitsLimit = (size: Resources): boolean => usage.fitsLimit(job.specification.team, size);
        for (const step of steps) {
            const obstacle = findObstacle(step, workers, this.hintsByStep.get(step), fitsLimit);
            if (obstacle !== undefined) {
                return obstacle;
            }
        }
        return undefined;
    }

    /** Runs one round over all active steps. */
    runRound(): void {
        const policy = this.options.policy();
        if (policy === undefined) {
            return;
        }
        const reserved = new Set<WorkerSession>();
        const heldCapacity = new HeldCapacity();
        const placed: PlacedAttempt[] = [];
        for (const step of this.orderActiveSteps(policy)) {
            const tasks = step.waitingTasks();
            if (tasks.length > 0) {
                placed.push(...this.placeStep(step, tasks, policy, reserved, heldCapacity));
            }
        }
        if (placed.length > 0) {
            this.options.startAttempts(placed);
        }
    }

    /**
     * Removes the steps that are done or whose jobs have ended. Returns the others by priority, then by the weighted
     * dominant share of their team, then by age.
     */
    private orderActiveSteps(policy: CellPolicy): StepRun[] {
        const { fleet, usage } = this.options;
        const ordered: { readonly step: StepRun; readonly priority: number; readonly share: number; }[] = [];
        const shares = new Map<string, number>();
        for (const step of this.activeSteps) {
            const { job } = step;
            if (!job.isOpen || step.isDone) {
                this.activeSteps.delete(step);
                continue;
            }
            const { team, service } = job.specification;
            const key = `${team ?? ""}/${service}`;
            const share = shares.get(key) ?? usage.weightedDominantShare(team, fleet.capacityOf(service));
            shares.set(key, share);
            ordered.push({ step, priority: queueRuleOf(job, policy).priority, share });
        }
        ordered.sort((left, right) =>
            left.priority - right.priority || left.share - right.share
            || (left.step.readyAt ?? 0) - (right.step.readyAt ?? 0)
            || left.step.job.sequence - right.step.job.sequence
        );
        return ordered.map(({ step }) => step);
    }

    private placeStep(
        step: StepRun,
        tasks: readonly TaskRun[],
        policy: CellPolicy,
        reserved: Set<WorkerSession>,
        heldCapacity: HeldCapacity,
    ): PlacedAttempt[] {
        const { fleet, usage, timers } = this.options;
        const { job, specification } = step;
        const { team } = job.specification;
        const rule = queueRuleOf(job, policy);
        const now = timers.now();
        const unitSize = specification.gang
            ? multiplyResources(specification.size, tasks.length)
            : specification.size;
        if (!usage.allows(team, unitSize)) {
            this.waitTimesOf(step).startWait(WaitReason.Limit, now);
            return [];
        }
        const hints = rule.hinted ? this.hintsOf(step) : undefined;
        const workers = fleet.workersOfService(rule.service);
        const result = placeTasks({
            step,
            tasks,
            workers,
            evacuated: policy.evacuated,
            hints,
            reserved,
            heldCapacity,
            now,
            acquireTeamCapacity: () => {
                const allowed = usage.allows(team, unitSize);
                if (allowed) {
                    usage.add(team, unitSize);
                }
                return allowed;
            },
        });
        if (result.isIncomplete) {
            const lacksTickets = hints?.isRequestPending === true || result.workersWithoutTicket.length > 0;
            this.waitTimesOf(step).startWait(lacksTickets ? WaitReason.Hints : WaitReason.Capacity, now);
        }
        if (result.isIncomplete && hints !== undefined) {
            this.requestHints(step, rule, hints, result);
        }
        // Only one gang of a service reserves workers at a time; several waiting gangs would keep all workers idle.
        const canReserve = specification.gang && !workers.some(worker => reserved.has(worker));
        if (result.isIncomplete && canReserve && now - (step.readyAt ?? now) > GANG_RESERVATION_DELAY_MILLISECONDS) {
            this.reserveWorkersForGang(step, workers, hints, reserved);
        }
        return this.createAttempts(step, result.placements);
    }

    private createAttempts(step: StepRun, placements: readonly Placement[]): PlacedAttempt[] {
        const { timers, logger, metrics } = this.options;
        const now = timers.now();
        if (placements.length > 0) {
            const waitedMilliseconds = this.waitTimesOf(step).endWait(now);
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
            worker.addAttempt(attempt);
            if (step.job.firstStartAt === undefined) {
                step.job.firstStartAt = now;
                metrics.recordFirstStart(step.job.specification.queue, now - step.job.receivedAt);
            }
            step.job.state = JobState.Running;
            return { attempt, worker, ticket };
        });
    }

    /** Reserves the emptiest workers that the gang may use, so that later steps of the round do not occupy them. */
    private reserveWorkersForGang(
        step: StepRun,
        workers: readonly WorkerSession[],
        hints: StepHints | undefined,
        reserved: Set<WorkerSession>,
    ): void {
        const candidates = workers.filter(worker => hints === undefined || hints.isAllowed(worker.id));
        candidates.sort((left, right) =>
            right.freeCapacity.accelerators - left.freeCapacity.accelerators
            || right.freeCapacity.processorMillis - left.freeCapacity.processorMillis
        );
        candidates.slice(0, step.specification.count).forEach(worker => reserved.add(worker));
    }

    private waitTimesOf(step: StepRun): WaitTimes {
        const waitTimes = this.waitTimesByStep.get(step) ?? new WaitTimes();
        this.waitTimesByStep.set(step, waitTimes);
        return waitTimes;
    }

    private hintsOf(step: StepRun): StepHints {
        const hints = this.hintsByStep.get(step) ?? new StepHints();
        this.hintsByStep.set(step, hints);
        return hints;
    }

    private requestHints(step: StepRun, rule: QueueRule, hints: StepHints, result: PlacementResult): void {
        const { timers, logger, requestRound } = this.options;
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
        hints.isRequestPending = true;
        void this.options.hintDispatcher.request({
            step: step.name,
            workers: workers.map(({ id }) => id),
            priority: rule.priority,
            expectedMilliseconds: rule.hintMilliseconds,
        }).then(response => {
            hints.isRequestPending = false;
            if (response.isErr()) {
                hints.retryAt = timers.now() + HINT_RETRY_DELAY_MILLISECONDS;
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
            requestRound();
        });
    }
}

/** The rule of the job's queue in force, or the one from the job's acceptance if the queue no longer exists. */
export function queueRuleOf(job: JobRun, policy: CellPolicy): QueueRule {
    return policy.queues.get(job.specification.queue) ?? job.specification;
}
