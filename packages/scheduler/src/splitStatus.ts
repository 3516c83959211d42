/** Derives the status of a split job from the statuses of its parts. */
import { type Decision, isFinished, JobState, Reason, TaskState } from "@tanagerlink/model";
import type { JobStatus, PartStatus } from "./submission.ts";

/** Upper bound of the part decisions in the status of a job; each part has an equal share. */
const MAXIMUM_PART_DECISIONS = 200;

/** Final states of a split job. If its parts ended in different states, the first of these applies. */
const FINAL_STATES_BY_PRECEDENCE: readonly JobState[] = [
    JobState.OutcomeUnknown,
    JobState.Failed,
    JobState.NeverRunnable,
    JobState.Cancelled,
    JobState.Succeeded,
];

/** State of a job with parts in these states, unless it was cancelled as a whole. It ends when its last part ends. */
export function stateFromParts(states: readonly JobState[]): JobState {
    if (states.every(isFinished)) {
        return FINAL_STATES_BY_PRECEDENCE.find(state => states.includes(state)) ?? JobState.Succeeded;
    }
    return states.includes(JobState.Running) ? JobState.Running : JobState.Queued;
}

/** Status of a job or a part from its owner, or from the table if the owner is unreachable. */
export interface StatusLookup {
    readonly status: JobStatus;
    readonly unreachable: boolean;
}

/** Merges the statuses of the parts into that of their job. `lookups` is in the order of the parts. */
export function mergePartStatuses(job: JobStatus, lookups: readonly (StatusLookup | undefined)[]): JobStatus {
    const parts = (job.parts ?? []).map((part, index): PartStatus => {
        const lookup = lookups[index];
        if (lookup === undefined) {
            return { ...part, unreachable: true };
        }
        const { shard, state, tasks } = lookup.status;
        return { id: part.id, shard, state, tasks, ...(lookup.unreachable ? { unreachable: true } : {}) };
    });
    return {
        ...job,
        ...finishTimeFromParts(lookups),
        state: isFinished(job.state) ? job.state : stateFromParts(parts.map(({ state }) => state)),
        tasks: sumTaskCounts(parts),
        parts,
        decisions: [...job.decisions, ...decisionsFromParts(job, lookups)].sort((left, right) => left.at - right.at),
    };
}

/** Finish time of the part that ended last, once all have ended; the owner of the job records it later. */
function finishTimeFromParts(lookups: readonly (StatusLookup | undefined)[]): Pick<JobStatus, "finishedAt"> {
    const finishTimes = lookups.flatMap(part => part?.status.finishedAt ?? []);
    return finishTimes.length === lookups.length && finishTimes.length > 0
        ? { finishedAt: Math.max(...finishTimes) }
        : {};
}

function sumTaskCounts(parts: readonly PartStatus[]): JobStatus["tasks"] {
    const counts = Object.values(TaskState).map(state =>
        [state, parts.reduce((sum, { tasks }) => sum + (tasks[state] ?? 0), 0)] as const
    );
    return Object.fromEntries(counts.filter(([, count]) => count > 0));
}

/** The latest decisions of each part, with task indices converted to those of the whole job. */
function decisionsFromParts(job: JobStatus, lookups: readonly (StatusLookup | undefined)[]): Decision[] {
    const decisionsPerPart = Math.floor(MAXIMUM_PART_DECISIONS / Math.max(1, lookups.length));
    let nextTask = 0;
    return (job.parts ?? []).flatMap(({ tasks }, index) => {
        const firstTask = nextTask;
        nextTask += Object.values(tasks).reduce((sum, count) => sum + count, 0);
        const ownDecisions = (lookups[index]?.status.decisions ?? []).filter(({ reason }) =>
            reason !== Reason.Accepted
        );
        return ownDecisions.slice(-decisionsPerPart).map(decision =>
            decision.task === undefined ? decision : { ...decision, task: firstTask + decision.task }
        );
    });
}
