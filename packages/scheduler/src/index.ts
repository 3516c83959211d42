/**
 * Scheduling in the owner of shards: placement of jobs on workers, allocation of executor slots, and routing of
 * submissions and requests to the process that owns the required shard.
 */
export * from "./fleetView.ts";
export { createJobEntry, type JobEntry } from "./jobEntry.ts";
export { JobRegistry } from "./jobRegistry.ts";
export * from "./jobRouter.ts";
export * from "./requestRouter.ts";
export * from "./schedulerMetrics.ts";
export * from "./schedulerService.ts";
export * from "./shardDependencies.ts";
export * from "./shardScheduler.ts";
export * from "./submission.ts";
export * from "./summaryPayload.ts";
