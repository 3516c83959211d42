/**
 * Finds the tasks that crash the workers which start them. A crash counts against every task on the worker. A task that
 * was started just before a crash is a suspect: its next attempt is a trial, beside which nothing else is started for a
 * while. A task whose trial crashes a further worker is given up if two workers were lost right after its starts. That
 * explains its crashes to the tasks beside it.
 */
import { type Attempt, AttemptStatus, type StepRun, type TaskRun } from "@tanagerlink/workflow";

/** Maximum time from a start to the last sign of life of a worker that the start may have crashed. */
export const FRESH_START_MILLISECONDS = 300;
/** Maximum time from a start to the loss of the worker of which it is the evident cause. */
const PROMPT_LOSS_MILLISECONDS = 150;
/** Runtime after which a lasting task is no longer suspected. */
const PROVEN_RUNTIME_MILLISECONDS = 10_000;
/** Crashes right after the start of a task from which on it is suspected, whatever else may have caused them. */
const CRASHES_BEFORE_SUSPICION = 2;
/** Crashes right after its starts before a task is given up after a trial. */
const PROMPT_CRASHES_BEFORE_CONVICTION = 2;
/** Crashes after which a task is given up even if other tasks could have caused them. */
const MAXIMUM_CRASHES = 5;
/** Number of them that must be certain. */
const MINIMUM_CERTAIN_CRASHES = 2;
/** Maximum if the last crash followed a confirmed start at once; lower, since a crash may have gone unnoticed. */
const MAXIMUM_CRASHES_AFTER_START = 4;
/** Bounds the memory for crashes that no task has been convicted of. */
const MAXIMUM_REMEMBERED_CRASHES = 200;

export interface WorkerCrash {
    /** Attempts whose start orders had been sent to the crashed incarnation. */
    readonly attempts: readonly Attempt[];
    /** Monotonic time of the last sign of life before the crash. */
    readonly lastHeardAt: number;
    /** Monotonic time at which the worker was found unreachable, or restarted. */
    readonly noticedAt: number;
    /** Whether several workers crashed at the same time, for which no task is the likely cause. */
    readonly isCorrelated: boolean;
    /** Whether the worker may only be silent. */
    readonly isPresumed: boolean;
}

export interface CrashVerdict {
    /** Tasks whose next attempt is a trial. */
    readonly suspects: readonly TaskRun[];
    /** Tasks that are given up; one task of a gang stands for all. */
    readonly givenUp: readonly TaskRun[];
}

/** A task, or the tasks of a gang, which are counted as one. */
type Unit = TaskRun | StepRun;

type Suspicion = Readonly<Pick<TaskRun, "crashes" | "promptCrashes" | "isSuspect">>;

const noSuspicion: Suspicion = { crashes: 0, promptCrashes: 0, isSuspect: false };

interface CountedAttempt {
    readonly attempt: Attempt;
    /** The attempt, or those of a gang of which the crash counts once. */
    readonly members: Set<Attempt>;
    /** Whether the attempt was started just before the crash, as far as known. */
    readonly isFresh: boolean;
    /** Whether the worker was lost right after it had started the attempt. */
    readonly isPrompt: boolean;
}

export class CrashSuspicion {
    /** Counted crashes that no task has been convicted of. */
    private unexplained: Map<Unit, CountedAttempt>[] = [];
    /**
     * Attempts without a response on workers that are presumed to have crashed, and that may never have received the
     * start. Their crashes count, but a task is given up only for others.
     */
    private readonly doubtful = new WeakMap<Unit, Set<Attempt>>();

