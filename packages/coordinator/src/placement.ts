/** Chooses workers for the waiting tasks of one step. */
import type { StepHints } from "@tanagerlink/hints";
import { fitsInto, type Resources, subtractResources } from "@tanagerlink/model";
import type { StepRun, TaskRun } from "@tanagerlink/workflow";
import { freeShareOf } from "./trials.ts";
import type { WorkerSession } from "./workerSession.ts";

/** A task, the worker chosen for it, and the ticket that the start presents, if the queue needs one. */
export interface Placement {
    readonly task: TaskRun;
    readonly worker: WorkerSession;
    readonly ticket: string | undefined;
}

export interface PlacementResult {
    readonly placements: readonly Placement[];
    /**
     * Workers to name in the next hint call, best first: workers with free capacity but no valid ticket, then workers
     * without free capacity for which no hint is known yet. Empty if no ticket would let a task start now.
     */
    readonly workersWithoutTicket: readonly WorkerSession[];
    /** Workers that the remaining tasks would use with tickets, one entry for each task. */
    readonly workersToHold: readonly WorkerSession[];
    /** Workers for the trial of a task that could not be placed, or of a gang, if nothing else starts there. */
    readonly workersForTrial: readonly WorkerSession[];
    /** Whether some tasks could not be placed. */
    readonly isIncomplete: boolean;
}

/** What a step may use of the workers in view of what others wait for, and of failures there. */
export interface WorkerAccess {
    /** Whether the worker is reserved for a gang that precedes the step. */
    readonly isReserved: (worker: WorkerSession) => boolean;
    /** Whether tasks may start on quarantined workers if no other worker has room. */
    readonly mayUseQuarantined: boolean;
    /** Free capacity of a worker less what is held for other steps. */
    readonly freeCapacityOf: (worker: WorkerSession) => Resources;
}

export interface PlacementRequest extends WorkerAccess {
    readonly step: StepRun;
    readonly tasks: readonly TaskRun[];
    /** Resources that one of the tasks occupies. */
    readonly taskSize: Resources;
    /** Workers of the step's service. */
    readonly workers: readonly WorkerSession[];
    readonly evacuated: ReadonlySet<string>;
    readonly hints: StepHints | undefined;
    /** Workers that are kept free for a trial of the step. */
    readonly claimedWorkers: readonly WorkerSession[];
    readonly now: number;
    /** Adds a task, or a whole gang, to the team's usage. Returns false if this would exceed the team's limit. */
    readonly acquireTeamCapacity: () => boolean;
}

/** Costs of placing a task on a worker; the lowest sum wins. The share of free capacity adds between 0 and 1. */
const COST = {
    /** Tasks take 1.5 times as long on a rack that does not hold their data. */
    otherRack: 3,
    /** The last task on the worker failed. Applies only to tasks that have failed before. */
    recentFailure: 4,
    /** The task has failed on the worker before. Not excluded, since it may be the only allowed worker. */
    taskFailedOnWorker: 8,
    /** A best-effort task beside a latency-sensitive one. */
    besideLatencySensitive: 2,
    /** For each attempt that a suspected task would take down with the worker. */
    besideSuspect: 1,
    /** Tasks have failed on the worker again and again. Other workers are used as long as they have room. */
    quarantined: 20,
    /** A task whose workers crash again and again, on a rack where they did: the cause may be the rack. */
    rackOfCrashes: 40,
} as const;

/** Crashes after which a task avoids the racks on which its workers crashed. */
const CRASHES_BEFORE_OTHER_RACK = 3;

/** A worker with its remaining free capacity in the current round. */
interface Candidate {
    readonly worker: WorkerSession;
    freeCapacity: Resources;
    stepTaskCount: number;
    /** Whether a suspected task was placed on the worker in this round. */
    isOnTrial: boolean;
    /** Whether a crash now could be the doing of another task; looked up only for suspected tasks. */
    readonly hasRecentStart: boolean;
    readonly isQuarantined: boolean;
    /** Whether the worker is kept free for a trial of the step. */
    readonly isClaimed: boolean;
}

/** Whether the worker currently accepts tasks and meets the requirements of the step, apart from capacity. */
function isEligible({ step, evacuated, mayUseQuarantined, now }: PlacementRequest, worker: WorkerSession): boolean {
    const { requiredLabel } = step.specification;
    return worker.exclusion(now, mayUseQuarantined) === undefined && !evacuated.has(worker.entry.failureDomain)
        && (requiredLabel === undefined || worker.entry.labels.includes(requiredLabel));
}

