import type { Resources } from "./resources.ts";

/** Identifier of a shard, `<failure domain>/<index>`. */
export type ShardId = string;

/** Builds the identifier of a shard. */
export function shardId(failureDomain: string, index: number): ShardId {
    return `${failureDomain}/${index}`;
}

/** Failure domain that a shard belongs to. */
export function failureDomainOfShard(shard: ShardId): string {
    return shard.slice(0, shard.lastIndexOf("/"));
}

/** What an owner tells other processes about one of its shards, each heartbeat. */
export interface ShardSummary {
    readonly shard: ShardId;
    readonly owner: string;
    /** Failure domain of the owner, when it is not the shard's own. */
    readonly adoptedBy?: string | undefined;
    readonly epoch: number;
    readonly ready: boolean;
    readonly freeProcessorMillis: number;
    readonly freeMemoryMebibytes: number;
    readonly freeAccelerators: number;
    /** Largest worker of the shard in each component, for the check whether a job can ever run. */
    readonly largestProcessorMillis: number;
    readonly largestMemoryMebibytes: number;
    readonly largestAccelerators: number;
    readonly capacity: Resources;
    readonly queuedTasks: number;
    /** Sum of the sizes of waiting tasks. */
    readonly waiting: Resources;
    readonly services: readonly ServiceSummary[];
    readonly teams: readonly TeamSummary[];
}

/** Executors of one service in one shard. */
export interface ServiceSummary {
    readonly service: string;
    readonly slots: number;
    readonly freeSlots: number;
    /** Moving average of the request time in milliseconds. */
    readonly latencyMilliseconds: number;
}

/** One team's use of one shard. */
export interface TeamSummary {
    readonly team: string;
    readonly runningUnits: number;
    readonly grantUnits: number;
    readonly waitingTasks: number;
    readonly processorMillis: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}
