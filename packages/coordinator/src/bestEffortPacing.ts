/**
 * Throttles best-effort tasks, which use processor time left over by other tasks, beside latency-sensitive tasks on the
 * same worker. Their pace is lowered when a tail latency approaches its target and raised in small steps while the
 * latency is well below it.
 */
import type { Timers } from "@tanagerlink/timers";
import { type Attempt, AttemptStatus } from "@tanagerlink/workflow";
import type { WorkerSession } from "./workerSession.ts";

/** Ratios of tail latency to target above which the pace is lowered, and below which it is raised. */
const LOWER_PACE_ABOVE_LATENCY_RATIO = 0.8;
const RAISE_PACE_BELOW_LATENCY_RATIO = 0.55;
/** Pace of best-effort tasks beside latency-sensitive ones before the first latency is known. */
const INITIAL_PACE_PERCENT = 50;
const PACE_RAISE_STEP_PERCENT = 10;
/** Tasks are halted below this pace, since their memory traffic would still raise latencies. */
const MINIMUM_PACE_PERCENT = 10;
/** Time after a change of pace before its effect on latency is evaluated. */
const PACE_SETTLING_MILLISECONDS = 700;

interface PaceState {
    percent: number;
    changedAt: number;
}

export class BestEffortPacing {
    private readonly timers: Timers;
    private readonly states = new WeakMap<WorkerSession, PaceState>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** Adjusts the pace of a worker's best-effort tasks to its latest report. */
    adjust(worker: WorkerSession): void {
        const running = [...worker.liveAttempts].filter(({ status }) => status === AttemptStatus.Running);
        const bestEffort = running.filter(({ task }) => task.step.specification.fills);
        if (bestEffort.length === 0) {
            return;
        }
        const percent = this.updatePace(worker, running.filter(isLatencySensitive));
        for (const attempt of bestEffort) {
            if (attempt.pace !== percent) {
                void worker.setPace(attempt, percent);
            }
        }
    }

    private updatePace(worker: WorkerSession, latencySensitive: readonly Attempt[]): number {
        if (latencySensitive.length === 0) {
            this.states.delete(worker);
            return 100;
        }
        const now = this.timers.now();
        const state = this.states.get(worker) ?? { percent: INITIAL_PACE_PERCENT, changedAt: -Infinity };
        this.states.set(worker, state);
        const latencyRatio = Math.max(...latencySensitive.map(latencyRatioOf));
        if (now - state.changedAt < PACE_SETTLING_MILLISECONDS) {
            return state.percent;
        }
        const next = nextPace(state.percent, latencyRatio);
        if (next !== state.percent) {
            state.percent = next;
            state.changedAt = now;
        }
        return state.percent;
    }
}

function nextPace(percent: number, latencyRatio: number): number {
    if (latencyRatio > LOWER_PACE_ABOVE_LATENCY_RATIO) {
        const lowered = latencyRatio > 1 ? 0 : Math.floor(percent / 2);
        return lowered < MINIMUM_PACE_PERCENT ? 0 : lowered;
    }
    return latencyRatio < RAISE_PACE_BELOW_LATENCY_RATIO ? Math.min(100, percent + PACE_RAISE_STEP_PERCENT) : percent;
}

function isLatencySensitive({ task }: Attempt): boolean {
    return task.step.specification.targetMilliseconds !== undefined;
}

/** Ratio of the tail latency to its target. */
function latencyRatioOf({ task, load }: Attempt): number {
    return load / Math.max(1, task.step.specification.targetMilliseconds ?? Infinity);
}
