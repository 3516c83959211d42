/** Chooses workers for the waiting tasks of one step. */
import type { StepHints } from "@tanagerlink/hints";
import { addResources, fitsInto, noResources, type Resources, subtractResources } from "@tanagerlink/model";
import type { StepRun, TaskRun } from "@tanagerlink/workflow";
import { occupied } from "./workerAttempts.ts";
import type { WorkerSession } from "./workerSession.ts";

/** One task, the worker chosen for it and the ticket for the start. */
export interface Placement {
    readonly task: TaskRun;
    readonly worker: WorkerSession;
    readonly ticket: string | undefined;
}

/** What a step found. */
export interface PlacementResult {
    readonly placements: readonly Placement[];
    /**
     * Workers to ask hints for, best first: those with room for which a ticket is missing, then those without room that
     * were never asked. Empty if tickets for them would not help now.
     */
    readonly unticketed: readonly WorkerSession[];
    /** Whether tasks are left that found no worker. */
    readonly incomplete: boolean;
}

export interface PlacementRequest {
    readonly step: StepRun;
    readonly tasks: readonly TaskRun[];
    /** Workers of the step's service. */
    readonly workers: readonly WorkerSession[];
    readonly evacuated: ReadonlySet<string>;
    readonly hints: StepHints | undefined;
    /** Workers that are kept for a gang that comes first. */
    readonly reserved: ReadonlySet<WorkerSession>;
    /** Room that steps which come first will use as soon as they have tickets. */
    readonly held: HeldRoom;
    readonly now: number;
    /** Takes the limit of the team for one task; false when it is reached. */
    readonly takeLimit: () => boolean;
}

/** Costs of a choice; a lower sum is better. Each is compared with 1, the cost of an empty or a full worker. */
const COST = {
    /** Work takes half as long again on another rack than that of its data. */
    otherRack: 3,
    /** A worker whose last task failed. */
    doubtful: 4,
    /** A worker on which the task has failed; it may be the only one that is permitted. */
    failedThere: 8,
    /** Tasks that fill next to tasks that serve users. */
    besideServing: 2,
} as const;

/** A worker and its room as this round leaves it. */
interface Candidate {
    readonly worker: WorkerSession;
    room: Resources;
    ofStep: number;
}

/** Whether the step may run on the worker at all. */
export function isEligible(step: StepRun, worker: WorkerSession, evacuated: ReadonlySet<string>, now: number): boolean {
    const { requiredLabel } = step.specification;
    return worker.isUsable(now) && !evacuated.has(worker.entry.failureDomain)
        && (requiredLabel === undefined || worker.entry.labels.includes(requiredLabel));
}

/** Room set aside within one round. */
export class HeldRoom {
    private readonly sizes = new Map<WorkerSession, Resources>();

    hold(worker: WorkerSession, size: Resources): void {
        this.sizes.set(worker, addResources(this.sizes.get(worker) ?? noResources, size));
    }

    roomOf(worker: WorkerSession): Resources {
        const held = this.sizes.get(worker);
        return held === undefined ? worker.room : subtractResources(worker.room, held);
    }
}

/** Places as many tasks as possible, or a gang as a whole. */
export function placeTasks(request: PlacementRequest): PlacementResult {
    const { step, workers, evacuated, hints, reserved, now } = request;
    const candidates: Candidate[] = [];
    const unticketed: Candidate[] = [];
    const unasked: WorkerSession[] = [];
    for (const worker of workers) {
        if (!isEligible(step, worker, evacuated, now) || reserved.has(worker)) {
            continue;
        }
        const room = request.held.roomOf(worker);
        if (!fitsInto(occupied(step), room)) {
            if (hints?.isUnknown(worker.id) === true) {
                unasked.push(worker);
            }
            continue;
        }
        const candidate = { worker, room, ofStep: worker.countOf(step) };
        if (hints === undefined || hints.ticket({ id: worker.id, boot: worker.life }, now) !== undefined) {
            candidates.push(candidate);
        }
        else if (!hints.isRefused(worker.id)) {
            unticketed.push(candidate);
        }
    }
    const chosen = step.specification.gang
        ? placeGang(request, candidates)
        : placeSingly(request, candidates);
    const incomplete = chosen.length < request.tasks.length;
    const helps = incomplete && holdRest(request, chosen.length, candidates, unticketed);
    unticketed.sort((left, right) => costOf(step, undefined, left) - costOf(step, undefined, right));
    return {
        placements: chosen,
        unticketed: helps ? [...unticketed.map(({ worker }) => worker), ...unasked] : [],
        incomplete,
    };
}

