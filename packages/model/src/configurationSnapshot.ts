import type { ShardId } from "./shard.ts";
import type { WorkClass } from "./workClass.ts";

/** Where an entry of the configuration was written, `<file>:<line>`. */
export type Origin = string;

/** What a lowered upper limit does: hold back new starts, or also stop running tasks. */
export const LimitEnforcement = { Starts: "starts", Stop: "stop" } as const;
export type LimitEnforcement = (typeof LimitEnforcement)[keyof typeof LimitEnforcement];

export interface TeamConfiguration {
    readonly name: string;
    /** Weight of the team when the cell is full. */
    readonly share: number;
    /** Most tasks and requests together that the team may have running in the whole fleet. */
    readonly upperLimit: number;
    /** Without a value, `starts`. */
    readonly enforce?: LimitEnforcement;
    readonly origin: Origin;
}

export interface KeyConfiguration {
    /** Public part of the key, before the dot. */
    readonly id: string;
    readonly team: string;
    /** Salt and scrypt hash of the secret part, base64. */
    readonly salt: string;
    readonly hash: string;
    readonly revoked: boolean;
    readonly origin: Origin;
}

export interface QueueConfiguration {
    readonly name: string;
    readonly workClass: WorkClass;
    /** An open queue takes work without a key. */
    readonly open: boolean;
    readonly origin: Origin;
}

export const FailureDomainState = { Active: "active", Out: "out" } as const;
export type FailureDomainState = (typeof FailureDomainState)[keyof typeof FailureDomainState];

export interface FailureDomainConfiguration {
    readonly name: string;
    readonly region: string;
    readonly state: FailureDomainState;
    /** Number of shards. Fixed once the failure domain has run work. */
    readonly shards: number;
    readonly origin: Origin;
}

export interface ServiceConfiguration {
    readonly name: string;
    /** Queue whose class and access rule the requests of the service have. */
    readonly queue: string;
    /** Longest time a request may take, in milliseconds. */
    readonly deadlineMilliseconds: number;
    readonly origin: Origin;
}

export interface PolicySettings {
    /** Part of each shard kept free of batch work, 0 to 0.5. */
    readonly urgentReserve: number;
    /** Seconds of waiting that lift a job by one unit of rank. */
    readonly agingSeconds: number;
    /** Consecutive failures of different jobs after which a worker is quarantined. */
    readonly workerFailureLimit: number;
    /** Different workers on which a job may fail before it is failed. */
    readonly jobFailureLimit: number;
}

/** One validated configuration. Immutable; a change makes a new snapshot with a higher version. */
export interface ConfigurationSnapshot {
    readonly version: number;
    readonly teams: Readonly<Record<string, TeamConfiguration>>;
    readonly keys: Readonly<Record<string, KeyConfiguration>>;
    readonly queues: Readonly<Record<string, QueueConfiguration>>;
    readonly failureDomains: Readonly<Record<string, FailureDomainConfiguration>>;
    readonly services: Readonly<Record<string, ServiceConfiguration>>;
    readonly policy: PolicySettings;
}

/** Shards of one failure domain, in index order. */
export function shardsOfFailureDomain(failureDomain: FailureDomainConfiguration): ShardId[] {
    return Array.from({ length: failureDomain.shards }, (_, index) => `${failureDomain.name}/${index}`);
}
