/**
 * Clocks and timers. All code reads the time and schedules delayed and periodic work through `Timers`, so that tests
 * can control time with `ManualTimers`.
 */
export { ManualTimers } from "./manualTimers.ts";
export { SystemTimers } from "./systemTimers.ts";
export { sleep, type Subscription, type Timers, withDeadline } from "./timers.ts";
