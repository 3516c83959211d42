/**
 * Tells workers that fail everything from jobs that fail everywhere. A worker is quarantined after consecutive failures
 * of different jobs and retried after a period that doubles with each quarantine in a row. A job that fails on several
 * workers is to blame itself; its failures are then taken off the workers' accounts, and the reverse.
 */

/** Length of the first quarantine. */
const FIRST_QUARANTINE_MS = 10_000;
/** Longest quarantine. */
const LONGEST_QUARANTINE_MS = 3_600_000;
/** Jobs whose failures are remembered; the oldest is dropped. */
const MAXIMUM_JOBS = 10_000;
/** Workers with failures that are remembered, also while they are away; the oldest is dropped. */
const MAXIMUM_WORKERS = 20_000;

interface WorkerRecord {
    readonly failedJobs: Set<string>;
    /** Quarantines in a row without a success in between. */
    quarantines: number;
    quarantinedUntil: number;
}

/** Failure accounts of workers and jobs of one shard. */
export class Quarantine {
    private readonly workers = new Map<string, WorkerRecord>();
    private readonly jobs = new Map<string, Set<string>>();
    private readonly quarantined = new Set<string>();
    private workerLimit: number;
    private jobLimit: number;

    constructor(workerLimit: number, jobLimit: number) {
        this.workerLimit = workerLimit;
        this.jobLimit = jobLimit;
    }

    setLimits(workerLimit: number, jobLimit: number): void {
        this.workerLimit = workerLimit;
        this.jobLimit = jobLimit;
    }

    /** Records a failure; answers whether the worker has just been quarantined. */
    failed(worker: string, job: string, now: number): boolean {
        if (this.jobFailsEverywhere(job)) {
            return false;
        }
        const record = this.recordOf(worker);
        record.failedJobs.add(job);
        this.countForJob(job, worker);
        // A worker on probation after a quarantine gets one try only.
        const limit = record.quarantines > 0 ? 1 : this.workerLimit;
        if (record.failedJobs.size < limit || this.quarantined.has(worker)) {
            return false;
        }
        this.quarantine(worker, record, now);
        return true;
    }

    succeeded(worker: string): void {
        const record = this.workers.get(worker);
        if (record !== undefined && !this.quarantined.has(worker)) {
            this.workers.delete(worker);
        }
    }

    forgetJob(job: string): void {
        this.jobs.delete(job);
    }

    jobFailsEverywhere(job: string): boolean {
        return (this.jobs.get(job)?.size ?? 0) >= this.jobLimit;
    }

    /** Workers in quarantine. */
    current(): readonly string[] {
        return [...this.quarantined];
    }

    /** Ends quarantines whose period has passed and answers their workers. */
    release(now: number): readonly string[] {
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
        const period = Math.min(LONGEST_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** record.quarantines);
        record.quarantines++;
        record.quarantinedUntil = now + period;
        this.quarantined.add(worker);
        for (const job of record.failedJobs) {
            this.jobs.get(job)?.delete(worker);
        }
        record.failedJobs.clear();
    }

    private countForJob(job: string, worker: string): void {
        const workers = this.jobs.get(job) ?? new Set();
        workers.add(worker);
        this.jobs.set(job, workers);
        if (workers.size >= this.jobLimit) {
            workers.forEach(name => this.workers.get(name)?.failedJobs.delete(job));
        }
        if (this.jobs.size > MAXIMUM_JOBS) {
            this.jobs.delete(this.jobs.keys().next().value!);
        }
    }

    private recordOf(worker: string): WorkerRecord {
        const record = this.workers.get(worker) ?? { failedJobs: new Set(), quarantines: 0, quarantinedUntil: 0 };
        this.workers.set(worker, record);
        if (this.workers.size > MAXIMUM_WORKERS) {
            const oldest = this.workers.keys().next().value!;
            this.workers.delete(oldest);
            this.quarantined.delete(oldest);
        }
        return record;
    }
}
