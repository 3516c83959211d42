/** Replay of recorded traces against the scheduling policy, with stated outcomes. */
export { missedOutcomes, type ReplayResult, replayTrace, type WaitingTimes } from "./replayTrace.ts";
export { parseTrace, readTrace, type Trace, type TraceCell, type TraceEvent, type TraceJob } from "./trace.ts";
