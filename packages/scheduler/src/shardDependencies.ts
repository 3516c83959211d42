/**
 * What an owned shard is built from. Everything a scheduler touches outside its own memory comes in here.
 */
import type { JobStore } from "@tanagerlink/jobs";
import type { GrantLedger } from "@tanagerlink/limits";
import type { ConfigurationSnapshot, JobRecord } from "@tanagerlink/model";
import type { ShardOwnership } from "@tanagerlink/ownership";
import type { SchedulingPolicy } from "@tanagerlink/policy";
import type { DispatchGate, ExecutorPool } from "@tanagerlink/routing";
import type { WorkerClientFactory } from "@tanagerlink/targets";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import type { SchedulerMetrics } from "./schedulerMetrics.ts";

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
    readonly createPolicy: () => SchedulingPolicy;
    readonly createExecutorPool: (shard: string, epoch: number, gate: DispatchGate) => ExecutorPool;
}