/** Places as many tasks as possible, or a gang as a whole. */
export function placeTasks(request: PlacementRequest): PlacementResult {
    const { step, taskSize, workers, hints, now } = request;
    const candidates: Candidate[] = [];
    const withoutTicket: Candidate[] = [];
    const withoutHint: WorkerSession[] = [];
    const hasSuspect = request.tasks.some(({ isSuspect }) => isSuspect);
    for (const worker of workers) {
        if (!isEligible(request, worker) || request.isReserved(worker)) {
            continue;
        }
        const freeCapacity = request.freeCapacityOf(worker);
        if (!fitsInto(taskSize, freeCapacity)) {
            if (hints?.isUnknown(worker.id) === true) {
                withoutHint.push(worker);
            }
            continue;
        }
        const candidate = {
            worker,
            freeCapacity,
            stepTaskCount: worker.countTasksOf(step),
            isOnTrial: false,
            hasRecentStart: hasSuspect && worker.hasStartedRecently(now),
            isQuarantined: worker.health.isQuarantined(now),
            isClaimed: request.claimedWorkers.includes(worker),
        };
        if (hints === undefined || hints.ticket({ id: worker.id, boot: worker.currentBoot }, now) !== undefined) {
            candidates.push(candidate);
        }
        else if (!hints.isForbidden(worker.id)) {
            withoutTicket.push(candidate);
        }
    }
    const chosen = step.specification.gang
        ? placeGang(request, candidates)
        : placeIndividually(request, candidates);
    const isIncomplete = chosen.length < request.tasks.length;
    const workersToHold = isIncomplete
        ? chooseWorkersForRemaining(request, chosen.length, candidates, withoutTicket)
        : [];
    withoutTicket.sort((left, right) =>
        Number(right.isClaimed) - Number(left.isClaimed)
        || costOf(step, undefined, left) - costOf(step, undefined, right)
    );
    return {
        placements: chosen,
        workersWithoutTicket: workersToHold.length > 0
            ? [...withoutTicket.map(({ worker }) => worker), ...withoutHint]
            : [],
        workersToHold,
        workersForTrial: chooseWorkersForTrial(request, chosen, candidates, withoutTicket),
        isIncomplete,
    };
}

/** Chooses the workers that the remaining tasks would use with tickets; none if tickets let no task start. */
function chooseWorkersForRemaining(
    request: PlacementRequest,
    placedCount: number,
    candidates: readonly Candidate[],
    withoutTicket: readonly Candidate[],
): WorkerSession[] {
    if (withoutTicket.length === 0) {
        return [];
    }
    const remaining = { ...request, tasks: request.tasks.slice(placedCount) };
    const copies = [...candidates, ...withoutTicket].map(candidate => ({
        ...candidate,
        hasRecentStart: candidate.hasRecentStart && !candidate.isClaimed,
    }));
    const chosen = request.step.specification.gang
        ? chooseWorkersForAll(remaining, copies)
        : chooseWorkers(remaining, copies);
    return chosen?.map(([, { worker }]) => worker) ?? [];
}

/**
 * Chooses workers for a trial as if none had a recent start: those that are claimed already, or else preferably those
 * with tickets, or those that hints have allowed before.
 */
function chooseWorkersForTrial(
    request: PlacementRequest,
    placed: readonly Placement[],
    candidates: readonly Candidate[],
    withoutTicket: readonly Candidate[],
): readonly WorkerSession[] {
    const placedTasks = new Set(placed.map(({ task }) => task));
    const suspects = request.tasks.filter(task => task.isSuspect && !placedTasks.has(task));
    if (suspects.length === 0) {
        return [];
    }
    const trial = { ...request, tasks: request.step.specification.gang ? suspects : suspects.slice(0, 1) };
    const all = [...candidates, ...withoutTicket];
    const allowed = all.filter(({ worker }) => request.hints?.isAllowed(worker.id) === true);
    for (const pool of [all.filter(({ isClaimed }) => isClaimed), candidates, allowed, all]) {
        const chosen = chooseWorkersForAll(trial, pool.map(candidate => ({ ...candidate, hasRecentStart: false })));
        if (chosen !== undefined) {
            return [...new Set(chosen.map(([, { worker }]) => worker))];
        }
    }
    return [];
}

/** Chooses workers for as many tasks as possible. */
function chooseWorkers(request: PlacementRequest, candidates: Candidate[]): [TaskRun, Candidate][] {
    const chosen: [TaskRun, Candidate][] = [];
    for (const task of request.tasks) {
        const candidate = chooseBestCandidate(request, task, candidates);
        if (candidate === undefined) {
            break;
        }
        consumeCapacity(request, candidate);
        chosen.push([task, candidate]);
    }
    return chosen;
}

function placeIndividually(request: PlacementRequest, candidates: Candidate[]): Placement[] {
    const placements: Placement[] = [];
    for (const task of request.tasks) {
        const candidate = chooseBestCandidate(request, task, candidates);
        if (candidate === undefined && task.isSuspect) {
            continue;
        }
        if (candidate === undefined || !request.acquireTeamCapacity()) {
            break;
        }
        candidate.isOnTrial = task.isSuspect;
        placements.push(placeTask(request, task, candidate));
    }
    return placements;
}

