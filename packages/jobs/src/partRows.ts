/**
 * Rows of a service job that is split over several failure domains. The transaction that accepts the job writes the
 * record of the job itself, which runs no tasks, and for each part a record and an arrival row in the shard of the
 * part.
 */
import { type JobRecord, JobState } from "@tanagerlink/model";
import type { ConditionalWrite } from "@tanagerlink/platform";
import { arrivalPrefix, jobKey } from "./jobRow.ts";

/** Builds the writes that create the parts of a new job; empty for a job without parts. */
export function partWrites(record: JobRecord): ConditionalWrite[] {
    return partRecords(record).flatMap(part => [
        { key: jobKey(part.shard, part.id), expectedVersion: 0, value: { record: part } },
        { key: `${arrivalPrefix(part.shard)}${part.id}`, expectedVersion: 0, value: {} },
    ]);
}

/** The record as it is stored. The payload of a split job is stored with its parts only, which are sent to workers. */
export function storedRecord(record: JobRecord): JobRecord {
    return record.parts === undefined
        ? record
        : { ...record, specification: { ...record.specification, payload: "" } };
}

function partRecords(record: JobRecord): JobRecord[] {
    return (record.parts ?? []).map(({ id, shard, tasks }): JobRecord => ({
        id,
        specification: { ...record.specification, tasks },
        workClass: record.workClass,
        shard,
        // As for a moved job, epoch 0 makes every owner of the part's shard check for running tasks of the part first.
        acceptedEpoch: 0,
        state: JobState.Queued,
        submittedAt: record.submittedAt,
        succeededTasks: [],
        intents: [],
        decisions: record.decisions,
        partOf: record.id,
    }));
}
