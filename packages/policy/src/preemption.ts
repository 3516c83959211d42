/**
 * Preemption of batch work for urgent work. Each preemption creates a claim on the capacity that it frees: no other
 * task can use that capacity, and no second preemption is decided for the same urgent task while the claim is open. For
 * an urgent gang, capacity is claimed for all its tasks at once or not at all.
 */
import { fitsInto, type Resources } from "@tanagerlink/model";
import { fullAccess } from "./capacityIndexes.ts";
import { MutableResources } from "./mutableResources.ts";
import type { RunningTasks } from "./runningTasks.ts";
import type { WaitingGroup } from "./waitingGroup.ts";
import type { TaskEntry, WorkerNode } from "./workerNode.ts";
import type { WorkerPool } from "./workerPool.ts";

/** Workers that are compared for one preemption. */
const MAXIMUM_CANDIDATE_WORKERS = 32;
/** Time after which a preemption that freed nothing is repeated on another worker; doubles with each retry. */
const INITIAL_CLAIM_TIMEOUT_MILLISECONDS = 500;
const MAXIMUM_CLAIM_TIMEOUT_MILLISECONDS = 8_000;
/** Cost of a worker for each of its tasks whose preemption timed out. */
const STALLED_TASK_COST = 1_000;
/** Cost of preempting a gang task, where a single task costs 1; high, because the whole gang stops. */
const GANG_TASK_COST = 100;

/** Capacity on a worker that is claimed for one waiting urgent task. */
export interface Claim {
    readonly worker: WorkerNode;
    readonly size: Resources;
    readonly expiresAt: number;
}

interface PreemptionChoice {
    readonly worker: WorkerNode;
    readonly victims: readonly TaskEntry[];
    readonly cost: number;
    readonly startedAt: number;
}

/** Selects the tasks to preempt and keeps the open claims. */
export class Preemptor {
    private readonly pool: WorkerPool;
    private readonly running: RunningTasks;
    private readonly claims = new Map<WaitingGroup, Claim[]>();
    private readonly claimTimeouts = new Map<WaitingGroup, number>();

    constructor(pool: WorkerPool, running: RunningTasks) {
        this.pool = pool;
        this.running = running;
    }

    claimCount(group: WaitingGroup): number {
        return this.claims.get(group)?.length ?? 0;
    }

    /** Ends a claim whose capacity is free now and returns its worker, or `undefined` if there is none. */
    consumeClaim(group: WaitingGroup): WorkerNode | undefined {
        const claim = this.claims.get(group)?.find(({ worker, size }) =>
            worker.isUsable && hasFreeCapacity(worker, size)
        );
        if (claim !== undefined) {
            this.endClaim(group, claim);
            this.claimTimeouts.delete(group);
        }
        return claim?.worker;
    }

    /**
     * Places a gang on the capacity that was claimed for it, or leaves the claims as they are. The claims are suspended
     * during the placement, since they are not assigned to individual tasks and would block the gang itself.
     */
    placeClaimed(group: WaitingGroup, place: () => boolean): boolean {
        const claims = this.claims.get(group) ?? [];
        const placed = this.pool.withoutRecordingGrowth(() => {
            claims.forEach(({ worker, size }) => this.pool.unclaim(worker, size));
            const succeeded = place();
            claims.forEach(({ worker, size }) => this.pool.claim(worker, size));
            return succeeded;
        });
        if (placed) {
            this.releaseClaims(group);
            this.claimTimeouts.delete(group);
        }
        return placed;
    }

    /** Ends all claims of a group. */
    releaseClaims(group: WaitingGroup): void {
        [...this.claims.get(group) ?? []].forEach(claim => this.endClaim(group, claim));
    }

    /** Ends claims that the group's waiting tasks no longer need. */
    trimClaims(group: WaitingGroup): void {
        const claims = this.claims.get(group);
        while (claims !== undefined && claims.length > group.waitingTaskCount) {
            this.endClaim(group, claims.at(-1)!);
        }
    }

    /** Ends claims on lost workers and claims whose capacity was not freed in time. */
    endExpiredClaims(now: number): void {
        for (const [group, claims] of this.claims) {
            const ended = claims.filter(({ worker, expiresAt }) => !worker.isUsable || now >= expiresAt);
            const expired = ended.filter(({ worker }) => worker.isUsable);
            expired.forEach(claim => this.markStalled(claim));
            // All claims of a gang were made together and count as one retry.
            expired.slice(0, group.representative.allAtOnce ? 1 : expired.length).forEach(() =>
                this.lengthenClaimTimeout(group)
            );
            // A gang cannot use part of its claims; the next attempt takes into account what is already being freed.
            (group.representative.allAtOnce && ended.length > 0 ? [...claims] : ended).forEach(claim =>
                this.endClaim(group, claim)
            );
            this.trimClaims(group);
        }
    }

    /** Decides which tasks to preempt for one more task of `size`, and claims capacity for it. */
    preempt(group: WaitingGroup, size: Resources, now: number): readonly TaskEntry[] | undefined {
        const choice = this.cheapestChoice(size);
        if (choice !== undefined) {
            this.setPreempted(choice.victims, true);
            this.addClaim(group, { worker: choice.worker, size, expiresAt: now + this.claimTimeoutOf(group) });
        }
        return choice?.victims;
    }

