/**
 * The rows that hold the progress of jobs. The progress of most jobs fits into one row, which is written as a whole. A
 * larger one is divided into a head and segments, of which only those that have changed are written. The segments precede
 * the head, which may replace an undivided record, and the removal of segments follows it, since it says which
 * occurrences are done. The rows of an interrupted write never show a task that has begun as one that has not.
 */
import {
    decodeJson,
    DEFAULT_ROW_BYTES,
    type RecordName,
    type RecordWrite,
    type StoredRecord,
} from "@tanagerlink/platform";
import {
    type JobRun,
    joinProgress,
    progressHeadOf,
    progressOf,
    type ProgressRecord,
    progressRecordSchema,
    type ProgressSegment,
    progressSegmentSchema,
    progressSegmentsOf,
    withoutCheckpoints,
} from "@tanagerlink/workflow";
import { Result } from "neverthrow";
import { encodeJson, OWNER_PARTITION } from "./ownerRecord.ts";

export const PROGRESS_TABLE = "progress";
export const PROGRESS_SEGMENTS_TABLE = "progress_segments";

/** A record that takes more of a row than this is divided. */
const MAXIMUM_UNDIVIDED_SHARE = 0.7;
/** Separates the identifier of a job from the name of the segment. */
const KEY_SEPARATOR = "/";

/** Content of a segment's row in the store; `undefined` if a write of it had an unknown outcome or it was not read. */
type StoredText = string | undefined;

export interface ProgressChanges {
    readonly writes: readonly RecordWrite[];
    readonly removals: readonly RecordName[];
}

export class ProgressRows {
    /** Rows of the segments of jobs whose progress is divided, by key. */
    private readonly dividedJobs = new WeakMap<JobRun, Map<string, StoredText>>();
    private readonly rowBytes: number;

    constructor(rowBytes = DEFAULT_ROW_BYTES) {
        this.rowBytes = rowBytes;
    }

    /** The rows to write and to remove so that the store holds the present progress of a job. */
    changesOf(job: JobRun): ProgressChanges {
        const stored = this.dividedJobs.get(job);
        if (stored === undefined) {
            const value = encodeJson(progressOf(job));
            if (value.byteLength <= this.rowBytes * MAXIMUM_UNDIVIDED_SHARE) {
                return { writes: [{ ...progressName(job.id), value }], removals: [] };
            }
        }
        const known = stored ?? new Map<string, StoredText>();
        this.dividedJobs.set(job, known);
        const segments = new Map(
            [...progressSegmentsOf(job)].map((
                [name, segment],
            ) => [segmentKey(job.id, name), encodeSegment(segment, this.rowBytes)]),
        );
        const changed = [...segments].filter(([key, text]) => known.get(key) !== text);
        const obsolete = [...known.keys()].filter(key => !segments.has(key));
        return {
            writes: [
                ...changed.map(([key, text]) => ({ ...segmentName(key), value: Buffer.from(text) })),
                { ...progressName(job.id), value: encodeJson(progressHeadOf(job)) },
            ],
            removals: obsolete.map(segmentName),
        };
    }

    /** Records that the job's rows with these changes may or may not be in the store. */
    recordUnconfirmed(job: JobRun, { writes }: ProgressChanges): void {
        this.recordWrites(job, writes, () => undefined);
    }

    /** Records that the store holds these changes of the job. */
    recordStored(job: JobRun, { writes, removals }: ProgressChanges): void {
        this.recordWrites(job, writes, ({ value }) => Buffer.from(value).toString());
        removals.forEach(({ key }) => this.dividedJobs.get(job)?.delete(key));
    }

    /** Records the segments of a job that a previous owner has written. */
    recordRestored(job: JobRun, keys: readonly string[]): void {
        if (keys.length > 0) {
            this.dividedJobs.set(job, new Map(keys.map(key => [key, undefined])));
        }
    }

    /** Forgets which segments of a job are stored. */
    forget(job: JobRun): void {
        const stored = this.dividedJobs.get(job);
        [...stored?.keys() ?? []].forEach(key => stored?.set(key, undefined));
    }

    private recordWrites(
        job: JobRun,
        writes: readonly RecordWrite[],
        textOf: (write: RecordWrite) => StoredText,
    ): void {
        const stored = this.dividedJobs.get(job);
        for (const write of writes) {
            if (write.table === PROGRESS_SEGMENTS_TABLE) {
                stored?.set(write.key, textOf(write));
            }
        }
    }
}

export function progressName(job: string): RecordName {
    return { table: PROGRESS_TABLE, partition: OWNER_PARTITION, key: job };
}

/** The job to which a row of a segment belongs. */
export function jobOfSegment(key: string): string {
    return key.slice(0, key.lastIndexOf(KEY_SEPARATOR));
}

/** Reads the progress of a job from its rows. */
export function decodeProgress(
    head: StoredRecord,
    segments: readonly StoredRecord[],
): Result<ProgressRecord, string> {
    const decoded = Result.combine(segments.map(({ value }) => decodeJson(progressSegmentSchema, value)));
    return decodeJson(progressRecordSchema, head.value).andThen(record =>
        decoded.map(parts => joinProgress(record, parts))
    );
}

function segmentKey(job: string, segment: string): string {
    return `${job}${KEY_SEPARATOR}${segment}`;
}

function segmentName(key: string): RecordName {
    return { table: PROGRESS_SEGMENTS_TABLE, partition: OWNER_PARTITION, key };
}

/** Checkpoints are left out where they would not fit into a row. */
function encodeSegment(segment: ProgressSegment, rowBytes: number): string {
    const text = JSON.stringify(segment);
    if (Buffer.byteLength(text) <= rowBytes) {
        return text;
    }
    return JSON.stringify(withoutCheckpoints(segment));
}
