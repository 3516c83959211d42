/**
 * Jobs of several steps: their specification, the state of their tasks and attempts, and their durable progress record.
 * The package has no timers and makes no calls, so that every state transition can be tested in isolation.
 */
export * from "./jobRun.ts";
export * from "./jobSpecification.ts";
export * from "./progressRecord.ts";
export * from "./stepRun.ts";
export * from "./taskRun.ts";
