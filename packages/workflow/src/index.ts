/**
 * Jobs of several steps: their specification, the state of their tasks and attempts, and the durable record of what has
 * started and ended. Holds no timers and calls nothing, so that every transition can be tested by itself.
 */
export * from "./jobRun.ts";
export * from "./jobSpecification.ts";
export * from "./progressRecord.ts";
export * from "./stepRun.ts";
export * from "./taskRun.ts";