/**
 * Holds the room that the remaining tasks would take with tickets, so that what comes later neither takes it nor asks
 * hints for it. Returns whether tickets would let any of them start.
 */
function holdRest(
    request: PlacementRequest,
    placed: number,
    candidates: readonly Candidate[],
    unticketed: readonly Candidate[],
): boolean {
    if (unticketed.length === 0) {
        return false;
    }
    const tasks = request.tasks.slice(placed);
    const copies = [...candidates, ...unticketed].map(candidate => ({ ...candidate }));
    const rest = { ...request, tasks };
    const chosen = request.step.specification.gang ? chooseAll(rest, copies) : chooseSome(rest, copies);
    chosen?.forEach(([, { worker }]) => request.held.hold(worker, occupied(request.step)));
    return (chosen?.length ?? 0) > 0;
}

/** Workers for as many tasks as possible. */
function chooseSome(request: PlacementRequest, candidates: Candidate[]): [TaskRun, Candidate][] {
    const chosen: [TaskRun, Candidate][] = [];
    for (const task of request.tasks) {
        const candidate = best(request.step, task, candidates);
        if (candidate === undefined) {
            break;
        }
        occupy(request.step, candidate);
        chosen.push([task, candidate]);
    }
    return chosen;
}

function placeSingly(request: PlacementRequest, candidates: Candidate[]): Placement[] {
    const placements: Placement[] = [];
    for (const task of request.tasks) {
        const candidate = best(request.step, task, candidates);
        if (candidate === undefined || !request.takeLimit()) {
            break;
        }
        placements.push(place(request, task, candidate));
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
        const placed = placeWhole(request, group.map(candidate => ({ ...candidate })));
        if (placed !== undefined) {
            return placed;
        }
    }
    return [];
}

function placeWhole(request: PlacementRequest, candidates: Candidate[]): Placement[] | undefined {
    const chosen = chooseAll(request, candidates);
    if (chosen === undefined) {
        return undefined;
    }
    // The limit is taken for the whole gang or not at all.
    return request.takeLimit() ? chosen.map(([task, candidate]) => placementOf(request, task, candidate)) : [];
}

/** A worker for each task; `undefined` if one finds none. */
function chooseAll(request: PlacementRequest, candidates: Candidate[]): [TaskRun, Candidate][] | undefined {
    const chosen = chooseSome(request, candidates);
    return chosen.length < request.tasks.length ? undefined : chosen;
}

function place(request: PlacementRequest, task: TaskRun, candidate: Candidate): Placement {
    occupy(request.step, candidate);
    return placementOf(request, task, candidate);
}

function placementOf({ hints, now }: PlacementRequest, task: TaskRun, { worker }: Candidate): Placement {
    return { task, worker, ticket: hints?.ticket({ id: worker.id, boot: worker.life }, now) };
}

function occupy(step: StepRun, candidate: Candidate): void {
    candidate.room = subtractResources(candidate.room, occupied(step));
    candidate.ofStep++;
}

function best(step: StepRun, task: TaskRun, candidates: readonly Candidate[]): Candidate | undefined {
    const { maximumPerWorker } = step.specification;
    let chosen: Candidate | undefined;
    let lowest = Infinity;
    for (const candidate of candidates) {
        const allowed = maximumPerWorker === undefined || candidate.ofStep < maximumPerWorker;
        if (allowed && fitsInto(occupied(step), candidate.room)) {
            const cost = costOf(step, task, candidate);
            if (cost < lowest) {
                lowest = cost;
                chosen = candidate;
            }
        }
    }
    return chosen;
}

/** Urgent and lasting work is spread; other work is packed, which keeps whole workers free for gangs. */
function costOf(step: StepRun, task: TaskRun | undefined, { worker, room }: Candidate): number {
    const { capacity, rack } = worker.entry;
    const { specification, job } = step;
    const spreads = job.specification.priority === 0 || specification.lasting;
    const free = capacity.accelerators > 0 && specification.size.accelerators > 0
        ? room.accelerators / capacity.accelerators
        : room.processorMillis / Math.max(1, capacity.processorMillis);
    let cost = spreads ? 1 - free : free;
    if (specification.preferredRack !== undefined && specification.preferredRack !== rack) {
        cost += COST.otherRack;
    }
    if (worker.health.doubtful && (task?.failures ?? 0) > 0) {
        cost += COST.doubtful;
    }
    if (task?.failedOn.has(worker.id) === true) {
        cost += COST.failedThere;
    }
    if (specification.fills && worker.servesUsers) {
        cost += COST.besideServing;
    }
    return cost;
}
