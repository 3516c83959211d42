/**
 * The timer service. Parts subscribe to it for repeated and delayed work and read the monotonic clock from it, so
 * that tests replace time as a whole by `ManualTimers`.
 */
export { ManualTimers } from "./manualTimers.ts";
export { SystemTimers } from "./systemTimers.ts";
export { sleep, type Subscription, type Timers, withDeadline } from "./timers.ts";
