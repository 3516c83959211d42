/**
 * Logs what steps that have waited long wait for, and updates the gauges of placement. Each call walks either the steps
 * or the workers, at most a few times a second and for a bounded share of the time, so that neither the number of starts
 * nor that of workers lets it delay the rounds.
 */
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { TaskRun } from "@tanagerlink/workflow";
import type { ActiveStep, ActiveSteps } from "./activeSteps.ts";
import type { Fleet } from "./fleet.ts";
import type { PlacementGauges, PlacementState } from "./placementGauges.ts";
import { countPermittedTrials } from "./trials.ts";
import { DiagnosedReason, type WaitDiagnosis } from "./waitDiagnosis.ts";

/** Interval of the walk over all steps, and of that over all workers. */
const UPDATE_INTERVAL_MILLISECONDS = 1_000;
/** Maximum share of the time for each of these walks, and for diagnoses. */
const MAXIMUM_TIME_SHARE = 0.02;
/** Waiting time of a step without a start before it is logged, and between its log lines. */
const LONG_WAIT_MILLISECONDS = 2_000;
const REPEAT_INTERVAL_MILLISECONDS = 5_000;
/** Minimum interval of log lines of the cell. */
const LINE_INTERVAL_MILLISECONDS = 300;
/** Maximum number of steps to diagnose between two walks. */
const MAXIMUM_LINES_PER_WALK = 4;

const AVAILABLE = "available";

export interface PlacementMonitorOptions {
    readonly timers: Timers;
    readonly logger: Logger;
    readonly gauges: PlacementGauges;
    readonly steps: ActiveSteps;
    readonly fleet: Fleet;
    readonly diagnose: (entry: ActiveStep) => WaitDiagnosis;
}

interface SuspectWait {
    readonly lastAttempt: number;
    readonly since: number;
}

/** An action that is repeated at an interval, which grows with the time that the action takes. */
class PacedAction {
    private readonly timers: Timers;
    private readonly intervalMilliseconds: number;
    private dueAt = -Infinity;

    constructor(timers: Timers, intervalMilliseconds: number) {
        this.timers = timers;
        this.intervalMilliseconds = intervalMilliseconds;
    }

    /** Runs the action if it is due. Returns whether it has run. */
    runIfDue(action: (now: number) => void): boolean {
        const now = this.timers.now();
        if (now < this.dueAt) {
            return false;
        }
        action(now);
        const durationMilliseconds = this.timers.now() - now;
        this.dueAt = now + Math.max(this.intervalMilliseconds, durationMilliseconds / MAXIMUM_TIME_SHARE);
        return true;
    }
}

export class PlacementMonitor {
    private readonly options: PlacementMonitorOptions;
    private readonly stepWalk: PacedAction;
    private readonly workerWalk: PacedAction;
    private readonly lines: PacedAction;
    private readonly loggedAt = new WeakMap<ActiveStep, number>();
    /** Steps to diagnose before the next walk. */
    private longWaits: ActiveStep[] = [];
    /** Steps whose waiting tasks no round has checked yet, and when that was first seen. */
    private uncheckedSince: ReadonlyMap<ActiveStep, number> = new Map();
    private suspectWaits: ReadonlyMap<TaskRun, SuspectWait> = new Map();

    constructor(options: PlacementMonitorOptions) {
        const { timers } = options;
        this.options = options;
        this.stepWalk = new PacedAction(timers, UPDATE_INTERVAL_MILLISECONDS);
        this.workerWalk = new PacedAction(timers, UPDATE_INTERVAL_MILLISECONDS);
        this.lines = new PacedAction(timers, LINE_INTERVAL_MILLISECONDS);
    }

    /** To be called several times a second. */
    tick(): void {
        const hasWalked = this.stepWalk.runIfDue(now => this.updateWaits(now))
            || this.workerWalk.runIfDue(now => this.options.gauges.set(this.currentState(now)));
        if (!hasWalked && this.longWaits.length > 0) {
            this.lines.runIfDue(now => this.logNextWait(now));
        }
    }

