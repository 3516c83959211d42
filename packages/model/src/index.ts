/**
 * Data types shared by all packages: resources, teams, queues, failure domains, jobs, tasks, requests and the closed
 * list of reasons. The package contains no logic beyond schemas that validate external input.
 */
export * from "./configurationSnapshot.ts";
export * from "./decision.ts";
export * from "./job.ts";
export * from "./request.ts";
export * from "./resources.ts";
export * from "./shard.ts";
export * from "./target.ts";
export * from "./workClass.ts";
