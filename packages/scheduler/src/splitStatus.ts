/** Status of a split job, derived from those of its parts. */
import { type Decision, isFinished, JobState, Reason, TaskState } from "@tanagerlink/model";
import type { JobStatus, PartStatus } from "./submission.ts";

/** Decisions of parts that one explanation lists; every part has the same share of them. */
const EXPLAINED_DECISIONS = 200;

/** States of an ended split job, the one that a caller has to know first. */
const ENDS: readonly JobState[] = [
    JobState.OutcomeUnknown,
    JobState.Failed,
    JobState.NeverRunnable,
    JobState.Cancelled,
    JobState.Succeeded,
];

/** State of a job with parts in these states, unless it was cancelled as a whole. It ends when the last part ends. */
export function stateOfParts(states: readonly JobState[]): JobState {
    if (states.every(isFinished)) {
        return ENDS.find(state => states.includes(state)) ?? JobState.Succeeded;
    }
    return states.includes(JobState.Running) ? JobState.Running : JobState.Queued;
}

/** Status of one part as its owner, or else the table, gave it. */
export interface KnownPart {
    readonly status: JobStatus;
    readonly unreachable: boolean;
}

/** Takes the state of the parts into the status of their job. `known` has the order of the parts. */
export function withParts(job: JobStatus, known: readonly (KnownPart | undefined)[]): JobStatus {
    const parts = (job.parts ?? []).map((part, index): PartStatus => {
        const found = known[index];
        if (found === undefined) {
            return { ...part, unreachable: true };
        }
        const { shard, state, tasks } = found.status;
        return { id: part.id, shard, state, tasks, ...(found.unreachable ? { unreachable: true } : {}) };
    });
    return {
        ...job,
        ...endOfParts(known),
        state: isFinished(job.state) ? job.state : stateOfParts(parts.map(({ state }) => state)),
        tasks: sumOfTasks(parts),
        parts,
        decisions: [...job.decisions, ...decisionsOfParts(job, known)].sort((left, right) => left.at - right.at),
    };
}

/** Time of the last end, once all parts have ended; the owner of the job records it later. */
function endOfParts(known: readonly (KnownPart | undefined)[]): Pick<JobStatus, "finishedAt"> {
    const ends = known.flatMap(part => part?.status.finishedAt ?? []);
    return ends.length === known.length && ends.length > 0 ? { finishedAt: Math.max(...ends) } : {};
}

function sumOfTasks(parts: readonly PartStatus[]): JobStatus["tasks"] {
    const counted = Object.values(TaskState).map(state =>
        [state, parts.reduce((sum, { tasks }) => sum + (tasks[state] ?? 0), 0)] as const
    );
    return Object.fromEntries(counted.filter(([, count]) => count > 0));
}

/** The latest decisions of each part, with the indices of tasks counted over the whole job. */
function decisionsOfParts(job: JobStatus, known: readonly (KnownPart | undefined)[]): Decision[] {
    const share = Math.floor(EXPLAINED_DECISIONS / Math.max(1, known.length));
    let firstTask = 0;
    return (job.parts ?? []).flatMap(({ tasks }, index) => {
        const first = firstTask;
        firstTask += Object.values(tasks).reduce((sum, count) => sum + count, 0);
        const own = (known[index]?.status.decisions ?? []).filter(({ reason }) => reason !== Reason.Accepted);
        return own.slice(-share).map(decision =>
            decision.task === undefined ? decision : { ...decision, task: first + decision.task }
        );
    });
}
