/**
 * Closed list of error kinds. The values are part of the public interface: they appear in HTTP responses, logs, metrics
 * and `--json` output.
 */
export const ErrorKind = {
    InvalidRequest: "invalid_request",
    InvalidConfiguration: "invalid_configuration",
    InvalidSettings: "invalid_settings",
    BodyTooLarge: "body_too_large",
    KeyMissing: "key_missing",
    KeyRejected: "key_rejected",
    TeamMismatch: "team_mismatch",
    QueueNotFound: "queue_not_found",
    ServiceNotFound: "service_not_found",
    JobNotFound: "job_not_found",
    IdempotencyKeyConflict: "idempotency_key_conflict",
    NeverRunnable: "never_runnable",
    TeamLimitReached: "team_limit_reached",
    NoCapacity: "no_capacity",
    Overloaded: "overloaded",
    Draining: "draining",
    NotOwner: "not_owner",
    ShardNotReady: "shard_not_ready",
    FailureDomainOut: "failure_domain_out",
    ConfigurationConflict: "configuration_conflict",
    ConfigurationTooOld: "configuration_too_old",
    StoreUnavailable: "store_unavailable",
    StoreRefused: "store_refused",
    StoreOutcomeUnknown: "store_outcome_unknown",
    PeerUnreachable: "peer_unreachable",
    PeerRejected: "peer_rejected",
    TargetUnreachable: "target_unreachable",
    TargetRefused: "target_refused",
    StaleEpoch: "stale_epoch",
    StaleBoot: "stale_boot",
    DeadlineExceeded: "deadline_exceeded",
    OutcomeUnknown: "outcome_unknown",
    Cancelled: "cancelled",
    Internal: "internal",
} as const;

export type ErrorKind = (typeof ErrorKind)[keyof typeof ErrorKind];
