/** Versions of the rows of one shard's jobs, as last read or written. */

/** Version of a submission row; it is written once, together with the job. */
const SUBMISSION_VERSION = 1;

export interface KnownJob {
    readonly version: number;
    /** Key of the submission row, where the job has an idempotency key. */
    readonly submission: string | undefined;
    readonly submissionVersion: number;
}

/** @internal */
export class KnownJobs {
    private readonly jobs = new Map<string, KnownJob>();

    get(id: string): KnownJob | undefined {
        return this.jobs.get(id);
    }

    /** The row of the job was read or written. */
    set(id: string, version: number, submission: string | undefined): void {
        const submissionVersion = this.jobs.get(id)?.submissionVersion ?? SUBMISSION_VERSION;
        this.jobs.set(id, { version, submission, submissionVersion });
    }

    /** The submission row has another version than expected, or doesn't exist. */
    setSubmission(id: string, version: number | undefined): void {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            const submission = version === undefined ? undefined : job.submission;
            this.jobs.set(id, { ...job, submission, submissionVersion: version ?? SUBMISSION_VERSION });
        }
    }

    delete(id: string): void {
        this.jobs.delete(id);
    }
}
