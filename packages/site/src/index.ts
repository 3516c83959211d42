/**
 * One process of a cell on a platform that stores all state: the interface for callers, the election of the owner,
 * access to the store directly or through peers, and the links between the processes.
 */
export * from "./cellConfiguration.ts";
export { CellEntry, type JobRequest } from "./cellEntry.ts";
export * from "./siteNode.ts";
export type { WorkerSource } from "./workerEntries.ts";