    /** Counts a crash against the tasks that ran on the worker. */
    record(crash: WorkerCrash): CrashVerdict {
        const counted = new Map<Unit, CountedAttempt>();
        const fresh = new Set<Unit>();
        for (const attempt of crash.attempts) {
            const { task } = attempt;
            const unit = unitOf(task);
            const runtime = crash.lastHeardAt - (attempt.startSentAt ?? crash.lastHeardAt);
            // A start without a response may have been executed at any time.
            const isFresh = !attempt.isConfirmed || runtime <= FRESH_START_MILLISECONDS;
            if (task.step.specification.lasting && runtime >= PROVEN_RUNTIME_MILLISECONDS) {
                setSuspicion(unit, noSuspicion);
                continue;
            }
            if (isFresh && isLikelyCause(attempt, crash)) {
                fresh.add(unit);
            }
            // Workers that crash together do so for another cause than a task that has been running.
            if (task.isDone || !isFresh && crash.isCorrelated) {
                continue;
            }
            if (!claimCount(attempt)) {
                this.joinCounted(attempt, counted);
            }
            else {
                const members = new Set([attempt]);
                counted.set(unit, { attempt, members, isFresh, isPrompt: isPrompt(attempt, crash) });
                if (crash.isPresumed && !attempt.isConfirmed && attempt.status !== AttemptStatus.Unknown) {
                    this.doubtful.set(unit, new Set(this.doubtful.get(unit)).add(attempt));
                }
            }
        }
        this.unexplained.push(new Map(counted));
        const givenUp = [...counted].filter(([unit, each]) => this.addCrash(unit, each, fresh))
            .map(([, { attempt }]) => attempt.task);
        givenUp.forEach(task => this.explainCrashesOf(unitOf(task)));
        this.unexplained = this.unexplained.slice(-MAXIMUM_REMEMBERED_CRASHES);
        const suspects = [...counted.values()].map(({ attempt }) => attempt.task).filter(({ isSuspect }) => isSuspect);
        return { suspects, givenUp };
    }

    /**
     * Lifts the suspicion of a lasting task that has run long enough. Returns whether there was any, so that it can be
     * stored: the next owner does not know for how long the task has run.
     */
    clearIfProven({ task, startSentAt, status }: Attempt, now: number): boolean {
        const runtime = now - (startSentAt ?? now);
        const isProven = status === AttemptStatus.Running && task.step.specification.lasting
            && runtime >= PROVEN_RUNTIME_MILLISECONDS;
        if (!isProven || task.crashes === 0) {
            return false;
        }
        setSuspicion(unitOf(task), noSuspicion);
        return true;
    }

    /** Records that presumed crashes have happened. Returns the tasks that are given up. */
    confirm(attempts: readonly Attempt[]): readonly TaskRun[] {
        const givenUp = attempts.filter(attempt => {
            const unit = unitOf(attempt.task);
            return this.doubtful.get(unit)?.delete(attempt) === true && this.hasEnoughCrashes(unit, MAXIMUM_CRASHES);
        });
        givenUp.forEach(({ task }) => this.explainCrashesOf(unitOf(task)));
        return givenUp.map(({ task }) => task);
    }

    /** Takes a crash under attempts off the counts if their worker was only silent. */
    retract(attempts: readonly Attempt[]): void {
        const retracted = new Set(attempts);
        attempts.forEach(attempt => this.doubtful.get(unitOf(attempt.task))?.delete(attempt));
        for (const crash of this.unexplained) {
            for (const [unit, { members, isPrompt }] of crash) {
                const survivors = [...members].filter(attempt => retracted.has(attempt));
                survivors.forEach(attempt => members.delete(attempt));
                if (survivors.length > 0 && members.size === 0) {
                    crash.delete(unit);
                    takeCrashOff(unit, isPrompt);
                }
            }
        }
    }

    /** Adds a crash to the counts of a task. Returns whether the task is to be given up. */
    private addCrash(unit: Unit, { attempt, isFresh, isPrompt }: CountedAttempt, fresh: ReadonlySet<Unit>): boolean {
        const before = suspicionOf(unit);
        const crashes = before.crashes + 1;
        const promptCrashes = before.promptCrashes + (isPrompt ? 1 : 0);
        const isSuspect = fresh.has(unit) || isFresh && crashes >= CRASHES_BEFORE_SUSPICION;
        setSuspicion(unit, { crashes, promptCrashes, isSuspect });
        const isPossibleCause = attempt.isConfirmed && fresh.has(unit);
        const isSoleCause = attempt.isTrial && isPossibleCause && fresh.size === 1;
        const maximum = isPossibleCause ? MAXIMUM_CRASHES_AFTER_START : MAXIMUM_CRASHES;
        return this.hasEnoughCrashes(unit, maximum) || isSoleCause && promptCrashes >= PROMPT_CRASHES_BEFORE_CONVICTION;
    }

