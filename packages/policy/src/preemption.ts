/**
 * Preemption of batch work for urgent work. A decided preemption makes a claim on the room that it frees: no other task
 * can take that room, and no second preemption is decided for the same urgent task while the claim stands. For an urgent
 * gang, room for all its tasks is claimed at once or none.
 */
import { fitsInto, type Resources } from "@tanagerlink/model";
import { ResourceTally } from "./resourceTally.ts";
import { fullAccess } from "./roomIndexes.ts";
import type { RunningTasks } from "./runningTasks.ts";
import type { WaitingGroup } from "./waitingGroup.ts";
import type { TaskEntry, WorkerNode } from "./workerNode.ts";
import type { WorkerPool } from "./workerPool.ts";

/** Workers compared for one preemption. */
const CANDIDATES = 32;
/** Time after which a preemption that freed nothing is repeated on another worker; doubles with each repetition. */
const FIRST_CLAIM_TIMEOUT_MS = 500;
const LONGEST_CLAIM_TIMEOUT_MS = 8_000;
/** Cost of a worker for each of its tasks whose preemption freed nothing in time. */
const STALLED_COST = 1_000;
/** Cost of a preempted gang task in single tasks, because the whole gang stops. */
const GANG_COST = 100;

/** Room that one waiting urgent task was promised. */
export interface Claim {
    readonly worker: WorkerNode;
    readonly size: Resources;
    readonly expiresAt: number;
}

interface Choice {
    readonly worker: WorkerNode;
    readonly victims: readonly TaskEntry[];
    readonly cost: number;
    readonly startedAt: number;
}

/** Open claims and choice of the tasks to preempt. */
export class Preemptor {
    private readonly pool: WorkerPool;
    private readonly running: RunningTasks;
    private readonly claims = new Map<WaitingGroup, Claim[]>();
    private readonly timeouts = new Map<WaitingGroup, number>();

    constructor(pool: WorkerPool, running: RunningTasks) {
        this.pool = pool;
        this.running = running;
    }

    claimCount(group: WaitingGroup): number {
        return this.claims.get(group)?.length ?? 0;
    }

    /** Worker of a claim whose room is free now; the claim ends. */
    redeem(group: WaitingGroup): WorkerNode | undefined {
        const claim = this.claims.get(group)?.find(({ worker, size }) => worker.usable && hasRoom(worker, size));
        if (claim !== undefined) {
            this.end(group, claim);
            this.timeouts.delete(group);
        }
        return claim?.worker;
    }

    /**
     * Places a gang with the room that was claimed for it, or leaves the claims as they are. The claims stand in the way
     * of the gang itself while it is placed, since they do not say which task gets which of them.
     */
    placeClaimed(group: WaitingGroup, place: () => boolean): boolean {
        const claims = this.claims.get(group) ?? [];
        const placed = this.pool.withoutGrowth(() => {
            claims.forEach(({ worker, size }) => this.pool.unclaim(worker, size));
            const succeeded = place();
            claims.forEach(({ worker, size }) => this.pool.claim(worker, size));
            return succeeded;
        });
        if (placed) {
            this.release(group);
            this.timeouts.delete(group);
        }
        return placed;
    }

    /** Ends all claims of a group. */
    release(group: WaitingGroup): void {
        [...this.claims.get(group) ?? []].forEach(claim => this.end(group, claim));
    }

    /** Ends claims that the group's waiting tasks no longer need. */
    trim(group: WaitingGroup): void {
        const claims = this.claims.get(group);
        while (claims !== undefined && claims.length > group.waiting) {
            this.end(group, claims.at(-1)!);
        }
    }

    /** Ends claims on lost workers and claims whose room was not freed in time. */
    review(now: number): void {
        for (const [group, claims] of this.claims) {
            const ended = claims.filter(({ worker, expiresAt }) => !worker.usable || now >= expiresAt);
            const late = ended.filter(({ worker }) => worker.usable);
            late.forEach(claim => this.stall(claim));
            // All claims of a gang were made together and count as one repetition.
            late.slice(0, group.sample.allAtOnce ? 1 : late.length).forEach(() => this.lengthenTimeout(group));
            // The rest of a gang's room is of no use alone; the next attempt counts what is being freed already.
            (group.sample.allAtOnce && ended.length > 0 ? [...claims] : ended).forEach(claim => this.end(group, claim));
            this.trim(group);
        }
    }

    /** Decides which tasks to preempt for one more task of `size` and claims their room. */
    preempt(group: WaitingGroup, size: Resources, now: number): readonly TaskEntry[] | undefined {
        const choice = this.choose(size);
        if (choice !== undefined) {
            this.setPreempted(choice.victims, true);
            this.claim(group, { worker: choice.worker, size, expiresAt: now + this.timeoutOf(group) });
        }
        return choice?.victims;
    }

