/**
 * All scheduling decisions, free of input and output: placement, fair sharing, gangs and backfill, preemption,
 * estimates of sizes and run times, quarantine of workers. Benchmarks and replay run this same code.
 */
export * from "./overLimit.ts";
export * from "./policyVersion.ts";
export * from "./schedulingPolicy.ts";
export * from "./shardPolicy.ts";
