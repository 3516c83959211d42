/**
 * Types that all parts share: resources, teams, queues, failure domains, jobs, tasks, requests and the closed list of
 * reasons. Data only; the schemas check what enters from outside.
 */
export * from "./configurationSnapshot.ts";
export * from "./decision.ts";
export * from "./job.ts";
export * from "./request.ts";
export * from "./resources.ts";
export * from "./shard.ts";
export * from "./target.ts";
export * from "./workClass.ts";
