/** Restores the jobs of the cell, their attempts and the usage of their teams from the records, for a new owner. */
import { decodeJson, type RecordName, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import { isEndedState, jobSpecificationSchema, JobState, restoreProgress } from "@tanagerlink/workflow";
import type { CellJobs } from "./cellJobs.ts";
import type { Fleet } from "./fleet.ts";
import type { Journal } from "./journal.ts";
import { decodeProgress, jobOfSegment } from "./progressRows.ts";
import type { TeamUsage } from "./teamUsage.ts";

export interface RestoredState {
    readonly jobs: CellJobs;
    readonly usage: TeamUsage;
    readonly fleet: Fleet;
    readonly journal: Journal;
    readonly timers: Timers;
    readonly logger: Logger;
}

/**
 * Restores all accepted jobs. Jobs with an invalid record are logged: without its progress, a job fails. Returns the
 * progress records that belong to none of the jobs: their job records have been removed, also where a later job with the
 * same identifier has been accepted since.
 */
export function restoreJobs(
    state: RestoredState,
    accepted: readonly StoredRecord[],
    progress: readonly StoredRecord[],
    segments: readonly StoredRecord[],
): RecordName[] {
    const acceptedVersions = new Map(accepted.map(({ key, version }) => [key, version]));
    const isCurrent = (job: string, version: number): boolean => version > (acceptedVersions.get(job) ?? Infinity);
    const progressByJob = new Map<string, StoredProgress>();
    const obsolete: RecordName[] = [];
    for (const head of progress) {
        if (isCurrent(head.key, head.version)) {
            progressByJob.set(head.key, { head, segments: [] });
        }
        else {
            obsolete.push(head);
        }
    }
    for (const segment of segments) {
        const job = jobOfSegment(segment.key);
        const stored = isCurrent(job, segment.version) ? progressByJob.get(job) : undefined;
        (stored?.segments ?? obsolete).push(segment);
    }
    for (const stored of accepted) {
        obsolete.push(...restoreJob(state, stored, progressByJob.get(stored.key)));
    }
    return obsolete;
}

interface StoredProgress {
    readonly head: StoredRecord;
    readonly segments: StoredRecord[];
}

/** Restores a job. Returns the records of its progress that are not needed any more. */
function restoreJob(
    { jobs, usage, fleet, timers, logger, journal }: RestoredState,
    stored: StoredRecord,
    progress: StoredProgress | undefined,
): readonly RecordName[] {
    const segments = progress?.segments ?? [];
    const record = progress === undefined ? undefined : decodeProgress(progress.head, segments);
    if (record?.isErr() === true) {
        // Without its progress, starting the job could run its tasks twice.
        logger.error({ job: stored.key, reason: record.error }, "progress record of a job is invalid; the job fails");
        jobs.addEnded(stored.key, JobState.Failed, stored.version);
        return segments;
    }
    const restored = record?.isOk() === true ? record.value : undefined;
    if (restored !== undefined && isEndedState(restored.state) && restored.tasks.length === 0) {
        jobs.addEnded(stored.key, restored.state, stored.version);
        return segments;
    }
    const specification = decodeJson(jobSpecificationSchema, stored.value);
    if (specification.isErr()) {
        logger.error(
            { job: stored.key, reason: specification.error },
            "specification record of a job is invalid; the job is skipped",
        );
        return [];
    }
    const job = jobs.add(specification.value, stored.version);
    if (job === undefined || restored === undefined) {
        return [];
    }
    journal.recordRestored(job, segments.map(({ key }) => key));
    const liveAttempts = restoreProgress(job, restored, timers.now());
    if (!job.isOpen) {
        jobs.recordEnd(job);
    }
    for (const attempt of liveAttempts) {
        usage.add(job.specification.team, attempt.task.size);
        fleet.restoreAttempt(attempt);
    }
    return [];
}
