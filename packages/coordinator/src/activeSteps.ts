/**
 * The steps of the cell that are not done, and which of them the next round must check. A step that could not be placed
 * is checked again only after a change that may let it start: capacity it fits into has become free, its team has
 * released resources, hints have arrived, or its recheck is due. Rounds therefore cost as much as what has changed,
 * and not as much as what waits.
 */
import { StepHints } from "@tanagerlink/hints";
import { fitsInto, type Resources } from "@tanagerlink/model";
import type { StepRun } from "@tanagerlink/workflow";
import { WaitReason, WaitTimes } from "./waitTimes.ts";
import { occupiedResources } from "./workerAttempts.ts";
import type { WorkerSession } from "./workerSession.ts";

/** Interval of checks without an event, for ended quarantines, expired tickets and failed hint calls. */
const RECHECK_INTERVAL_MILLISECONDS = 1_000;

/** Same for steps with tasks that wait for a trial: trials end, and starts age, without an event. */
const TRIAL_RECHECK_INTERVAL_MILLISECONDS = 200;

/** A step that is not done, with all that is known about its placement. */
export class ActiveStep {
    readonly step: StepRun;
    /** Resources that one of its tasks occupies on a worker. */
    readonly taskSize: Resources;
    readonly hints = new StepHints();
    readonly waitTimes = new WaitTimes();
    priority = 0;
    service = "";
    isHinted = false;
    /** Monotonic time since which tasks have waited for a worker without any start; `undefined` if none waits. */
    waitsSince: number | undefined;
    /** Why the step could not be placed at the last check; `undefined` if it has no waiting tasks. */
    blockedBy: WaitReason | undefined;
    /** Monotonic time of the next check without an event. */
    recheckAt = Infinity;

    constructor(step: StepRun) {
        this.step = step;
        this.taskSize = occupiedResources(step);
    }

    /**
     * Monotonic time since which tasks have waited without any start, also for their team's limit; `undefined` if no
     * round has found any waiting.
     */
    get waitsWithoutStartSince(): number | undefined {
        const since = Math.min(this.waitsSince ?? Infinity, this.waitTimes.since ?? Infinity);
        return Number.isFinite(since) ? since : undefined;
    }

    waitedMilliseconds(now: number): number {
        return now - (this.waitsSince ?? now);
    }

    /** Whether a task might start on the worker, or hints for it might be asked, now that it has more free capacity. */
    couldUse(worker: WorkerSession, freeCapacity: Resources, now: number): boolean {
        const { requiredLabel } = this.step.specification;
        if (
            !fitsInto(this.taskSize, freeCapacity) || !worker.canAcceptTasks(now)
            || requiredLabel !== undefined && !worker.entry.labels.includes(requiredLabel)
        ) {
            return false;
        }
        if (!this.isHinted) {
            return true;
        }
        return this.hints.ticket({ id: worker.id, boot: worker.currentBoot }, now) !== undefined
            || !this.hints.isRequestPending && !this.hints.isForbidden(worker.id);
    }
}

export class ActiveSteps {
    private readonly entries = new Map<StepRun, ActiveStep>();
    private readonly due = new Set<ActiveStep>();
    /** Steps that wait for capacity or hints, by service. */
    private readonly blockedByService = new Map<string, Set<ActiveStep>>();
    /** Steps that wait for their team's limit, by team. */
    private readonly blockedByTeam = new Map<string, Set<ActiveStep>>();
    private readonly grownWorkers = new Set<WorkerSession>();
    private readonly releasedTeams = new Set<string>();

    get size(): number {
        return this.entries.size;
    }

    all(): IterableIterator<ActiveStep> {
        return this.entries.values();
    }

    get(step: StepRun): ActiveStep | undefined {
        return this.entries.get(step);
    }

    /** Adds a step unless it is known. The next round checks it. */
    add(step: StepRun): ActiveStep {
        const known = this.entries.get(step);
        if (known !== undefined) {
            return known;
        }
        const entry = new ActiveStep(step);
        this.entries.set(step, entry);
        this.due.add(entry);
        return entry;
    }

    remove(entry: ActiveStep): void {
        this.unblock(entry);
        this.due.delete(entry);
        this.entries.delete(entry.step);
    }

    /** Lets the next round check the step. */
    markDue(entry: ActiveStep): void {
        if (this.entries.has(entry.step)) {
            this.due.add(entry);
        }
    }

    markAllDue(): void {
        for (const entry of this.entries.values()) {
            this.due.add(entry);
        }
    }

    /** Marks the steps whose recheck is due. */
    markRechecks(now: number): void {
        for (const entry of this.entries.values()) {
            if (entry.recheckAt <= now) {
                this.due.add(entry);
            }
        }
    }

    /** Records that a worker has more free capacity or accepts tasks again. */
    recordGrowth(worker: WorkerSession): void {
        this.grownWorkers.add(worker);
    }

    /** Records that a team uses less than before. */
    recordRelease(team: string | undefined): void {
        if (team !== undefined) {
            this.releasedTeams.add(team);
        }
    }

    /** Whether a round has any step to check. */
    get hasWork(): boolean {
        return this.due.size > 0 || this.grownWorkers.size > 0 || this.releasedTeams.size > 0;
    }

    /** Records why a step could not be placed completely. */
    block(entry: ActiveStep, reason: WaitReason, now: number): void {
        this.unblock(entry);
        entry.blockedBy = reason;
        // Counted from the start of the wait, since what the step may use grows after whole intervals.
        entry.recheckAt = now + RECHECK_INTERVAL_MILLISECONDS
            - entry.waitedMilliseconds(now) % RECHECK_INTERVAL_MILLISECONDS;
        if (entry.step.hasWaitingSuspect) {
            entry.recheckAt = Math.min(entry.recheckAt, now + TRIAL_RECHECK_INTERVAL_MILLISECONDS);
        }
        const { team } = entry.step.job.specification;
        if (reason === WaitReason.Limit && team !== undefined) {
            addTo(this.blockedByTeam, team, entry);
        }
        else {
            addTo(this.blockedByService, entry.service, entry);
        }
    }

    unblock(entry: ActiveStep): void {
        entry.blockedBy = undefined;
        entry.recheckAt = Infinity;
        this.blockedByService.get(entry.service)?.delete(entry);
        const { team } = entry.step.job.specification;
        if (team !== undefined) {
            this.blockedByTeam.get(team)?.delete(entry);
        }
    }

    /**
     * Returns the steps to check and forgets the recorded changes. `freeCapacityFor` is the free capacity of a worker
     * that the step may use.
     */
    takeDue(now: number, freeCapacityFor: (worker: WorkerSession, entry: ActiveStep) => Resources): ActiveStep[] {
        for (const worker of this.grownWorkers) {
            for (const entry of this.blockedByService.get(worker.entry.service) ?? []) {
                if (!this.due.has(entry) && entry.couldUse(worker, freeCapacityFor(worker, entry), now)) {
                    this.due.add(entry);
                }
            }
        }
        for (const team of this.releasedTeams) {
            this.blockedByTeam.get(team)?.forEach(entry => this.due.add(entry));
        }
        this.grownWorkers.clear();
        this.releasedTeams.clear();
        const taken = [...this.due];
        this.due.clear();
        return taken;
    }
}

function addTo(groups: Map<string, Set<ActiveStep>>, key: string, entry: ActiveStep): void {
    const group = groups.get(key) ?? new Set();
    groups.set(key, group);
    group.add(entry);
}
