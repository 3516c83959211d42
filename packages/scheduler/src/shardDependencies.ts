/**
 * What an owned shard is built from. Everything a scheduler touches outside its own memory comes in here.
 */
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
    /** Added to every lease before a task counts as ended, for the difference between clock rates. */
    readonly leaseMarginMilliseconds: number;
    /** Period of rounds that nothing else has caused. */
    readonly roundPeriodMilliseconds: number;
    /** Starts in one round; bounds the time that a round keeps the process busy. */
    readonly maximumStartsPerRound: number;
    /** Waiting and running jobs that a shard accepts. */
    readonly maximumJobs: number;
    readonly explanationMilliseconds: number;
    /** Oldest configuration under which new work is accepted; 0 for no bound. */
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

/** What the owner of a split job needs of other shards. */
export interface PartAccess {
    /** Shards and sizes of the parts of a new job; none when it stays in one shard. */
    plan(submission: Pick<Submission, "specification" | "workClass">): readonly PartPlan[];
    /** Cancels a part in the shard that holds it. */
    cancel(part: string): Promise<Result<JobStatus, ServiceError>>;
}

/** Parts that all shards of a process share, and those made for one shard. */
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
    /** Shard that could run a waiting job now; with `leave`, any other shard of an active failure domain. */
    readonly moveTarget?: (record: JobRecord, leave: boolean) => string | undefined;
    /** Set for a shard of another failure domain. */
    readonly adopter?: ShardAdopter;
    /** Without it no job is split. */
    readonly parts?: PartAccess;
    readonly createPolicy: () => SchedulingPolicy;
    readonly createExecutorPool: (shard: string, epoch: number, gate: DispatchGate) => ExecutorPool;
}