    /** Adds a member of a gang to the crash that was counted for another member of the same attempt. */
    private joinCounted(attempt: Attempt, counted: ReadonlyMap<Unit, CountedAttempt>): void {
        const unit = unitOf(attempt.task);
        for (const crash of [...this.unexplained, counted]) {
            const known = crash.get(unit);
            if (known?.attempt.number === attempt.number) {
                known.members.add(attempt);
            }
        }
    }

    private hasEnoughCrashes(unit: Unit, maximum: number): boolean {
        return suspicionOf(unit).crashes >= maximum && this.certainCrashesOf(unit) >= MINIMUM_CERTAIN_CRASHES;
    }

    private certainCrashesOf(unit: Unit): number {
        return suspicionOf(unit).crashes - (this.doubtful.get(unit)?.size ?? 0);
    }

    /**
     * Lifts the suspicion that the crashes right after the starts of a convicted task cast on the others. Those that
     * were started just before as well keep the count, since several may crash their workers.
     */
    private explainCrashesOf(convicted: Unit): void {
        const explained = this.unexplained.filter(crash => crash.get(convicted)?.isFresh === true);
        this.unexplained = this.unexplained.filter(crash => !explained.includes(crash));
        for (const crash of explained) {
            for (const [unit, { isFresh, isPrompt }] of crash) {
                if (unit !== convicted) {
                    (isFresh ? liftSuspicion : takeCrashOff)(unit, isPrompt);
                }
            }
        }
    }
}

/** A trial is suspected also if other workers crash at the same time, since many tasks may crash theirs. */
function isLikelyCause({ isTrial, isRestored }: Attempt, { isCorrelated, isPresumed }: WorkerCrash): boolean {
    return !isPresumed && (isTrial || !isCorrelated && !isRestored);
}

/** A start that the worker has not confirmed may not have been executed. */
function isPrompt(attempt: Attempt, crash: WorkerCrash): boolean {
    return attempt.isConfirmed && isLikelyCause(attempt, crash)
        && crash.noticedAt - (attempt.startSentAt ?? -Infinity) <= PROMPT_LOSS_MILLISECONDS;
}

function takeCrashOff(unit: Unit, isPrompt: boolean): void {
    liftSuspicion(unit, isPrompt);
    const { crashes, ...others } = suspicionOf(unit);
    setSuspicion(unit, { ...others, crashes: Math.max(0, crashes - 1) });
}

/** Lifts the suspicion of a single crash, which still counts. */
function liftSuspicion(unit: Unit, isPrompt: boolean): void {
    const { crashes, promptCrashes, isSuspect } = suspicionOf(unit);
    setSuspicion(unit, {
        crashes,
        promptCrashes: Math.max(0, promptCrashes - (isPrompt ? 1 : 0)),
        isSuspect: isSuspect && crashes > 1,
    });
}

function unitOf(task: TaskRun): Unit {
    return task.step.specification.gang ? task.step : task;
}

/** Whether the crash is the first one that counts for the attempt; the members of a gang share one count. */
function claimCount({ task: { step }, number }: Attempt): boolean {
    if (!step.specification.gang) {
        return true;
    }
    const isFirst = number > step.lastCrashedAttempt;
    step.lastCrashedAttempt = Math.max(number, step.lastCrashedAttempt);
    return isFirst;
}

function tasksOf(unit: Unit): readonly TaskRun[] {
    return "tasks" in unit ? unit.tasks : [unit];
}

function suspicionOf(unit: Unit): Suspicion {
    return tasksOf(unit)[0] ?? noSuspicion;
}

function setSuspicion(unit: Unit, { crashes, promptCrashes, isSuspect }: Suspicion): void {
    tasksOf(unit).forEach(task => Object.assign(task, { crashes, promptCrashes, isSuspect }));
}