    /**
     * Decides which tasks to preempt for a whole gang and claims room for each of its tasks, also room that is free
     * already, so that nothing else takes it until the rest is freed. Changes nothing when the gang would not fit.
     */
    preemptGang(group: WaitingGroup, count: number, now: number): readonly TaskEntry[] | undefined {
        const { size } = group.sizeClass;
        if (!this.pool.mayHoldAfterPreemption(size, count)) {
            return undefined;
        }
        const victims: TaskEntry[] = [];
        return this.pool.withoutGrowth(() => {
            for (let task = 0; task < count; task++) {
                const free = this.pool.find(size, fullAccess);
                const choice = free === undefined ? this.choose(size) : undefined;
                const worker = free ?? choice?.worker;
                if (worker === undefined) {
                    this.release(group);
                    this.setPreempted(victims, false);
                    return undefined;
                }
                this.setPreempted(choice?.victims ?? [], true);
                victims.push(...choice?.victims ?? []);
                this.claim(group, { worker, size, expiresAt: now + this.timeoutOf(group) });
            }
            return victims;
        });
    }

    private claim(group: WaitingGroup, claim: Claim): void {
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

    private timeoutOf(group: WaitingGroup): number {
        return this.timeouts.get(group) ?? FIRST_CLAIM_TIMEOUT_MS;
    }

    private choose(size: Resources): Choice | undefined {
        let best: Choice | undefined;
        for (const worker of this.pool.preemptionCandidates(size, CANDIDATES)) {
            const choice = this.victimsOn(worker, size);
            const better = choice !== undefined && (best === undefined || choice.cost < best.cost
                || (choice.cost === best.cost && choice.startedAt > best.startedAt));
            if (better) {
                best = choice;
            }
        }
        return best;
    }

    /** Fewest and youngest batch tasks of a worker whose end makes room, without any that is not needed. */
    private victimsOn(worker: WorkerNode, size: Resources): Choice | undefined {
        const room = new ResourceTally();
        room.add(worker.projectedRoom());
        const candidates = [...worker.tasks]
            .filter(task => task.preemptible && !task.preempted)
            .sort((left, right) =>
                Number(left.allAtOnce) - Number(right.allAtOnce) || right.startedAt - left.startedAt
            );
        const chosen: TaskEntry[] = [];
        for (const task of candidates) {
            if (fitsInto(size, room)) {
                break;
            }
            if (helps(task.counted, size, room)) {
                chosen.push(task);
                room.add(task.counted);
            }
        }
        if (!fitsInto(size, room)) {
            return undefined;
        }
        const needed = withoutNeedless(chosen, size, room);
        const stalled = [...worker.tasks].filter(task => task.stalled).length;
        const cost = needed.reduce((sum, task) => sum + (task.allAtOnce ? GANG_COST : 1), stalled * STALLED_COST);
        const startedAt = needed.reduce((oldest, task) => Math.min(oldest, task.startedAt), Infinity);
        return { worker, victims: this.withWholeGangs(needed), cost, startedAt };
    }

    /** A gang cannot go on without one of its tasks, so all of them are preempted together. */
    private withWholeGangs(victims: readonly TaskEntry[]): readonly TaskEntry[] {
        const all = new Set(victims);
        for (const victim of victims) {
            if (victim.allAtOnce) {
                for (const task of this.running.ofJob(victim.job)) {
                    if (!task.preempted) {
                        all.add(task);
                    }
                }
            }
        }
        return [...all];
    }

    /** Expects the tasks that should have made room for the claim to take longer. */
    private stall(claim: Claim): void {
        for (const task of claim.worker.tasks) {
            if (task.preempted && !task.stalled) {
                this.pool.updateTask(task, () => {
                    task.stalled = true;
                });
            }
        }
    }

    private lengthenTimeout(group: WaitingGroup): void {
        this.timeouts.set(group, Math.min(LONGEST_CLAIM_TIMEOUT_MS, this.timeoutOf(group) * 2));
    }

    private end(group: WaitingGroup, claim: Claim): void {
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

/** Whether the owner of a claim of `size` on the worker can start there now. */
function hasRoom(worker: WorkerNode, size: Resources): boolean {
    return fitsInto(size, worker.freeRoom());
}

/** Whether ending a task adds to a resource that is short. */
function helps(counted: Resources, size: Resources, room: Resources): boolean {
    return (counted.processorMillis > 0 && room.processorMillis < size.processorMillis)
        || (counted.memoryMebibytes > 0 && room.memoryMebibytes < size.memoryMebibytes)
        || (counted.accelerators > 0 && room.accelerators < size.accelerators);
}

function withoutNeedless(chosen: readonly TaskEntry[], size: Resources, room: ResourceTally): TaskEntry[] {
    // Oldest first: if one of two tasks suffices, the one that would lose more progress is kept running.
    const needed = [...chosen];
    for (const task of [...chosen].reverse()) {
        room.subtract(task.counted);
        if (fitsInto(size, room)) {
            needed.splice(needed.indexOf(task), 1);
        }
        else {
            room.add(task.counted);
        }
    }
    return needed;
}