function placeGang(request: PlacementRequest, candidates: readonly Candidate[]): Placement[] {
    const { step, tasks } = request;
    if (tasks.length === 0) {
        return [];
    }
    const racks = new Set(candidates.map(({ worker }) => worker.entry.rack));
    const groups = step.specification.sameRack
        ? [...[...racks].map(rack => candidates.filter(({ worker }) => worker.entry.rack === rack)), candidates]
        : [candidates];
    for (const group of groups) {
        const placed = placeWholeGang(request, group.map(candidate => ({ ...candidate })));
        if (placed !== undefined) {
            return placed;
        }
    }
    return [];
}

function placeWholeGang(request: PlacementRequest, candidates: Candidate[]): Placement[] | undefined {
    const chosen = chooseWorkersForAll(request, candidates);
    if (chosen === undefined) {
        return undefined;
    }
    // The team's limit is checked for the whole gang at once.
    return request.acquireTeamCapacity()
        ? chosen.map(([task, candidate]) => createPlacement(request, task, candidate))
        : [];
}

/** Chooses a worker for each task; `undefined` if any task does not fit. */
function chooseWorkersForAll(request: PlacementRequest, candidates: Candidate[]): [TaskRun, Candidate][] | undefined {
    const chosen = chooseWorkers(request, candidates);
    return chosen.length < request.tasks.length ? undefined : chosen;
}

function placeTask(request: PlacementRequest, task: TaskRun, candidate: Candidate): Placement {
    consumeCapacity(request, candidate);
    return createPlacement(request, task, candidate);
}

function createPlacement({ hints, now }: PlacementRequest, task: TaskRun, { worker }: Candidate): Placement {
    return { task, worker, ticket: hints?.ticket({ id: worker.id, boot: worker.currentBoot }, now) };
}

function consumeCapacity({ taskSize }: PlacementRequest, candidate: Candidate): void {
    candidate.freeCapacity = subtractResources(candidate.freeCapacity, taskSize);
    candidate.stepTaskCount++;
}

function chooseBestCandidate(
    { step, taskSize }: PlacementRequest,
    task: TaskRun,
    candidates: readonly Candidate[],
): Candidate | undefined {
    const { maximumPerWorker, gang } = step.specification;
    let chosen: Candidate | undefined;
    let lowestCost = Infinity;
    for (const candidate of candidates) {
        const isBelowMaximum = maximumPerWorker === undefined || candidate.stepTaskCount < maximumPerWorker;
        // A crash right after two starts would not tell which of them caused it.
        const isApart = !candidate.isOnTrial && !(task.isSuspect ? candidate.hasRecentStart : candidate.isClaimed);
        // A worker that fails all tasks must not take all of a step, whose attempts are few.
        const isBeingProbed = candidate.isQuarantined && !gang && candidate.stepTaskCount > 0;
        if (isBelowMaximum && isApart && !isBeingProbed && fitsInto(taskSize, candidate.freeCapacity)) {
            const cost = costOf(step, task, candidate);
            if (cost < lowestCost) {
                lowestCost = cost;
                chosen = candidate;
            }
        }
    }
    return chosen;
}

/** Urgent and lasting tasks are spread; other tasks are packed, which keeps whole workers free for gangs. */
function costOf(
    step: StepRun,
    task: TaskRun | undefined,
    { worker, freeCapacity, isQuarantined }: Candidate,
): number {
    const { capacity, rack } = worker.entry;
    const { specification, job } = step;
    const spreads = job.specification.priority === 0 || specification.lasting;
    const freeShare = capacity.accelerators > 0 && specification.size.accelerators > 0
        ? freeCapacity.accelerators / capacity.accelerators
        : freeShareOf(worker, freeCapacity);
    let cost = spreads ? 1 - freeShare : freeShare;
    if (specification.preferredRack !== undefined && specification.preferredRack !== rack) {
        cost += COST.otherRack;
    }
    if (worker.health.hasRecentFailure && (task?.failures ?? 0) > 0) {
        cost += COST.recentFailure;
    }
    if (task?.failedOn.has(worker.id) === true) {
        cost += COST.taskFailedOnWorker;
    }
    if (isQuarantined) {
        cost += COST.quarantined;
    }
    if (task?.isSuspect === true) {
        cost += worker.attemptCount * COST.besideSuspect;
    }
    if (
        task !== undefined && task.crashes >= CRASHES_BEFORE_OTHER_RACK && task.crashedOnRacks.has(rack ?? worker.id)
    ) {
        cost += COST.rackOfCrashes;
    }
    if (specification.fills && worker.hasLatencySensitiveTask) {
        cost += COST.besideLatencySensitive;
    }
    return cost;
}
