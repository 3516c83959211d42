/** Chooses workers for the waiting tasks of one step. */
import type { StepHints } from "@tanagerlink/hints";
import { addResources, fitsInto, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { StepRun, TaskRun } from "@tanagerlink/workflow";
import { occupiedResources } from "./workerAttempts.ts";
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
    /** Whether some tasks could not be placed. */
    readonly isIncomplete: boolean;
}

export interface PlacementRequest {
    readonly step: StepRun;
    readonly tasks: readonly TaskRun[];
    /** Workers of the step's service. */
    readonly workers: readonly WorkerSession[];
    readonly evacuated: ReadonlySet<string>;
    readonly hints: StepHints | undefined;
    /** Workers reserved for a gang that is placed earlier in the order of steps. */
    readonly reserved: ReadonlySet<WorkerSession>;
    /** Capacity that earlier steps of the round use as soon as they have tickets. */
    readonly heldCapacity: HeldCapacity;
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
} as const;

/** A worker with its remaining free capacity in the current round. */
interface Candidate {
    readonly worker: WorkerSession;
    freeCapacity: Resources;
    stepTaskCount: number;
}

/** Whether the worker currently accepts tasks and meets the requirements of the step, apart from capacity. */
export function isEligible(step: StepRun, worker: WorkerSession, evacuated: ReadonlySet<string>, now: number): boolean {
    const { requiredLabel } = step.specification;
    return worker.canAcceptTasks(now) && !evacuated.has(worker.entry.failureDomain)
        && (requiredLabel === undefined || worker.entry.labels.includes(requiredLabel));
}

/** Capacity held during one round for steps that wait for tickets. */
export class HeldCapacity {
    private readonly sizes = new Map<WorkerSession, Resources>();

    hold(worker: WorkerSession, size: Resources): void {
        this.sizes.set(worker, addResources(this.sizes.get(worker) ?? noResources, size));
    }

    freeCapacityOf(worker: WorkerSession): Resources {
        const held = this.sizes.get(worker);
        return held === undefined ? worker.freeCapacity : subtractResources(worker.freeCapacity, held);
    }
}

/** Places as many tasks as possible, or a gang as a whole. */
export function placeTasks(request: PlacementRequest): PlacementResult {
    const { step, workers, evacuated, hints, reserved, now } = request;
    const candidates: Candidate[] = [];
    const withoutTicket: Candidate[] = [];
    const withoutHint: WorkerSession[] = [];
    for (const worker of workers) {
        if (!isEligible(step, worker, evacuated, now) || reserved.has(worker)) {
            continue;
        }
        const freeCapacity = request.heldCapacity.freeCapacityOf(worker);
        if (!fitsInto(occupiedResources(step), freeCapacity)) {
            if (hints?.isUnknown(worker.id) === true) {
                withoutHint.push(worker);
            }
            continue;
        }
        const candidate = { worker, freeCapacity, stepTaskCount: worker.countTasksOf(step) };
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
    const canTicketsHelp = isIncomplete && holdCapacityForRemaining(request, chosen.length, candidates, withoutTicket);
    withoutTicket.sort((left, right) => costOf(step, undefined, left) - costOf(step, undefined, right));
    return {
        placements: chosen,
        workersWithoutTicket: canTicketsHelp ? [...withoutTicket.map(({ worker }) => worker), ...withoutHint] : [],
        isIncomplete,
    };
}

/**
 * Holds the capacity that the remaining tasks would use with tickets, so that later steps neither use it nor make
 * hint calls for it. Returns whether any of the remaining tasks could start with tickets.
 */
function holdCapacityForRemaining(
    request: PlacementRequest,
    placedCount: number,
    candidates: readonly Candidate[],
    withoutTicket: readonly Candidate[],
): boolean {
    if (withoutTicket.length === 0) {
        return false;
    }
    const tasks = request.tasks.slice(placedCount);
    const copies = [...candidates, ...withoutTicket].map(candidate => ({ ...candidate }));
    const remaining = { ...request, tasks };
    const chosen = request.step.specification.gang
        ? chooseWorkersForAll(remaining, copies)
        : chooseWorkers(remaining, copies);
    chosen?.forEach(([, { worker }]) => request.heldCapacity.hold(worker, occupiedResources(request.step)));
    return (chosen?.length ?? 0) > 0;
}

/** Chooses workers for as many tasks as possible. */
function chooseWorkers(request: PlacementRequest, candidates: Candidate[]): [TaskRun, Candidate][] {
    const chosen: [TaskRun, Candidate][] = [];
    for (const task of request.tasks) {
        const candidate = chooseBestCandidate(request.step, task, candidates);
        if (candidate === undefined) {
            break;
        }
        consumeCapacity(request.step, candidate);
        chosen.push([task, candidate]);
    }
    return chosen;
}

function placeIndividually(request: PlacementRequest, candidates: Candidate[]): Placement[] {
    const placements: Placement[] = [];
    for (const task of request.tasks) {
        const candidate = chooseBestCandidate(request.step, task, candidates);
        if (candidate === undefined || !request.acquireTeamCapacity()) {
            break;
        }
        placements.push(placeTask(request, task, candidate));
    }
    return placements;
}

function placeGang(request: PlacementRequest, candidates: readonly Candidate[]): Placement[] {
    const { step } = request;
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
    consumeCapacity(request.step, candidate);
    return createPlacement(request, task, candidate);
}

function createPlacement({ hints, now }: PlacementRequest, task: TaskRun, { worker }: Candidate): Placement {
    return { task, worker, ticket: hints?.ticket({ id: worker.id, boot: worker.currentBoot }, now) };
}

function consumeCapacity(step: StepRun, candidate: Candidate): void {
    candidate.freeCapacity = subtractResources(candidate.freeCapacity, occupiedResources(step));
    candidate.stepTaskCount++;
}

function chooseBestCandidate(step: StepRun, task: TaskRun, candidates: readonly Candidate[]): Candidate | undefined {
    const { maximumPerWorker } = step.specification;
    let chosen: Candidate | undefined;
    let lowestCost = Infinity;
    for (const candidate of candidates) {
        const isBelowMaximum = maximumPerWorker === undefined || candidate.stepTaskCount < maximumPerWorker;
        if (isBelowMaximum && fitsInto(occupiedResources(step), candidate.freeCapacity)) {
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
function costOf(step: StepRun, task: TaskRun | undefined, { worker, freeCapacity }: Candidate): number {
    const { capacity, rack } = worker.entry;
    const { specification, job } = step;
    const spreads = job.specification.priority === 0 || specification.lasting;
    const freeShare = capacity.accelerators > 0 && specification.size.accelerators > 0
        ? freeCapacity.accelerators / capacity.accelerators
        : freeCapacity.processorMillis / Math.max(1, capacity.processorMillis);
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
    if (specification.fills && worker.hasLatencySensitiveTask) {
        cost += COST.besideLatencySensitive;
    }
    return cost;
}
