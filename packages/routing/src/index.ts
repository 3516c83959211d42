/**
 * Routing of requests to the executors of a shard: slots, choice by free slots and latency, bounded queue, load
 * shedding, retries within a budget and outlier ejection.
 */
export * from "./executorPool.ts";
export {
    defaultRoutingLimits,
    type ExecutorPoolOptions,
    type RoutingCounters,
    type RoutingLimits,
} from "./executorPoolOptions.ts";
export { RetryBudget } from "./retryBudget.ts";
export { ServiceExecutorPool } from "./serviceExecutorPool.ts";
