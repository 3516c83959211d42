/**
 * Routing of requests to the executors of a shard: slots, load balancing by free slots and latency, bounded queues,
 * load shedding, retries within a budget and outlier ejection.
 */
export * from "./executorPool.ts";
export { defaultRoutingLimits, type ExecutorPoolOptions, type RoutingLimits } from "./executorPoolOptions.ts";
export { RetryBudget } from "./retryBudget.ts";
export { createRoutingMetrics, type RoutingCounters, RoutingEvent, type RoutingMetrics } from "./routingMetrics.ts";
export { ServiceExecutorPool } from "./serviceExecutorPool.ts";
