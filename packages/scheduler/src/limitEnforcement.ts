/** Checkpoints running tasks of teams whose limit was lowered with `enforce: stop`, until the limit holds again. */
import { LimitEnforcement, Reason } from "@tanagerlink/model";
import { type LimitedTask, selectTasksOverLimit } from "@tanagerlink/policy";
import { isActive } from "./jobEntry.ts";
import type { TaskReference } from "./jobRegistry.ts";
import { recordJobDecision, type ShardContext } from "./shardContext.ts";
import type { TaskStopRequests } from "./taskStarter.ts";

/** Bounds the work of one round, so that a much lower limit does not delay the starts of other teams. */
const MAXIMUM_STOPS_PER_ROUND = 256;

interface StopCandidate extends LimitedTask {
    readonly reference: TaskReference;
}

/** Requests checkpoints of the tasks above the limits. Their units are released when the tasks end, as for any task. */
export function stopTasksOverLimit(context: ShardContext, stopRequests: TaskStopRequests): void {
    const { ledger, configuration, metrics } = context.dependencies;
    const snapshot = configuration();
    let remaining = MAXIMUM_STOPS_PER_ROUND;
    for (const { team, units, limitVersion } of ledger.limitExcesses(context.shard)) {
        const isEnforced = snapshot?.version === limitVersion
            && snapshot.teams[team]?.enforce === LimitEnforcement.Stop;
        const selected = isEnforced ? selectTasksOverLimit(stopCandidates(context, team), units, remaining) : [];
        remaining -= selected.length;
        for (const { reference: { entry, task } } of selected) {
            metrics.overLimitStops.increment();
            const details = { task: task.index, ...(task.worker === undefined ? {} : { worker: task.worker }) };
            recordJobDecision(context, entry, Reason.StoppedOverLimit, {
                ...details,
                detail: `${units} units above the limit`,
            });
            task.stopReason = Reason.StoppedOverLimit;
            stopRequests.checkpoint(entry, task);
        }
    }
}

function stopCandidates(context: ShardContext, team: string): StopCandidate[] {
    const candidates: StopCandidate[] = [];
    for (const reference of context.jobRegistry.occupyingTasks()) {
        const { entry: { record: { id, workClass, specification } }, task } = reference;
        if (specification.team === team && isActive(task)) {
            candidates.push({
                job: id,
                workClass,
                allAtOnce: specification.allAtOnce,
                idempotent: specification.idempotent,
                attempt: task.attempt,
                stopping: task.stopping !== undefined,
                reference,
            });
        }
    }
    return candidates;
}
