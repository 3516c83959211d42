/**
 * Data types shared by all packages: resources, teams, queues, failure domains, jobs, tasks, requests and the closed
 * list of reasons. Besides the types there are only schemas for external input and small helper functions.
 */
export * from "./configurationSnapshot.ts";
export * from "./decision.ts";
export * from "./job.ts";
export * from "./request.ts";
export * from "./resources.ts";
export * from "./shard.ts";
export * from "./target.ts";
export * from "./workClass.ts";
