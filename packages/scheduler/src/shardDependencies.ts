/** Dependencies of the scheduler of an owned shard. It reaches everything outside its own memory through them. */
import type { ServiceError } from "@tanagerlink/errors";
import type { JobStore } from "@tanagerlink/jobs";
import type { GrantLedger } from "@tanagerlink/limits";
import type { ConfigurationSnapshot, JobRecord } from "@tanagerlink/model";
import type { ShardOwnership } from "@tanagerlink/ownership";
import type { SchedulingPolicy } from "@tanagerlink/policy";
import type { DispatchGate, ExecutorPool } from "@tanagerlink/routing";
import type { WorkerClientFactory } from "@tanagerlink/targets";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { Result } from "neverthrow";
import type { SchedulerMetrics } from "./schedulerMetrics.ts";
import type { JobStatus, Submission } from "./submission.ts";

/** Settings of the scheduler of one shard. */
export interface ShardSettings {
    readonly workerHeartbeatMilliseconds: number;
    /** Added to every lease before a task counts as ended; covers the drift between clocks. */
    readonly leaseMarginMilliseconds: number;
    /** Period of scheduling rounds when no event requests one. */
    readonly roundPeriodMilliseconds: number;
    /** Bounds the time for which one round blocks the event loop. */
    readonly maximumStartsPerRound: number;
    /** Upper bound of the waiting and running jobs of a shard. */
    readonly maximumJobs: number;
    /** Time for which a finished job is kept, so that its decisions can still be read. */
    readonly explanationMilliseconds: number;
    /** Age of the configuration above which no new work is accepted or started; 0 for no bound. */
    readonly maximumConfigurationAgeMilliseconds: number;
}

/** The process that owns a shard of a lost failure domain. */
export interface ShardAdopter {
    readonly node: string;
    readonly failureDomain: string;
}

/** One part of a job that is to be split. */
export interface PartPlan {
    readonly shard: string;
    readonly tasks: number;
}

/** Access of the owner of a split job to the shards that hold its parts. */
export interface PartAccess {
    /** Plans the parts of a new job; returns none when the job stays in one shard. */
    planParts(submission: Pick<Submission, "specification" | "workClass">): readonly PartPlan[];
    /** Cancels a part in the shard that holds it. */
    cancelPart(part: string): Promise<Result<JobStatus, ServiceError>>;
}

/**
 * Dependencies of one shard's scheduler. Most are shared by all shards of a process, others are created for one shard.
 */
export interface ShardDependencies {
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: SchedulerMetrics;
    readonly settings: ShardSettings;
    readonly ownership: ShardOwnership;
    readonly ledger: GrantLedger;
    readonly jobs: JobStore;
    readonly workerClients: WorkerClientFactory;
    readonly configuration: () => ConfigurationSnapshot | undefined;
    readonly configurationAgeMilliseconds: () => number;
    /**
     * Chooses a shard that can run a waiting job now or, with `evacuate`, any other one with a worker that fits a task.
     */
    readonly moveTarget?: (record: JobRecord, evacuate: boolean) => string | undefined;
    /** Set for an adopted shard, which belongs to another failure domain. */
    readonly adopter?: ShardAdopter;
    /** When undefined, no job is split. */
    readonly partAccess?: PartAccess;
    readonly createPolicy: () => SchedulingPolicy;
    readonly createExecutorPool: (shard: string, epoch: number, gate: DispatchGate) => ExecutorPool;
}
