/**
 * Distinguishes workers on which every job fails from jobs that fail on every worker. A worker is quarantined after
 * consecutive failures of different jobs and retried after a period that doubles with each consecutive quarantine. The
 * failures of a job that has failed on several workers no longer count against those workers, and the failures on a
 * quarantined worker no longer count against their jobs.
 */

const INITIAL_QUARANTINE_MILLISECONDS = 10_000;
const MAXIMUM_QUARANTINE_MILLISECONDS = 3_600_000;
/** Maximum number of jobs with recorded failures; the oldest is dropped. */
const MAXIMUM_RECORDED_JOBS = 10_000;
/** Maximum number of workers with recorded failures, including removed workers; the oldest is dropped. */
const MAXIMUM_RECORDED_WORKERS = 20_000;

interface WorkerRecord {
    readonly failedJobs: Set<string>;
    /** Quarantines without a success in between. */
    consecutiveQuarantines: number;
    quarantinedUntil: number;
}

/** Recorded failures of the workers and jobs of one shard. */
export class Quarantine {
    private readonly workers = new Map<string, WorkerRecord>();
    private readonly jobs = new Map<string, Set<string>>();
    private readonly quarantined = new Set<string>();
    private workerFailureLimit: number;
    private jobFailureLimit: number;

    constructor(workerFailureLimit: number, jobFailureLimit: number) {
        this.workerFailureLimit = workerFailureLimit;
        this.jobFailureLimit = jobFailureLimit;
    }

    setLimits(workerFailureLimit: number, jobFailureLimit: number): void {
        this.workerFailureLimit = workerFailureLimit;
        this.jobFailureLimit = jobFailureLimit;
    }

    /** Records a failure; returns whether this quarantined the worker. */
    recordFailure(worker: string, job: string, now: number): boolean {
        if (this.hasJobFailedEverywhere(job)) {
            return false;
        }
        const record = this.recordOf(worker);
        record.failedJobs.add(job);
        this.recordJobFailure(job, worker);
        // After a quarantine, one more failure without a success in between is enough.
        const limit = record.consecutiveQuarantines > 0 ? 1 : this.workerFailureLimit;
        if (record.failedJobs.size < limit || this.quarantined.has(worker)) {
            return false;
        }
        this.quarantine(worker, record, now);
        return true;
    }

    recordSuccess(worker: string): void {
        const record = this.workers.get(worker);
        if (record !== undefined && !this.quarantined.has(worker)) {
            this.workers.delete(worker);
        }
    }

    removeJob(job: string): void {
        this.jobs.delete(job);
    }

    hasJobFailedEverywhere(job: string): boolean {
        return (this.jobs.get(job)?.size ?? 0) >= this.jobFailureLimit;
    }

    quarantinedWorkers(): readonly string[] {
        return [...this.quarantined];
    }

    /** Ends quarantines whose period has passed and returns their workers. */
    releaseExpired(now: number): readonly string[] {
        const released: string[] = [];
        for (const worker of this.quarantined) {
            if (now >= (this.workers.get(worker)?.quarantinedUntil ?? 0)) {
                released.push(worker);
            }
        }
        released.forEach(worker => this.quarantined.delete(worker));
        return released;
    }

    isQuarantined(worker: string): boolean {
        return this.quarantined.has(worker);
    }

    private quarantine(worker: string, record: WorkerRecord, now: number): void {
        const period = Math.min(
            MAXIMUM_QUARANTINE_MILLISECONDS,
            INITIAL_QUARANTINE_MILLISECONDS * 2 ** record.consecutiveQuarantines,
        );
        record.consecutiveQuarantines++;
        record.quarantinedUntil = now + period;
        this.quarantined.add(worker);
        for (const job of record.failedJobs) {
            this.jobs.get(job)?.delete(worker);
        }
        record.failedJobs.clear();
    }

    private recordJobFailure(job: string, worker: string): void {
        const workers = this.jobs.get(job) ?? new Set();
        workers.add(worker);
        this.jobs.set(job, workers);
        if (workers.size >= this.jobFailureLimit) {
            workers.forEach(name => this.workers.get(name)?.failedJobs.delete(job));
        }
        if (this.jobs.size > MAXIMUM_RECORDED_JOBS) {
            this.jobs.delete(this.jobs.keys().next().value!);
        }
    }

    private recordOf(worker: string): WorkerRecord {
        const record = this.workers.get(worker)
            ?? { failedJobs: new Set(), consecutiveQuarantines: 0, quarantinedUntil: 0 };
        this.workers.set(worker, record);
        if (this.workers.size > MAXIMUM_RECORDED_WORKERS) {
            const oldest = this.workers.keys().next().value!;
            this.workers.delete(oldest);
            this.quarantined.delete(oldest);
        }
        return record;
    }
}
