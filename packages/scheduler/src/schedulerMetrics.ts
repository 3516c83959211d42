/** Metrics of the scheduler. Label values come from closed lists, so that the number of time series stays bounded. */
import type { Counter, Gauge, Histogram, Metrics } from "@tanagerlink/telemetry";

/** Metrics that all shards of a process share. */
export interface SchedulerMetrics {
    readonly starts: Counter;
    readonly startDelay: Histogram;
    readonly preemptions: Counter;
    readonly overLimitStops: Counter;
    readonly tasksEnded: Counter;
    readonly roundDuration: Histogram;
    readonly waitingTasks: Gauge;
    readonly runningTasks: Gauge;
    readonly quarantinedWorkers: Gauge;
    readonly adoptions: Counter;
    readonly adoptedShards: Gauge;
    readonly movedJobs: Counter;
}

/** Registers the metrics of the scheduler. */
export function createSchedulerMetrics(metrics: Metrics): SchedulerMetrics {
    return {
        starts: metrics.counter({
            name: "tanagerlink_task_starts_total",
            help: "Starts sent to workers, by class and result.",
            labels: ["work_class", "result"],
        }),
        startDelay: metrics.histogram({
            name: "tanagerlink_task_start_delay_seconds",
            help: "Time between submission of a job and the confirmed start of a task.",
            labels: ["work_class"],
        }),
        preemptions: metrics.counter({
            name: "tanagerlink_preemptions_total",
            help: "Tasks checkpointed to make room for urgent work.",
        }),
        overLimitStops: metrics.counter({
            name: "tanagerlink_over_limit_stops_total",
            help: "Tasks checkpointed because their team's limit was lowered with enforce: stop.",
        }),
        tasksEnded: metrics.counter({
            name: "tanagerlink_tasks_ended_total",
            help: "Tasks that ended, by result.",
            labels: ["result"],
        }),
        roundDuration: metrics.histogram({
            name: "tanagerlink_scheduling_round_seconds",
            help: "Processor time of one scheduling round of one shard.",
        }),
        waitingTasks: metrics.gauge({
            name: "tanagerlink_waiting_tasks",
            help: "Tasks that wait in a shard owned by this process.",
            labels: ["shard"],
        }),
        runningTasks: metrics.gauge({
            name: "tanagerlink_running_tasks",
            help: "Tasks that run in a shard owned by this process.",
            labels: ["shard"],
        }),
        quarantinedWorkers: metrics.gauge({
            name: "tanagerlink_quarantined_workers",
            help: "Workers of a shard that get no work because everything they start fails.",
            labels: ["shard"],
        }),
        adoptions: metrics.counter({
            name: "tanagerlink_shard_adoptions_total",
            help: "Shards of lost failure domains that this process has taken over.",
        }),
        adoptedShards: metrics.gauge({
            name: "tanagerlink_adopted_shards",
            help: "Shards of lost failure domains that this process owns now.",
        }),
        movedJobs: metrics.counter({
            name: "tanagerlink_moved_jobs_total",
            help: "Waiting jobs moved to another shard, by cause: room there, or a shard that can run nothing.",
            labels: ["cause"],
        }),
    };
}
