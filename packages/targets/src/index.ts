/**
 * Clients of the back ends: workers that run tasks under leases, and executors that answer requests. Interfaces with
 * one HTTP adapter each.
 */
export * from "./executorClient.ts";
export { connectionHeaders } from "./executorHeaders.ts";
export { HttpExecutorClientFactory, type HttpExecutorClientOptions } from "./httpExecutorClient.ts";
export { HttpWorkerClientFactory, type HttpWorkerClientOptions } from "./httpWorkerClient.ts";
export * from "./workerClient.ts";