    /**
     * Decides which tasks to preempt for a whole gang and claims capacity for each of its tasks. Capacity that is
     * already free is claimed too, so that nothing else uses it until the rest is freed. If the gang would not fit, all
     * claims of the group and the preemptions decided here are undone.
     */
    preemptGang(group: WaitingGroup, count: number, now: number): readonly TaskEntry[] | undefined {
        const { size } = group.sizeClass;
        if (!this.pool.mayFitAfterPreemption(size, count)) {
            return undefined;
        }
        const victims: TaskEntry[] = [];
        return this.pool.withoutRecordingGrowth(() => {
            for (let task = 0; task < count; task++) {
                const free = this.pool.find(size, fullAccess);
                const choice = free === undefined ? this.cheapestChoice(size) : undefined;
                const worker = free ?? choice?.worker;
                if (worker === undefined) {
                    this.releaseClaims(group);
                    this.setPreempted(victims, false);
                    return undefined;
                }
                this.setPreempted(choice?.victims ?? [], true);
                victims.push(...choice?.victims ?? []);
                this.addClaim(group, { worker, size, expiresAt: now + this.claimTimeoutOf(group) });
            }
            return victims;
        });
    }

    private addClaim(group: WaitingGroup, claim: Claim): void {
        const claims = this.claims.get(group) ?? [];
        claims.push(claim);
        this.claims.set(group, claims);
        this.pool.claim(claim.worker, claim.size);
    }

    private setPreempted(victims: readonly TaskEntry[], preempted: boolean): void {
        for (const victim of victims) {
            this.pool.updateTask(victim, () => {
                victim.preempted = preempted;
            });
        }
    }

    private claimTimeoutOf(group: WaitingGroup): number {
        return this.claimTimeouts.get(group) ?? INITIAL_CLAIM_TIMEOUT_MILLISECONDS;
    }

    private cheapestChoice(size: Resources): PreemptionChoice | undefined {
        let best: PreemptionChoice | undefined;
        for (const worker of this.pool.preemptionCandidates(size, MAXIMUM_CANDIDATE_WORKERS)) {
            const choice = this.choiceOn(worker, size);
            const better = choice !== undefined && (best === undefined || choice.cost < best.cost
                || (choice.cost === best.cost && choice.startedAt > best.startedAt));
            if (better) {
                best = choice;
            }
        }
        return best;
    }

    /** Batch tasks of a worker to preempt: single tasks before gangs, youngest first, none that is not needed. */
    private choiceOn(worker: WorkerNode, size: Resources): PreemptionChoice | undefined {
        const available = new MutableResources();
        available.add(worker.projectedFreeCapacity());
        const candidates = [...worker.tasks]
            .filter(task => task.preemptible && !task.preempted)
            .sort((left, right) =>
                Number(left.allAtOnce) - Number(right.allAtOnce) || right.startedAt - left.startedAt
            );
        const chosen: TaskEntry[] = [];
        for (const task of candidates) {
            if (fitsInto(size, available)) {
                break;
            }
            if (reducesShortage(task.countedSize, size, available)) {
                chosen.push(task);
                available.add(task.countedSize);
            }
        }
        if (!fitsInto(size, available)) {
            return undefined;
        }
        const needed = withoutUnneeded(chosen, size, available);
        const stalled = [...worker.tasks].filter(task => task.stalled).length;
        const cost = needed.reduce(
            (sum, task) => sum + (task.allAtOnce ? GANG_TASK_COST : 1),
            stalled * STALLED_TASK_COST,
        );
        const startedAt = needed.reduce((oldest, task) => Math.min(oldest, task.startedAt), Infinity);
        return { worker, victims: this.withWholeGangs(needed), cost, startedAt };
    }

    /** A gang cannot continue without one of its tasks, so all of them are preempted together. */
    private withWholeGangs(victims: readonly TaskEntry[]): readonly TaskEntry[] {
        const all = new Set(victims);
        for (const victim of victims) {
            if (victim.allAtOnce) {
                for (const task of this.running.tasksOfJob(victim.job)) {
                    if (!task.preempted) {
                        all.add(task);
                    }
                }
            }
        }
        return [...all];
    }

    /**
     * Marks the preempted tasks on the worker of an expired claim; their capacity is no longer expected to be free
     * soon.
     */
    private markStalled(claim: Claim): void {
        for (const task of claim.worker.tasks) {
            if (task.preempted && !task.stalled) {
                this.pool.updateTask(task, () => {
                    task.stalled = true;
                });
            }
        }
    }

    private lengthenClaimTimeout(group: WaitingGroup): void {
        this.claimTimeouts.set(group, Math.min(MAXIMUM_CLAIM_TIMEOUT_MILLISECONDS, this.claimTimeoutOf(group) * 2));
    }

    private endClaim(group: WaitingGroup, claim: Claim): void {
        const claims = this.claims.get(group);
        const position = claims?.indexOf(claim) ?? -1;
        if (claims === undefined || position < 0) {
            return;
        }
        claims.splice(position, 1);
        if (claims.length === 0) {
            this.claims.delete(group);
        }
        this.pool.unclaim(claim.worker, claim.size);
    }
}

/** Whether the task with a claim of `size` on the worker can start there now. */
function hasFreeCapacity(worker: WorkerNode, size: Resources): boolean {
    return fitsInto(size, worker.freeCapacity());
}

/** Whether ending a task frees a resource of which there is not enough. */
function reducesShortage(released: Resources, size: Resources, available: Resources): boolean {
    return (released.processorMillis > 0 && available.processorMillis < size.processorMillis)
        || (released.memoryMebibytes > 0 && available.memoryMebibytes < size.memoryMebibytes)
        || (released.accelerators > 0 && available.accelerators < size.accelerators);
}

function withoutUnneeded(chosen: readonly TaskEntry[], size: Resources, available: MutableResources): TaskEntry[] {
    // Oldest first: if one of two tasks suffices, the one that would lose more progress keeps running.
    const needed = [...chosen];
    for (const task of [...chosen].reverse()) {
        available.subtract(task.countedSize);
        if (fitsInto(size, available)) {
            needed.splice(needed.indexOf(task), 1);
        }
        else {
            available.add(task.countedSize);
        }
    }
    return needed;
}
