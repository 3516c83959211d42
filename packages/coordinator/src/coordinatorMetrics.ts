/** What the owner of the cell measures. */
import type { Counter, Histogram, Metrics } from "@tanagerlink/telemetry";

const MILLISECONDS_PER_SECOND = 1_000;

export class CoordinatorMetrics {
    private readonly firstStarts: Histogram;
    private readonly flushes: Histogram;
    private readonly ends: Counter;
    private readonly jobs: Counter;

    constructor(metrics: Metrics) {
        this.firstStarts = metrics.histogram({
            name: "tanagerlink_job_first_start_seconds",
            help: "Time from when the owner learned of a job to the placement of its first task.",
            labels: ["queue"],
        });
        this.flushes = metrics.histogram({
            name: "tanagerlink_ends_stored_seconds",
            help: "Time from a report with ends to their record in the store.",
        });
        this.ends = metrics.counter({
            name: "tanagerlink_attempts_ended_total",
            help: "Ended attempts by the kind of their end.",
            labels: ["end"],
        });
        this.jobs = metrics.counter({
            name: "tanagerlink_jobs_ended_total",
            help: "Ended jobs by state.",
            labels: ["state"],
        });
    }

    firstStart(queue: string, milliseconds: number): void {
        this.firstStarts.observe(milliseconds / MILLISECONDS_PER_SECOND, { queue });
    }

    endsStored(milliseconds: number): void {
        this.flushes.observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    attemptEnded(end: string): void {
        this.ends.increment({ end });
    }

    jobEnded(state: string): void {
        this.jobs.increment({ state });
    }
}
