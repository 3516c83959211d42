/**
 * One process of a cell on a platform that keeps all state: service to callers, election of the owner, access to the
 * store through peers, and links between the processes.
 */
export * from "./cellConfiguration.ts";
export { CellEntry, type JobRequest } from "./cellEntry.ts";
export type { WorkerSource } from "./ownerFollowers.ts";
export * from "./siteNode.ts";