    private updateWaits(now: number): void {
        const uncheckedSince = new Map<ActiveStep, number>();
        const suspectWaits = new Map<TaskRun, SuspectWait>();
        const longWaits: ActiveStep[] = [];
        for (const entry of this.options.steps.all()) {
            if (!entry.step.job.isOpen) {
                continue;
            }
            const waiting = entry.step.waitingTasks();
            for (const task of waiting) {
                if (task.isSuspect) {
                    const { lastAttempt } = task;
                    const known = this.suspectWaits.get(task);
                    suspectWaits.set(task, known?.lastAttempt === lastAttempt ? known : { lastAttempt, since: now });
                }
            }
            if (waiting.length > 0 && entry.waitsWithoutStartSince === undefined) {
                uncheckedSince.set(entry, this.uncheckedSince.get(entry) ?? now);
            }
            if (waiting.length > 0 && this.isReportDue(entry, uncheckedSince.get(entry), now)) {
                longWaits.push(entry);
            }
        }
        this.uncheckedSince = uncheckedSince;
        this.suspectWaits = suspectWaits;
        const loggedAt = (entry: ActiveStep): number => this.loggedAt.get(entry) ?? 0;
        this.longWaits = longWaits.sort((left, right) => loggedAt(left) - loggedAt(right))
            .slice(0, MAXIMUM_LINES_PER_WALK);
    }

    private isReportDue(entry: ActiveStep, uncheckedSince: number | undefined, now: number): boolean {
        const since = entry.waitsWithoutStartSince ?? uncheckedSince ?? now;
        return now - since > LONG_WAIT_MILLISECONDS
            && now - (this.loggedAt.get(entry) ?? -Infinity) >= REPEAT_INTERVAL_MILLISECONDS;
    }

    private logNextWait(now: number): void {
        const { logger, diagnose } = this.options;
        const entry = this.longWaits.shift();
        // The step may have started, or its job ended, since the walk.
        if (entry?.step.job.isOpen !== true || !this.isReportDue(entry, this.uncheckedSince.get(entry), now)) {
            return;
        }
        this.loggedAt.set(entry, now);
        const since = entry.waitsWithoutStartSince ?? this.uncheckedSince.get(entry) ?? now;
        const diagnosis = diagnose(entry);
        const fields = { step: entry.step.name, waitedMilliseconds: Math.round(now - since), ...diagnosis };
        if (isUnexpected(entry, diagnosis)) {
            logger.warn(fields, "step waits for a worker");
        }
        else {
            logger.info(fields, "step waits for a worker");
        }
    }

    private currentState(now: number): PlacementState {
        const { fleet } = this.options;
        const runningTrials = new Map<string, number>();
        const permittedTrials = new Map<string, number>();
        const workersByState = new Map<string, number>();
        let unreachableAttempts = 0;
        for (const session of fleet.all()) {
            const state = session.exclusion(now) ?? AVAILABLE;
            workersByState.set(state, (workersByState.get(state) ?? 0) + 1);
            const { service } = session.entry;
            const isOnTrial = state !== AVAILABLE && session.isOnTrial(now);
            runningTrials.set(service, (runningTrials.get(service) ?? 0) + (isOnTrial ? 1 : 0));
            unreachableAttempts += session.responds ? 0 : session.attemptCount;
        }
        for (const service of runningTrials.keys()) {
            permittedTrials.set(service, countPermittedTrials(fleet.workersOfService(service), 0, now));
        }
        let oldestSuspectMilliseconds = 0;
        for (const { since } of this.suspectWaits.values()) {
            oldestSuspectMilliseconds = Math.max(oldestSuspectMilliseconds, now - since);
        }
        return {
            runningTrials,
            permittedTrials,
            workersByState,
            unreachableAttempts,
            waitingSuspects: this.suspectWaits.size,
            oldestSuspectMilliseconds,
        };
    }
}

/** Whether tasks wait beside workers on which one could start. A gang may need more than there are. */
function isUnexpected({ step }: ActiveStep, { reason, startable }: WaitDiagnosis): boolean {
    return startable > 0 && reason !== DiagnosedReason.Limit
        && (!step.specification.gang || reason === DiagnosedReason.Trial);
}
