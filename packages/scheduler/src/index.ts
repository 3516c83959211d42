/**
 * The owner of shards: scheduling of jobs on workers, slots of executors, and the way of submissions and requests to
 * the process that owns what they need.
 */
export * from "./fleetView.ts";
export { JobBook } from "./jobBook.ts";
export { createJobEntry, type JobEntry } from "./jobEntry.ts";
export * from "./jobRouter.ts";
export * from "./requestRouter.ts";
export * from "./schedulerMetrics.ts";
export * from "./schedulerService.ts";
export * from "./shardDependencies.ts";
export * from "./shardScheduler.ts";
export * from "./submission.ts";
export * from "./summaryPayload.ts";
