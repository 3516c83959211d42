/** Finds out what a step with waiting tasks waits for, and what excludes each worker of its service. */
import { fitsInto } from "@tanagerlink/model";
import type { ActiveStep } from "./activeSteps.ts";
import type { PlacementRequest, WorkerAccess } from "./placement.ts";
import { selectTasks, type TrialClaimCounts } from "./trials.ts";
import { WaitReason } from "./waitTimes.ts";
import { WorkerExclusion } from "./workerExclusion.ts";
import type { WorkerSession } from "./workerSession.ts";

export const DiagnosedReason = {
    ...WaitReason,
    /** All waiting tasks are suspected, and no further trial is permitted. */
    Trial: "trial",
    /** No round has checked the step since its tasks began to wait. */
    Unchecked: "unchecked",
} as const;
export type DiagnosedReason = (typeof DiagnosedReason)[keyof typeof DiagnosedReason];

export interface DiagnosisRequest extends WorkerAccess, Pick<PlacementRequest, "workers" | "evacuated" | "now"> {
    readonly entry: ActiveStep;
    readonly claims: TrialClaimCounts;
}

export interface WaitDiagnosis {
    readonly reason: DiagnosedReason;
    /** Number of waiting tasks, and of those that are suspected of crashing workers. */
    readonly waiting: number;
    readonly suspected: number;
    /** Number of workers of the service. */
    readonly workers: number;
    /** Number of workers on which one of the tasks could start. */
    readonly startable: number;
    /** Number of the other workers by the first cause that applies. */
    readonly excluded: Readonly<Partial<Record<WorkerExclusion, number>>>;
}

export function diagnoseWait(request: DiagnosisRequest): WaitDiagnosis {
    const { entry, workers, now } = request;
    const tasks = entry.step.waitingTasks();
    const suspected = tasks.filter(({ isSuspect }) => isSuspect).length;
    const excluded: Partial<Record<WorkerExclusion, number>> = {};
    let startable = 0;
    for (const worker of workers) {
        const exclusion = findExclusion(request, worker, suspected === tasks.length);
        if (exclusion === undefined) {
            startable++;
        }
        else {
            excluded[exclusion] = (excluded[exclusion] ?? 0) + 1;
        }
    }
    // The limit is checked before a trial is sought.
    const lacksTrial = entry.blockedBy !== undefined && entry.blockedBy !== WaitReason.Limit
        && selectTasks(tasks, workers, request.claims, now).length === 0;
    return {
        reason: lacksTrial ? DiagnosedReason.Trial : entry.blockedBy ?? DiagnosedReason.Unchecked,
        waiting: tasks.length,
        suspected,
        workers: workers.length,
        startable,
        excluded,
    };
}

/** The first cause that keeps tasks of the step from the worker; `undefined` if one could start there. */
function findExclusion(
    { entry, evacuated, isReserved, mayUseQuarantined, freeCapacityOf, now }: DiagnosisRequest,
    worker: WorkerSession,
    areAllSuspects: boolean,
): WorkerExclusion | undefined {
    const { step, taskSize, hints, isHinted } = entry;
    const { requiredLabel, maximumPerWorker = Infinity } = step.specification;
    const { failureDomain, labels } = worker.entry;
    const exclusion = worker.exclusion(now, mayUseQuarantined);
    if (exclusion !== undefined) {
        return exclusion;
    }
    const isBeingProbed = worker.exclusion(now) === WorkerExclusion.Quarantined
        && !step.specification.gang && worker.countTasksOf(step) > 0;
    if (isBeingProbed) {
        return WorkerExclusion.Quarantined;
    }
    if (evacuated.has(failureDomain)) {
        return WorkerExclusion.Evacuated;
    }
    if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
        return WorkerExclusion.MissingLabel;
    }
    if (isReserved(worker)) {
        return WorkerExclusion.Reserved;
    }
    if (!fitsInto(taskSize, worker.freeCapacity)) {
        return WorkerExclusion.NoRoom;
    }
    if (!fitsInto(taskSize, freeCapacityOf(worker))) {
        return WorkerExclusion.RoomHeld;
    }
    if (worker.countTasksOf(step) >= maximumPerWorker) {
        return WorkerExclusion.MaximumPerWorker;
    }
    if (isHinted && hints.ticket({ id: worker.id, boot: worker.currentBoot }, now) === undefined) {
        return hints.isForbidden(worker.id) ? WorkerExclusion.Forbidden : WorkerExclusion.NoTicket;
    }
    return areAllSuspects && worker.hasStartedRecently(now) ? WorkerExclusion.RecentStart : undefined;
}
