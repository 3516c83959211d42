/**
 * Preemption of batch work for urgent work. A decided preemption makes a claim on the room that it frees: no other task
 * can take that room, and no second preemption is decided for the same urgent task while the claim stands.
 */
import { fitsInto, type Resources } from "@tanagerlink/model";
import { ResourceTally } from "./resourceTally.ts";
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
            for (const claim of [...claims]) {
                if (!claim.worker.usable) {
                    this.end(group, claim);
                }
                else if (now >= claim.expiresAt) {
                    this.giveUp(group, claim);
                }
            }
            this.trim(group);
        }
    }

    /** Decides which tasks to preempt for one more task of `size` and claims their room. */
    preempt(group: WaitingGroup, size: Resources, now: number): readonly TaskEntry[] | undefined {
        const choice = this.choose(size);
        if (choice === undefined) {
            return undefined;
        }
        for (const victim of choice.victims) {
            this.pool.updateTask(victim, () => {
                victim.preempted = true;
            });
        }
        const timeout = this.timeouts.get(group) ?? FIRST_CLAIM_TIMEOUT_MS;
        const claim = { worker: choice.worker, size, expiresAt: now + timeout };
        const claims = this.claims.get(group) ?? [];
        claims.push(claim);
        this.claims.set(group, claims);
        this.pool.claim(choice.worker, size);
        return choice.victims;
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

    private giveUp(group: WaitingGroup, claim: Claim): void {
        for (const task of claim.worker.tasks) {
            if (task.preempted && !task.stalled) {
                this.pool.updateTask(task, () => {
                    task.stalled = true;
                });
            }
        }
        const timeout = this.timeouts.get(group) ?? FIRST_CLAIM_TIMEOUT_MS;
        this.timeouts.set(group, Math.min(LONGEST_CLAIM_TIMEOUT_MS, timeout * 2));
        this.end(group, claim);
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
