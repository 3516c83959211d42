/**
 * Stand-ins for the external parts of the system: the platform, workers, executors and a certificate authority. Tests, the
 * quickstart and the benchmarks use them. Each stand-in records what it ran or stored, so that tests don't have to rely
 * on what the system under test reports about itself.
 */
export * from "./authorityStandIn.ts";
export * from "./executorStandIn.ts";
export * from "./platformStandIn.ts";
export * from "./workerStandIn.ts";
