/**
 * Clients of the back ends: workers that run tasks under leases, and executors that answer requests. Interfaces with
 * one HTTP adapter each.
 */
export * from "./executorClient.ts";
export * from "./workerClient.ts";
