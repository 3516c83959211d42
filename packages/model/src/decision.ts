/** Closed list of reasons for decisions. The values appear in the output of `explain`, in logs and in metrics. */
export const Reason = {
    Accepted: "accepted",
    RepeatedSubmission: "repeated_submission",
    RefusedKey: "refused_key",
    RefusedTeam: "refused_team",
    RefusedNeverRunnable: "refused_never_runnable",
    RefusedOverload: "refused_overload",
    RefusedStore: "refused_store",
    Placed: "placed",
    PlacedUrgentReserve: "placed_urgent_reserve",
    PlacedByPreemption: "placed_by_preemption",
    PlacedBackfill: "placed_backfill",
    PlacedGang: "placed_gang",
    WaitingForCapacity: "waiting_for_capacity",
    WaitingForShare: "waiting_for_share",
    WaitingForLimit: "waiting_for_limit",
    WaitingForGang: "waiting_for_gang",
    WaitingForReservation: "waiting_for_reservation",
    WaitingForRecovery: "waiting_for_recovery",
    WaitingForLease: "waiting_for_lease",
    FailureDomainOut: "failure_domain_out",
    Preempted: "preempted",
    Throttled: "throttled",
    StoppedOverSize: "stopped_over_size",
    StoppedOverLimit: "stopped_over_limit",
    WorkerQuarantined: "worker_quarantined",
    WorkerLost: "worker_lost",
    WorkerLeaving: "worker_leaving",
    TaskFailed: "task_failed",
    TaskSucceeded: "task_succeeded",
    TaskOutcomeUnknown: "task_outcome_unknown",
    JobFailsEverywhere: "job_fails_everywhere",
    CancelledByCaller: "cancelled_by_caller",
    HandedOver: "handed_over",
    /** A process in another failure domain owns the shard, because all processes in the shard's own one are lost. */
    ShardAdopted: "shard_adopted",
    Moved: "moved",
} as const;
export type Reason = (typeof Reason)[keyof typeof Reason];

/** A recorded decision. */
export interface Decision {
    /** Wall-clock time in milliseconds. */
    readonly at: number;
    readonly reason: Reason;
    /** Index of the task, if the decision concerns a single task. */
    readonly task?: number;
    readonly worker?: string;
    /** Configuration version in force when the decision was made. */
    readonly configurationVersion: number;
    /** Source location of the configuration entry that caused the decision, `<file>:<line>`. */
    readonly origin?: string;
    readonly detail?: string;
}
