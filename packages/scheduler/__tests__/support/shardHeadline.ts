import { noResources } from "@tanagerlink/model";
import type { ShardHeadline } from "../../src/index.ts";

/** Creates the headline of a shard. By default the shard is ready, has an owner of its own and no free capacity. */
export function shardHeadline(shard: string, changes: Partial<ShardHeadline> = {}): ShardHeadline {
    return {
        shard,
        owner: `owner of ${shard}`,
        epoch: 1,
        ready: true,
        freeProcessorMillis: 0,
        freeMemoryMebibytes: 0,
        freeAccelerators: 0,
        largestProcessorMillis: 0,
        largestMemoryMebibytes: 0,
        largestAccelerators: 0,
        capacity: noResources,
        queuedTasks: 0,
        waiting: noResources,
        services: [],
        ageMilliseconds: 0,
        ...changes,
    };
}
