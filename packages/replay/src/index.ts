/** Replays recorded traces against the scheduling policy and checks the outcomes that they state. */
export { missedOutcomes, type ReplayResult, replayTrace, type WaitingTimes } from "./replayTrace.ts";
export { parseTrace, readTrace, type Trace, type TraceCell, type TraceEvent, type TraceJob } from "./trace.ts";
