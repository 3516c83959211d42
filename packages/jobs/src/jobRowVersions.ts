/** Versions of the table rows of one shard's jobs, as last read or written; writes are conditional on them. */

/** Version of every submission row, since it is written only once, together with the job. */
const SUBMISSION_VERSION = 1;

export interface JobRowVersion {
    readonly version: number;
    /** Key of the submission row, if the job has an idempotency key. */
    readonly submissionKey: string | undefined;
    readonly submissionVersion: number;
}

/** @internal */
export class JobRowVersions {
    private readonly jobs = new Map<string, JobRowVersion>();

    get(id: string): JobRowVersion | undefined {
        return this.jobs.get(id);
    }

    /** Records the version of a job row that was read or written. */
    set(id: string, version: number, submissionKey: string | undefined): void {
        const submissionVersion = this.jobs.get(id)?.submissionVersion ?? SUBMISSION_VERSION;
        this.jobs.set(id, { version, submissionKey, submissionVersion });
    }

    /** Corrects the version of a submission row after a conflict; `undefined` if the job has no such row any more. */
    setSubmissionVersion(id: string, version: number | undefined): void {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            const submissionKey = version === undefined ? undefined : job.submissionKey;
            this.jobs.set(id, { ...job, submissionKey, submissionVersion: version ?? SUBMISSION_VERSION });
        }
    }

    delete(id: string): void {
        this.jobs.delete(id);
    }
}
