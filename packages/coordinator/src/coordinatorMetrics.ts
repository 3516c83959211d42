/** Metrics of the process that owns the cell. */
import type { Counter, Histogram, Metrics } from "@tanagerlink/telemetry";
import { type Attempt, EndKind } from "@tanagerlink/workflow";
import { PlacementGauges } from "./placementGauges.ts";
import type { WorkerSession } from "./workerSession.ts";

const MILLISECONDS_PER_SECOND = 1_000;

export class CoordinatorMetrics {
    readonly placement: PlacementGauges;
    private readonly firstStartDelays: Histogram;
    private readonly attemptEndStorageDurations: Histogram;
    private readonly endedAttempts: Counter;
    private readonly endedJobs: Counter;
    private readonly workerCrashes: Counter;
    private readonly givenUpTasks: Counter;
    private readonly refusedProgress: Counter;
    private readonly lostAttemptWaits: Histogram;

    constructor(metrics: Metrics) {
        this.placement = new PlacementGauges(metrics);
        this.firstStartDelays = metrics.histogram({
            name: "tanagerlink_job_first_start_seconds",
            help: "Time from when the owner learned of a job to the placement of its first task.",
            labels: ["queue"],
        });
        this.attemptEndStorageDurations = metrics.histogram({
            name: "tanagerlink_ends_stored_seconds",
            help: "Time from a report with ends to their record in the store.",
        });
        this.endedAttempts = metrics.counter({
            name: "tanagerlink_attempts_ended_total",
            help: "Ended attempts by the kind of their end.",
            labels: ["end"],
        });
        this.endedJobs = metrics.counter({
            name: "tanagerlink_jobs_ended_total",
            help: "Ended jobs by state.",
            labels: ["state"],
        });
        this.workerCrashes = metrics.counter({
            name: "tanagerlink_worker_crashes_total",
            help: "Unplanned restarts of workers that ran attempts.",
        });
        this.givenUpTasks = metrics.counter({
            name: "tanagerlink_tasks_given_up_total",
            help: "Tasks that were given up because they crash the workers that start them.",
        });
        this.refusedProgress = metrics.counter({
            name: "tanagerlink_refused_progress_total",
            help: "Jobs that failed because the store refuses their progress.",
        });
        this.lostAttemptWaits = metrics.histogram({
            name: "tanagerlink_lost_attempt_wait_seconds",
            help: "Time from the loss of a worker, or a later takeover of the cell, to the end of an attempt on it.",
        });
    }

    recordFirstStart(queue: string, milliseconds: number): void {
        this.firstStartDelays.observe(milliseconds / MILLISECONDS_PER_SECOND, { queue });
    }

    recordAttemptEndsStored(milliseconds: number): void {
        this.attemptEndStorageDurations.observe(milliseconds / MILLISECONDS_PER_SECOND);
    }

    recordAttemptEnded(end: string): void {
        this.endedAttempts.increment({ end });
    }

    /** Records how long an attempt blocked its task after its worker was lost. `claimedAt` is the time of the takeover. */
    recordLostAttempt(
        { startSentAt }: Attempt,
        end: EndKind,
        session: WorkerSession | undefined,
        claimedAt: number,
        now: number,
    ): void {
        const hasLostWorker = end === EndKind.LeaseExpired || end === EndKind.Lost;
        if (hasLostWorker && session?.responds === false && startSentAt !== undefined) {
            this.lostAttemptWaits.observe((now - (session.lostAt ?? claimedAt)) / MILLISECONDS_PER_SECOND);
        }
    }

    recordJobEnded(state: string): void {
        this.endedJobs.increment({ state });
    }

    recordWorkerCrash(): void {
        this.workerCrashes.increment();
    }

    recordTaskGivenUp(): void {
        this.givenUpTasks.increment();
    }

    recordRefusedProgress(): void {
        this.refusedProgress.increment();
    }
}
