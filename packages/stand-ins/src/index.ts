/**
 * Small stand-ins of what the system talks to: the platform, workers, executors and a certificate authority. Used by tests, the quickstart and
 * benchmarks. Each keeps a record of what really happened, which tests check instead of the product's own account.
 */
export * from "./authorityStandIn.ts";
export * from "./executorStandIn.ts";
export * from "./platformStandIn.ts";
export * from "./workerStandIn.ts";
