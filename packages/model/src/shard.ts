import type { Resources } from "./resources.ts";

/** Identifier of a shard, `<failure domain>/<index>`. */
export type ShardId = string;

export function shardId(failureDomain: string, index: number): ShardId {
    return `${failureDomain}/${index}`;
}

/** Failure domain to which a shard belongs. */
export function failureDomainOfShard(shard: ShardId): string {
    return shard.slice(0, shard.lastIndexOf("/"));
}

/** State of a shard that its owner sends to other processes with each heartbeat. */
export interface ShardSummary {
    readonly shard: ShardId;
    readonly owner: string;
    /** Failure domain of the owner, if it differs from that of the shard. */
    readonly adoptedBy?: string | undefined;
    readonly epoch: number;
    readonly ready: boolean;
    readonly freeProcessorMillis: number;
    readonly freeMemoryMebibytes: number;
    readonly freeAccelerators: number;
    /** Maximum capacity of a worker of the shard in each component, used to check whether a job can ever run. */
    readonly largestProcessorMillis: number;
    readonly largestMemoryMebibytes: number;
    readonly largestAccelerators: number;
    readonly capacity: Resources;
    readonly queuedTasks: number;
    /** Total size of the waiting tasks. */
    readonly waiting: Resources;
    readonly services: readonly ServiceSummary[];
    readonly teams: readonly TeamSummary[];
}

/** Executors of a service in a shard. */
export interface ServiceSummary {
    readonly service: string;
    readonly slots: number;
    readonly freeSlots: number;
    /** Moving average of the request duration. */
    readonly latencyMilliseconds: number;
}

/** Resource usage of a team in a shard. */
export interface TeamSummary {
    readonly team: string;
    readonly runningUnits: number;
    readonly grantUnits: number;
    readonly waitingTasks: number;
    readonly processorMillis: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}
