/**
 * All scheduling decisions, without input or output: placement, order by shares, gangs and backfill, preemption,
 * learning of sizes and run times, quarantine of workers. Benchmarks and replay run this same code.
 */
export * from "./overLimit.ts";
export * from "./policyVersion.ts";
export * from "./schedulingPolicy.ts";
export * from "./shardPolicy.ts";
