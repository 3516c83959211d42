/**
 * Keeps tasks that fill unused processor time from disturbing tasks that serve users on the same worker: their pace is
 * lowered as soon as a response time nears its bound and raised in small steps while there is room.
 */
import type { Timers } from "@tanagerlink/timers";
import { type Attempt, AttemptStatus } from "@tanagerlink/workflow";
import type { WorkerSession } from "./workerSession.ts";

/** Parts of the bound at which the pace is lowered, and below which it is raised. */
const LOWER_ABOVE = 0.8;
const RAISE_BELOW = 0.55;
/** Pace in percent of tasks that fill beside serving tasks before anything is known. */
const FIRST_PACE = 50;
const RAISE_STEP = 10;
/** Below this pace a task is halted, since its memory traffic still disturbs. */
const LOWEST_PACE = 10;
/** Time for which a changed pace acts before it is judged. */
const SETTLE_MILLISECONDS = 700;

interface PaceState {
    percent: number;
    changedAt: number;
}

export class FillPacing {
    private readonly timers: Timers;
    private readonly states = new WeakMap<WorkerSession, PaceState>();

    constructor(timers: Timers) {
        this.timers = timers;
    }

    /** Judges the latest report of a worker. */
    adjust(worker: WorkerSession): void {
        const running = [...worker.liveAttempts].filter(({ status }) => status === AttemptStatus.Running);
        const fills = running.filter(({ task }) => task.step.specification.fills);
        if (fills.length === 0) {
            return;
        }
        const percent = this.paceFor(worker, running.filter(isServing));
        for (const attempt of fills) {
            if (attempt.pace !== percent) {
                void worker.setPace(attempt, percent);
            }
        }
    }

    private paceFor(worker: WorkerSession, serving: readonly Attempt[]): number {
        if (serving.length === 0) {
            this.states.delete(worker);
            return 100;
        }
        const now = this.timers.now();
        const state = this.states.get(worker) ?? { percent: FIRST_PACE, changedAt: -Infinity };
        this.states.set(worker, state);
        const strain = Math.max(...serving.map(strainOf));
        if (now - state.changedAt < SETTLE_MILLISECONDS) {
            return state.percent;
        }
        const next = nextPace(state.percent, strain);
        if (next !== state.percent) {
            state.percent = next;
            state.changedAt = now;
        }
        return state.percent;
    }
}

function nextPace(percent: number, strain: number): number {
    if (strain > LOWER_ABOVE) {
        const lowered = strain > 1 ? 0 : Math.floor(percent / 2);
        return lowered < LOWEST_PACE ? 0 : lowered;
    }
    return strain < RAISE_BELOW ? Math.min(100, percent + RAISE_STEP) : percent;
}

function isServing({ task }: Attempt): boolean {
    return task.step.specification.targetMilliseconds !== undefined;
}

/** Tail of the response times as a part of its bound. */
function strainOf({ task, load }: Attempt): number {
    return load / Math.max(1, task.step.specification.targetMilliseconds ?? Infinity);
}
