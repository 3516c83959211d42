/**
 * Makes room for urgent tasks by stopping less urgent ones. Only tasks that continue from a checkpoint, which a stop
 * saves, are chosen, so that little work is lost.
 */
import type { StepHints } from "@tanagerlink/hints";
import { addResources, fitsInto, type Resources, subtractResources } from "@tanagerlink/model";
import { type Attempt, AttemptStatus, type StepRun } from "@tanagerlink/workflow";
import type { CellPolicy } from "./cellPolicy.ts";
import { isEligible } from "./placement.ts";
import { ruleOf } from "./queueRule.ts";
import { occupied, type WorkerSession } from "./workerSession.ts";

/** A task that has only just begun would be stopped again and again. */
const SHORTEST_RUN_MILLISECONDS = 1_000;
/** Tasks stopped for one step in one round. */
const MOST_VICTIMS = 12;

export interface PreemptionRequest {
    readonly step: StepRun;
    /** Tasks that need room. */
    readonly tasks: number;
    readonly workers: readonly WorkerSession[];
    readonly policy: CellPolicy;
    readonly hints: StepHints | undefined;
    readonly now: number;
}

/** An attempt to be stopped, and its worker. */
export interface Victim {
    readonly attempt: Attempt;
    readonly worker: WorkerSession;
}

interface Site {
    readonly worker: WorkerSession;
    /** Room once everything that is being stopped has ended. */
    room: Resources;
    /** Attempts that may be stopped, least urgent first. */
    readonly candidates: Attempt[];
}

/** Attempts whose stop makes room for as many of the tasks as possible. Room that is about to become free counts. */
export function chooseVictims(request: PreemptionRequest): Victim[] {
    const { step, tasks, workers, policy, hints, now } = request;
    const sites = workers
        .filter(worker => isEligible(step, worker, policy.evacuated, now) && hints?.isRefused(worker.id) !== true)
        .map(worker => siteOf(worker, request));
    const need = occupied(step);
    const victims: Victim[] = [];
    for (let task = 0; task < tasks; task++) {
        const vacant = sites.find(({ room }) => fitsInto(need, room));
        const site = vacant ?? sites.find(candidate => canMakeRoom(candidate, need));
        if (site === undefined) {
            break;
        }
        while (!fitsInto(need, site.room)) {
            const attempt = site.candidates.shift();
            if (attempt === undefined || victims.length >= MOST_VICTIMS) {
                return victims;
            }
            site.room = addResources(site.room, occupied(attempt.task.step));
            victims.push({ attempt, worker: site.worker });
        }
        site.room = subtractResources(site.room, need);
    }
    return victims;
}

function siteOf(worker: WorkerSession, { step, policy, now }: PreemptionRequest): Site {
    const { priority } = ruleOf(step.job, policy);
    const attempts = [...worker.liveAttempts];
    const stopping = attempts.filter(({ status }) => status === AttemptStatus.Stopping);
    const candidates = attempts.filter(({ status, startedAt, task }) => {
        const { checkpoints, gang, lasting } = task.step.specification;
        return status === AttemptStatus.Running && now - startedAt > SHORTEST_RUN_MILLISECONDS
            && checkpoints && !gang && !lasting && ruleOf(task.step.job, policy).priority > priority;
    });
    candidates.sort((left, right) =>
        ruleOf(right.task.step.job, policy).priority - ruleOf(left.task.step.job, policy).priority
        || left.percent - right.percent
    );
    const room = stopping.reduce((sum, { task }) => addResources(sum, occupied(task.step)), worker.room);
    return { worker, room, candidates };
}

function canMakeRoom({ room, candidates }: Site, need: Resources): boolean {
    const all = candidates.reduce((sum, { task }) => addResources(sum, occupied(task.step)), room);
    return fitsInto(need, all);
}
