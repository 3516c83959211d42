/**
 * Rows of a service job over several failure domains. They are written in the transaction that accepts the job: the record
 * of the whole, which runs nothing, and for each part a record and an arrival row in the shard of the part.
 */
import { type JobRecord, JobState } from "@tanagerlink/model";
import type { ConditionalWrite } from "@tanagerlink/platform";
import { arrivalPrefix, jobKey } from "./jobRow.ts";

/** Writes that create the parts of a new job; none for a job without parts. */
export function partWrites(record: JobRecord): ConditionalWrite[] {
    return partRecords(record).flatMap(part => [
        { key: jobKey(part.shard, part.id), expectedVersion: 0, value: { record: part } },
        { key: `${arrivalPrefix(part.shard)}${part.id}`, expectedVersion: 0, value: {} },
    ]);
}

/** The record as its row holds it: the payload of a split job is kept by the parts only, which are sent to workers. */
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
        // Epoch 0, as of a moved job: a later owner of the part's shard looks for running tasks of the part first.
        acceptedEpoch: 0,
        state: JobState.Queued,
        submittedAt: record.submittedAt,
        succeededTasks: [],
        intents: [],
        decisions: record.decisions,
        partOf: record.id,
    }));
}
