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
    /** Indices of the tasks that wait. */
    readonly waitingTasks: readonly number[];
    /** Monotonic milliseconds since when the job waits. */
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

/** Start `task` of `job` on `worker`. All placements of one gang come in one decision. */
export interface Placement {
    readonly job: string;
    readonly task: number;
    readonly worker: string;
    readonly reason: Reason;
}

/** Checkpoint and stop a running task to make room for urgent work. */
export interface Preemption {
    readonly job: string;
    readonly task: number;
    readonly worker: string;
    /** Job that needs the room. */
    readonly beneficiary: string;
}

/** Why a job did not start in this round. */
export interface Hold {
    readonly job: string;
    readonly reason: Reason;
}

/** Outcome of one scheduling round. */
export interface RoundResult {
    readonly placements: readonly Placement[];
    readonly preemptions: readonly Preemption[];
    readonly holds: readonly Hold[];
}

/** Takes units of a team's limit during a round; the policy calls it for each task before placing it. */
export interface LimitGate {
    /** Takes `units` units together, or none and answers false. */
    take(team: string, units: number): boolean;
    /** Gives back units that the round took but did not use. */
    giveBack(team: string, units: number): void;
}

/** Answer to the question whether a shape can ever run. */
export type Feasibility =
    | { readonly feasible: true; }
    | { readonly feasible: false; readonly reason: string; readonly nearest: Resources; };

/** Decisions for one shard. Holds the shard's view of workers, queue and running tasks. */
export interface SchedulingPolicy {
    /** Name and version of the behaviour, for records and comparisons. */
    readonly version: PolicyVersion;

    setSettings(settings: PolicySettings): void;
    setTeamShares(shares: ReadonlyMap<string, number>): void;
    /** Use of a team in the rest of the fleet, from peer summaries, and the capacity of the whole fleet. */
    setFleetUsage(usage: ReadonlyMap<string, Resources>, fleetCapacity: Resources): void;

    addWorker(worker: PolicyWorker): void;
    removeWorker(worker: string): void;
    /** A worker that takes no new work (leaving, unreachable, failure domain out) keeps its running tasks. */
    setWorkerAvailable(worker: string, available: boolean): void;

    addJob(job: WaitingJob): void;
    removeJob(job: string): void;
    /** Tasks of a known job that wait again. */
    requeueTasks(job: string, tasks: readonly number[]): void;

    /** Counts a task that was placed by a round as started, or one that recovery found. */
    taskRunning(task: RunningTask): void;
    /** Frees the room of a task. `ranSeconds` feeds learning; `undefined` when it was not a normal end. */
    taskEnded(job: string, task: number, ranSeconds: number | undefined): void;
    /** Observed use of a running task; room is counted by the larger of declared and observed. */
    taskUsage(job: string, task: number, usage: Resources): void;

    taskFailedOn(worker: string, job: string, now: number): void;
    taskSucceededOn(worker: string): void;
    /** Whether a job failed on so many different workers that it is failed as a whole. */
    jobFailsEverywhere(job: string): boolean;
    quarantinedWorkers(now: number): readonly string[];

    /** Whether the shape could run if the shard were empty. */
    feasibility(size: Resources, tasks: number, allAtOnce: boolean): Feasibility;

    /** One round, bounded to `maximumPlacements`. Placed tasks count as running until `taskEnded`. */
    round(now: number, limits: LimitGate, maximumPlacements: number): RoundResult;
    freeResources(): Resources;
    /** Sum of the capacities of all workers. */
    totalCapacity(): Resources;
    /** Sum of the capacities of workers that take new work. */
    availableCapacity(): Resources;
    /** Largest capacity of a worker in each component. */
    largestWorker(): Resources;
    waitingTaskCount(): number;
    /** Sum of the planned sizes of all waiting tasks. */
    waitingResources(): Resources;
    describe(): unknown;
}
