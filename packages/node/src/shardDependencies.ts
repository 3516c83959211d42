/** Assembles the dependencies of the shards that this process owns. */
import type { PlatformConfigurationFollower } from "@tanagerlink/configuration";
import type { JobStore } from "@tanagerlink/jobs";
import type { GrantLedger } from "@tanagerlink/limits";
import type { PolicySettings } from "@tanagerlink/model";
import type { ShardOwnership } from "@tanagerlink/ownership";
import { ShardPolicy } from "@tanagerlink/policy";
import { type RoutingMetrics, ServiceExecutorPool } from "@tanagerlink/routing";
import type { SchedulerMetrics, ShardDependencies } from "@tanagerlink/scheduler";
import type { Settings } from "@tanagerlink/settings";
import type { ExecutorClientFactory, WorkerClientFactory } from "@tanagerlink/targets";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { randomInt } from "node:crypto";

const MILLISECONDS_PER_HOUR = 3_600_000;

/** Exclusive upper bound of the seeds of executor pools. */
const SEED_LIMIT = 2 ** 31;

/** Clock drift between owner and worker that leases tolerate. */
const LEASE_MARGIN_MILLISECONDS = 1_000;

const ROUND_PERIOD_MILLISECONDS = 200;
const MAXIMUM_STARTS_PER_ROUND = 256;

/** Policy until the first configuration is in force. */
const INITIAL_POLICY: PolicySettings = {
    urgentReserve: 0.03,
    agingSeconds: 600,
    workerFailureLimit: 5,
    jobFailureLimit: 3,
};

/** Components of the process that all its shards share. */
export interface ProcessComponents {
    readonly settings: Settings;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: SchedulerMetrics;
    readonly routingMetrics: RoutingMetrics;
    readonly ownership: ShardOwnership;
    readonly ledger: GrantLedger;
    readonly jobs: JobStore;
    readonly workerClients: WorkerClientFactory;
    readonly executorClients: ExecutorClientFactory;
    readonly follower: PlatformConfigurationFollower;
}

export function createShardDependencies(components: ProcessComponents): ShardDependencies {
    const { settings, timers, follower, executorClients } = components;
    return {
        timers,
        logger: components.logger,
        metrics: components.metrics,
        ownership: components.ownership,
        ledger: components.ledger,
        jobs: components.jobs,
        workerClients: components.workerClients,
        configuration: () => follower.currentSnapshot(),
        configurationAgeMilliseconds: () => follower.ageMilliseconds(),
        createPolicy: () => new ShardPolicy(follower.currentSnapshot()?.policy ?? INITIAL_POLICY),
        createExecutorPool: (shard, epoch, gate) =>
            new ServiceExecutorPool({
                shard,
                epoch,
                gate,
                timers,
                clients: executorClients,
                seed: randomInt(SEED_LIMIT),
                metrics: components.routingMetrics,
            }),
        settings: {
            workerHeartbeatMilliseconds: settings.workerHeartbeatMilliseconds,
            leaseMarginMilliseconds: LEASE_MARGIN_MILLISECONDS,
            roundPeriodMilliseconds: ROUND_PERIOD_MILLISECONDS,
            maximumStartsPerRound: MAXIMUM_STARTS_PER_ROUND,
            maximumJobs: settings.maximumJobsPerShard,
            explanationMilliseconds: settings.explanationHours * MILLISECONDS_PER_HOUR,
            maximumConfigurationAgeMilliseconds: settings.maximumConfigurationAgeSeconds * 1_000,
        },
    };
}
