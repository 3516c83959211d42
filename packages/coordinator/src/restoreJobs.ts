/** Restores the jobs of the cell, their attempts and the usage of their teams from the records, for a new owner. */
import { decodeJson, type RecordName, type StoredRecord } from "@tanagerlink/platform";
import type { Logger } from "@tanagerlink/telemetry";
import type { Timers } from "@tanagerlink/timers";
import {
    isEndedState,
    jobSpecificationSchema,
    JobState,
    progressRecordSchema,
    restoreProgress,
} from "@tanagerlink/workflow";
import type { CellJobs } from "./cellJobs.ts";
import type { Fleet } from "./fleet.ts";
import type { TeamUsage } from "./teamUsage.ts";

export interface RestoredState {
    readonly jobs: CellJobs;
    readonly usage: TeamUsage;
    readonly fleet: Fleet;
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
): RecordName[] {
    const acceptedVersions = new Map(accepted.map(({ key, version }) => [key, version]));
    const isCurrent = ({ key, version }: StoredRecord): boolean => version > (acceptedVersions.get(key) ?? Infinity);
    const progressByJob = new Map(progress.filter(isCurrent).map(record => [record.key, record]));
    for (const stored of accepted) {
        restoreJob(state, stored, progressByJob.get(stored.key));
    }
    return progress.filter(record => !isCurrent(record));
}

function restoreJob(
    { jobs, usage, fleet, timers, logger }: RestoredState,
    stored: StoredRecord,
    progress: StoredRecord | undefined,
): void {
    const record = progress === undefined ? undefined : decodeJson(progressRecordSchema, progress.value);
    if (record?.isErr() === true) {
        // Without its progress, starting the job could run its tasks twice.
        logger.error({ job: stored.key, reason: record.error }, "progress record of a job is invalid; the job fails");
        jobs.addEnded(stored.key, JobState.Failed, stored.version);
        return;
    }
    const restored = record?.isOk() === true ? record.value : undefined;
    if (restored !== undefined && isEndedState(restored.state) && restored.tasks.length === 0) {
        jobs.addEnded(stored.key, restored.state, stored.version);
        return;
    }
    const specification = decodeJson(jobSpecificationSchema, stored.value);
    if (specification.isErr()) {
        logger.error(
            { job: stored.key, reason: specification.error },
            "specification record of a job is invalid; the job is skipped",
        );
        return;
    }
    const job = jobs.add(specification.value, stored.version);
    if (job === undefined || restored === undefined) {
        return;
    }
    const liveAttempts = restoreProgress(job, restored, timers.now());
    if (!job.isOpen) {
        jobs.recordEnd(job);
    }
    for (const attempt of liveAttempts) {
        usage.add(job.specification.team, attempt.task.size);
        fleet.restoreAttempt(attempt);
    }
}
