/** Rounds of placement: which waiting tasks start now, where, and for which steps hints are asked. */
import { type HintDispatcher, StepHints } from "@tanagerlink/hints";
import { multiplyResources, type Resources } from "@tanagerlink/model";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { Attempt, type JobRun, JobState, type StepRun, type TaskRun } from "@tanagerlink/workflow";
import type { CellPolicy, QueueRule } from "./cellPolicy.ts";
import type { CoordinatorMetrics } from "./coordinatorMetrics.ts";
import { type Obstacle, obstacleOf } from "./feasibility.ts";
import type { Fleet } from "./fleet.ts";
import { HeldRoom, type Placement, type PlacementResult, placeTasks } from "./placement.ts";
import type { TeamUsage } from "./teamUsage.ts";
import { WaitLedger, WaitReason } from "./waitLedger.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Workers named in one call beyond those that are wanted; a second call costs more than further names. */
const NAMED_PER_WANTED_WORKER = 4;
const FEWEST_NAMED = 12;
/** The hint service takes at most this many. */
const MOST_NAMED = 100;
/** Pause after a hint call that failed. */
const HINT_RETRY_MILLISECONDS = 300;
/** Time for which a gang waits before room is kept for it. */
const RESERVE_AFTER_MILLISECONDS = 2_000;

export interface SchedulerOptions {
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: CoordinatorMetrics;
    readonly fleet: Fleet;
    readonly usage: TeamUsage;
    readonly hints: Pick<HintDispatcher, "ask">;
    readonly policy: () => CellPolicy | undefined;
    /** Records the attempts and sends their starts. */
    readonly start: (placements: readonly StartedAttempt[]) => void;
    /** Asks for a further round. */
    readonly again: () => void;
}

/** An attempt that takes up room and is to be recorded and started. */
export interface StartedAttempt {
    readonly attempt: Attempt;
    readonly worker: WorkerSession;
    readonly ticket: string | undefined;
}

export class Scheduler {
    private readonly options: SchedulerOptions;
    private readonly active = new Set<StepRun>();
    private readonly hints = new WeakMap<StepRun, StepHints>();
    private readonly waits = new WeakMap<StepRun, WaitLedger>();

    constructor(options: SchedulerOptions) {
        this.options = options;
    }

    /** Adds the steps of a job that can start. */
    activate(job: JobRun): void {
        const { timers } = this.options;
        for (const step of job.readySteps(timers.wallClock())) {
            step.readyAt ??= timers.now();
            this.active.add(step);
        }
    }

    get activeSteps(): number {
        return this.active.size;
    }

    /** Forgets a ticket that a worker refused. */
    forgetTicket(step: StepRun, worker: string): void {
        this.hints.get(step)?.forget(worker);
    }

    /** Why a waiting step of the job can never start, as far as is known now. */
    obstacle(job: JobRun): Obstacle | undefined {
        const { fleet, usage } = this.options;
        const policy = this.options.policy();
        const steps = [...this.active].filter(step => step.job === job && step.waitingTasks().length > 0);
        if (policy === undefined || steps.length === 0) {
            return undefined;
        }
        const { service } = ruleOf(job, policy);
        const workers = fleet.ofService(service).filter(({ listed }) => listed);
        const fitsLimit = (size: Resources): boolean => usage.couldAllow(job.specification.team, size);
        for (const step of steps) {
            const obstacle = obstacleOf(step, workers, this.hints.get(step), fitsLimit);
            if (obstacle !== undefined) {
                return obstacle;
            }
        }
        return undefined;
    }

    /** One round over all active steps. */
    round(): void {
        const policy = this.options.policy();
        if (policy === undefined) {
            return;
        }
        const reserved = new Set<WorkerSession>();
        const held = new HeldRoom();
        const started: StartedAttempt[] = [];
        for (const step of this.inOrder(policy)) {
            const tasks = step.waitingTasks();
            if (tasks.length > 0) {
                started.push(...this.serve(step, tasks, policy, reserved, held));
            }
        }
        if (started.length > 0) {
            this.options.start(started);
        }
    }

    /** Active steps by priority, then by the use of their team against its share, then by age. */
    private inOrder(policy: CellPolicy): StepRun[] {
        const { fleet, usage } = this.options;
        const ranked: { readonly step: StepRun; readonly priority: number; readonly rank: number; }[] = [];
        const ranks = new Map<string, number>();
        for (const step of this.active) {
            const { job } = step;
            if (!job.open || step.done) {
                this.active.delete(step);
                continue;
            }
            const { team, service } = job.specification;
            const key = `${team ?? ""}/${service}`;
            const rank = ranks.get(key) ?? usage.rank(team, fleet.capacityOf(service));
            ranks.set(key, rank);
            ranked.push({ step, priority: ruleOf(job, policy).priority, rank });
        }
        ranked.sort((left, right) =>
            left.priority - right.priority || left.rank - right.rank
            || (left.step.readyAt ?? 0) - (right.step.readyAt ?? 0)
            || left.step.job.sequence - right.step.job.sequence
        );
        return ranked.map(({ step }) => step);
    }

