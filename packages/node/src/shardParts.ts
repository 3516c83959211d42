/** What the shards of this process are built from. */
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

/** Milliseconds of an hour. */
const HOUR = 3_600_000;

/** Bound of the seeds given to executor pools. */
const SEED_BOUND = 2 ** 31;

/** Difference between the clock rates of owner and worker that leases tolerate, in milliseconds. */
const LEASE_MARGIN_MILLISECONDS = 1_000;

const ROUND_PERIOD_MILLISECONDS = 200;
const MAXIMUM_STARTS_PER_ROUND = 256;

/** Policy before the first configuration is in force. */
const INITIAL_POLICY: PolicySettings = {
    urgentReserve: 0.03,
    agingSeconds: 600,
    workerFailureLimit: 5,
    jobFailureLimit: 3,
};

/** Parts that exist once per process. */
export interface ShardParts {
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

/** Builds the dependencies. */
export function createShardDependencies(parts: ShardParts): ShardDependencies {
    const { settings, timers, follower, executorClients } = parts;
    return {
        timers,
        logger: parts.logger,
        metrics: parts.metrics,
        ownership: parts.ownership,
        ledger: parts.ledger,
        jobs: parts.jobs,
        workerClients: parts.workerClients,
        configuration: () => follower.current(),
        configurationAgeMilliseconds: () => follower.ageMilliseconds(),
        createPolicy: () => new ShardPolicy(follower.current()?.policy ?? INITIAL_POLICY),
        createExecutorPool: (shard, epoch, gate) =>
            new ServiceExecutorPool({
                shard,
                epoch,
                gate,
                timers,
                clients: executorClients,
                seed: randomInt(SEED_BOUND),
                metrics: parts.routingMetrics,
            }),
        settings: {
            workerHeartbeatMilliseconds: settings.workerHeartbeatMilliseconds,
            leaseMarginMilliseconds: LEASE_MARGIN_MILLISECONDS,
            roundPeriodMilliseconds: ROUND_PERIOD_MILLISECONDS,
            maximumStartsPerRound: MAXIMUM_STARTS_PER_ROUND,
            maximumJobs: settings.maximumJobsPerShard,
            explanationMilliseconds: settings.explanationHours * HOUR,
            maximumConfigurationAgeMilliseconds: settings.maximumConfigurationAgeSeconds * 1_000,
        },
    };
}
