/** The interface of a scheduling policy, with the types of its input and its decisions. */
import type { PolicySettings, Reason, Resources, WorkClass } from "@tanagerlink/model";
import type { PolicyVersion } from "./policyVersion.ts";

/** A worker as the policy sees it. */
export interface PolicyWorker {
    readonly id: string;
    readonly rack: string;
    readonly capacity: Resources;
}

/** Waiting tasks of one job. */
export interface WaitingJob {
    readonly id: string;
    readonly name: string;
    readonly team: string;
    readonly queue: string;
    readonly workClass: WorkClass;
    readonly size: Resources;
    /** Declared run time of a task in seconds; `undefined` for services. */
    readonly runSeconds: number | undefined;
    readonly allAtOnce: boolean;
    /** Whether a running task may be checkpointed for urgent work; false for non-idempotent jobs. */
    readonly preemptible: boolean;
    /** Indices of the waiting tasks. */
    readonly waitingTasks: readonly number[];
    /** Time at which the job began to wait, in monotonic milliseconds. */
    readonly waitingSince: number;
}

/** A task that runs or whose start was sent. */
export interface RunningTask {
    readonly job: string;
    readonly task: number;
    readonly name: string;
    readonly team: string;
    readonly queue: string;
    readonly workClass: WorkClass;
    readonly worker: string;
    readonly size: Resources;
    readonly runSeconds: number | undefined;
    readonly startedAt: number;
    readonly allAtOnce: boolean;
    /** Whether the task may be checkpointed for urgent work; false for non-idempotent jobs. */
    readonly preemptible: boolean;
}

/** Decision to start `task` of `job` on `worker`. All placements of a gang are made in one round. */
export interface Placement {
    readonly job: string;
    readonly task: number;
    readonly worker: string;
    readonly reason: Reason;
}

/** Decision to checkpoint and stop a running task to free capacity for urgent work. */
export interface Preemption {
    readonly job: string;
    readonly task: number;
    readonly worker: string;
    /** Urgent job for which the capacity is freed. */
    readonly beneficiary: string;
}

/** The reason why a job did not start in this round. */
export interface WaitReason {
    readonly job: string;
    readonly reason: Reason;
}

/** Outcome of one scheduling round. */
export interface RoundResult {
    readonly placements: readonly Placement[];
    readonly preemptions: readonly Preemption[];
    readonly waitReasons: readonly WaitReason[];
}

/** Acquires units of the teams' limits during a round, before the policy places the tasks that need them. */
export interface LimitGate {
    /** Acquires all `units` units or none; returns whether they were acquired. */
    acquire(team: string, units: number): boolean;
    /** Releases units that the round acquired but did not use. */
    release(team: string, units: number): void;
}

/** Whether a shape can run at all, and if not, why and what similar shape could. */
export type Feasibility =
    | { readonly feasible: true; }
    | { readonly feasible: false; readonly reason: string; readonly nearest: Resources; };

/** Makes the scheduling decisions of one shard, from its own record of the workers, the queue and the running tasks. */
export interface SchedulingPolicy {
    /** Name and version of the behaviour, for records and comparisons. */
    readonly version: PolicyVersion;

    setSettings(settings: PolicySettings): void;
    setTeamShares(shares: ReadonlyMap<string, number>): void;
    /**
     * Sets the usage of each team in the rest of the fleet, from peer summaries, and the capacity of the whole fleet.
     */
    setFleetUsage(usage: ReadonlyMap<string, Resources>, fleetCapacity: Resources): void;

    addWorker(worker: PolicyWorker): void;
    /** Changes the capacity of a worker. Tasks that no longer fit keep running and count. */
    setWorkerCapacity(worker: string, capacity: Resources): void;
    /** Whether what is counted on a worker, including starts not sent yet, exceeds its capacity. */
    isOverCapacity(worker: string): boolean;
    removeWorker(worker: string): void;
    /** A worker that accepts no new work (leaving, unreachable, failure domain out) keeps its running tasks. */
    setWorkerAvailable(worker: string, available: boolean): void;

    addJob(job: WaitingJob): void;
    removeJob(job: string): void;
    /** Puts tasks of a known job back into the queue. */
    requeueTasks(job: string, tasks: readonly number[]): void;

    /** Records a running task: one that a round placed, or one that recovery found. */
    recordTaskRunning(task: RunningTask): void;
    /**
     * Frees the capacity of a task. Its run time `ranSeconds` is recorded for estimates; `undefined` if the task did
     * not end normally.
     */
    recordTaskEnd(job: string, task: number, ranSeconds: number | undefined): void;
    /**
     * Records the observed usage of a running task, which is counted with the larger of its planned and observed size.
     */
    recordTaskUsage(job: string, task: number, usage: Resources): void;

    recordTaskFailure(worker: string, job: string, now: number): void;
    recordTaskSuccess(worker: string): void;
    /** Whether a job has failed on so many different workers that it fails as a whole. */
    hasJobFailedEverywhere(job: string): boolean;
    quarantinedWorkers(now: number): readonly string[];

    /** Whether the shape could run if the shard were empty. */
    checkFeasibility(size: Resources, tasks: number, allAtOnce: boolean): Feasibility;

    /** Runs one round with a limit on its placements. Placed tasks count as running until their end is recorded. */
    runRound(now: number, limits: LimitGate, maximumPlacements: number): RoundResult;
    freeResources(): Resources;
    /** Sum of the capacities of all workers. */
    totalCapacity(): Resources;
    /** Sum of the capacities of workers that accept new work. */
    availableCapacity(): Resources;
    /** Largest capacity of any worker in each resource. */
    largestWorkerCapacity(): Resources;
    waitingTaskCount(): number;
    /** Sum of the planned sizes of all waiting tasks. */
    waitingResources(): Resources;
    describe(): unknown;
}