    private serve(
        step: StepRun,
        tasks: readonly TaskRun[],
        policy: CellPolicy,
        reserved: Set<WorkerSession>,
        held: HeldRoom,
    ): StartedAttempt[] {
        const { fleet, usage, timers } = this.options;
        const { job, specification } = step;
        const { team } = job.specification;
        const rule = ruleOf(job, policy);
        const now = timers.now();
        const unit = specification.gang
            ? multiplyResources(specification.size, tasks.length)
            : specification.size;
        if (!usage.allows(team, unit)) {
            this.waitsOf(step).waits(WaitReason.Limit, now);
            return [];
        }
        const hints = rule.hinted ? this.hintsOf(step) : undefined;
        const workers = fleet.ofService(rule.service);
        const result = placeTasks({
            step,
            tasks,
            workers,
            evacuated: policy.evacuated,
            hints,
            reserved,
            held,
            now,
            takeLimit: () => {
                const allowed = usage.allows(team, unit);
                if (allowed) {
                    usage.add(team, unit);
                }
                return allowed;
            },
        });
        if (result.incomplete) {
            const lacksTickets = hints?.asking === true || result.unticketed.length > 0;
            this.waitsOf(step).waits(lacksTickets ? WaitReason.Hints : WaitReason.Room, now);
        }
        if (result.incomplete && hints !== undefined) {
            this.askHints(step, rule, hints, result);
        }
        // One gang of a service at a time, or waiting gangs would keep all workers empty.
        const reservesRoom = specification.gang && !workers.some(worker => reserved.has(worker));
        if (result.incomplete && reservesRoom && now - (step.readyAt ?? now) > RESERVE_AFTER_MILLISECONDS) {
            this.reserve(step, workers, hints, reserved);
        }
        return this.begin(step, result.placements);
    }

    private begin(step: StepRun, placements: readonly Placement[]): StartedAttempt[] {
        const { timers, logger, metrics } = this.options;
        const now = timers.now();
        if (placements.length > 0) {
            const waited = this.waitsOf(step).settle(now);
            const left = step.waitingTasks().length - placements.length;
            logger.info(
                { step: step.name, starts: placements.length, left, waitedMilliseconds: waited },
                "tasks placed",
            );
        }
        const gangAttempt = step.specification.gang ? step.nextGangAttempt() : undefined;
        return placements.map(({ task, worker, ticket }) => {
            const attempt = new Attempt(task, gangAttempt ?? task.lastAttempt + 1, worker.id, worker.life, now);
            task.lastAttempt = attempt.number;
            task.current = attempt;
            worker.add(attempt);
            if (step.job.firstStartAt === undefined) {
                step.job.firstStartAt = now;
                metrics.firstStart(step.job.specification.queue, now - step.job.knownAt);
            }
            step.job.state = JobState.Running;
            return { attempt, worker, ticket };
        });
    }

    /** Keeps the emptiest workers that a gang may use from work that comes after it. */
    private reserve(
        step: StepRun,
        workers: readonly WorkerSession[],
        hints: StepHints | undefined,
        reserved: Set<WorkerSession>,
    ): void {
        const possible = workers.filter(worker => hints === undefined || hints.isPermitted(worker.id));
        possible.sort((left, right) =>
            right.room.accelerators - left.room.accelerators
            || right.room.processorMillis - left.room.processorMillis
        );
        possible.slice(0, step.specification.count).forEach(worker => reserved.add(worker));
    }

    private waitsOf(step: StepRun): WaitLedger {
        const known = this.waits.get(step) ?? new WaitLedger();
        this.waits.set(step, known);
        return known;
    }

    private hintsOf(step: StepRun): StepHints {
        const known = this.hints.get(step) ?? new StepHints();
        this.hints.set(step, known);
        return known;
    }

    private askHints(step: StepRun, rule: QueueRule, hints: StepHints, result: PlacementResult): void {
        const { timers, logger, again } = this.options;
        if (hints.asking || timers.now() < hints.retryAt || result.unticketed.length === 0) {
            return;
        }
        const wanted = step.waitingTasks().length;
        const named = Math.min(MOST_NAMED, Math.max(FEWEST_NAMED, wanted * NAMED_PER_WANTED_WORKER));
        const asked = result.unticketed.slice(0, named).map(worker => ({ id: worker.id, boot: worker.life }));
        const askedAt = timers.now();
        hints.asking = true;
        void this.options.hints.ask({
            step: step.name,
            workers: asked.map(({ id }) => id),
            priority: rule.priority,
            expectedMilliseconds: rule.hintMilliseconds,
        }).then(answer => {
            hints.asking = false;
            if (answer.isErr()) {
                hints.retryAt = timers.now() + HINT_RETRY_MILLISECONDS;
                logger.info({ step: step.name, error: answer.error.kind }, "placement hints failed");
                return;
            }
            hints.learn(asked, answer.value, rule.hintValidityMilliseconds, timers.now());
            logger.info(
                {
                    step: step.name,
                    asked: asked.length,
                    allowed: answer.value.allowed.length,
                    milliseconds: Math.round(timers.now() - askedAt),
                },
                "placement hints learned",
            );
            again();
        });
    }
}

/** The queue's rule in force, or the one at acceptance where the queue has been dropped since. */
export function ruleOf(job: JobRun, policy: CellPolicy): QueueRule {
    return policy.queues.get(job.specification.queue) ?? job.specification;
}
