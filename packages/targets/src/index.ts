/**
 * Clients of the targets: workers, which run tasks under leases, and executors, which answer requests. Each client is
 * an interface with an HTTP adapter.
 */
export * from "./executorClient.ts";
export { connectionHeaders } from "./executorHeaders.ts";
export { HttpExecutorClientFactory, type HttpExecutorClientOptions } from "./httpExecutorClient.ts";
export { HttpWorkerClientFactory, type HttpWorkerClientOptions } from "./httpWorkerClient.ts";
export * from "./workerClient.ts";
