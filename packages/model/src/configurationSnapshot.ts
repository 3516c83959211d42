import type { ShardId } from "./shard.ts";
import type { WorkClass } from "./workClass.ts";

/** Source location of a configuration entry, `<file>:<line>`. */
export type Origin = string;

/** Effect of an upper limit below the current usage: block new starts only, or also stop running tasks. */
export const LimitEnforcement = { Starts: "starts", Stop: "stop" } as const;
export type LimitEnforcement = (typeof LimitEnforcement)[keyof typeof LimitEnforcement];

export interface TeamConfiguration {
    readonly name: string;
    /** Weight of the team in the division of capacity when the cell is full. */
    readonly share: number;
    /** Maximum number of tasks and requests in total that the team may run at the same time in the whole fleet. */
    readonly upperLimit: number;
    /** `starts` by default. */
    readonly enforce?: LimitEnforcement;
    readonly origin: Origin;
}

export interface KeyConfiguration {
    /** Public part of the key, before the dot. */
    readonly id: string;
    readonly team: string;
    /** Salt and scrypt hash of the secret part, in base64. */
    readonly salt: string;
    readonly hash: string;
    readonly revoked: boolean;
    readonly origin: Origin;
}

export interface QueueConfiguration {
    readonly name: string;
    readonly workClass: WorkClass;
    /** An open queue accepts work without a key. */
    readonly open: boolean;
    readonly origin: Origin;
}

export const FailureDomainState = { Active: "active", Out: "out" } as const;
export type FailureDomainState = (typeof FailureDomainState)[keyof typeof FailureDomainState];

export interface FailureDomainConfiguration {
    readonly name: string;
    readonly region: string;
    readonly state: FailureDomainState;
    /** Number of shards. It cannot change after the failure domain was first applied. */
    readonly shards: number;
    readonly origin: Origin;
}

export interface ServiceConfiguration {
    readonly name: string;
    /** Queue that determines the work class and access rule of the service's requests. */
    readonly queue: string;
    /** Time limit of a request. */
    readonly deadlineMilliseconds: number;
    readonly origin: Origin;
}

export interface PolicySettings {
    /** Fraction of the capacity of each shard that batch work must leave free, 0 to 0.5. */
    readonly urgentReserve: number;
    /** Waiting time in seconds that raises the rank of a job by one unit. */
    readonly agingSeconds: number;
    /** Consecutive failures of different jobs after which a worker is quarantined. */
    readonly workerFailureLimit: number;
    /** Number of different workers on which a job may fail before the job as a whole fails. */
    readonly jobFailureLimit: number;
}

/** A validated configuration. Immutable; each change creates a new snapshot with a higher version. */
export interface ConfigurationSnapshot {
    readonly version: number;
    readonly teams: Readonly<Record<string, TeamConfiguration>>;
    readonly keys: Readonly<Record<string, KeyConfiguration>>;
    readonly queues: Readonly<Record<string, QueueConfiguration>>;
    readonly failureDomains: Readonly<Record<string, FailureDomainConfiguration>>;
    readonly services: Readonly<Record<string, ServiceConfiguration>>;
    readonly policy: PolicySettings;
}

/** Identifiers of the shards of a failure domain, in index order. */
export function shardsOfFailureDomain(failureDomain: FailureDomainConfiguration): ShardId[] {
    return Array.from({ length: failureDomain.shards }, (_, index) => `${failureDomain.name}/${index}`);
}
