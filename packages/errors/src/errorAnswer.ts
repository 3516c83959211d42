import { ErrorKind } from "./errorKind.ts";

/** What an error implies about the execution of the requested work. */
export const Outcome = {
    NotRun: "not_run",
    Unknown: "unknown",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** How an error kind is reported to callers, operators and scripts. */
export interface ErrorAnswer {
    /** HTTP status code of the response. */
    readonly httpStatus: number;
    /** Exit code of the command line. */
    readonly exitCode: number;
    /** `not_run` guarantees that the request has not started any work and never will. */
    readonly outcome: Outcome;
    /** Whether the same call may succeed later without a change. */
    readonly retryable: boolean;
}

function answer(httpStatus: number, exitCode: number, outcome: Outcome, retryable: boolean): ErrorAnswer {
    return { httpStatus, exitCode, outcome, retryable };
}

/** Status, exit code and outcome by error kind. The type makes a missing kind a compile-time error. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
    [ErrorKind.InvalidRequest]: answer(400, 2, Outcome.NotRun, false),
    [ErrorKind.InvalidConfiguration]: answer(422, 3, Outcome.NotRun, false),
    [ErrorKind.InvalidSettings]: answer(500, 2, Outcome.NotRun, false),
    [ErrorKind.BodyTooLarge]: answer(413, 2, Outcome.NotRun, false),
    [ErrorKind.KeyMissing]: answer(401, 4, Outcome.NotRun, false),
    [ErrorKind.KeyRejected]: answer(401, 4, Outcome.NotRun, false),
    [ErrorKind.TeamMismatch]: answer(403, 4, Outcome.NotRun, false),
    [ErrorKind.QueueNotFound]: answer(404, 5, Outcome.NotRun, false),
    [ErrorKind.ServiceNotFound]: answer(404, 5, Outcome.NotRun, false),
    [ErrorKind.JobNotFound]: answer(404, 5, Outcome.NotRun, false),
    [ErrorKind.IdempotencyKeyConflict]: answer(409, 6, Outcome.NotRun, false),
    [ErrorKind.NeverRunnable]: answer(422, 7, Outcome.NotRun, false),
    [ErrorKind.TeamLimitReached]: answer(429, 8, Outcome.NotRun, true),
    [ErrorKind.NoCapacity]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.Overloaded]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.Draining]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.NotOwner]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.ShardNotReady]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.FailureDomainOut]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.ConfigurationConflict]: answer(409, 6, Outcome.NotRun, false),
    [ErrorKind.ConfigurationTooOld]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.StoreUnavailable]: answer(503, 9, Outcome.NotRun, true),
    [ErrorKind.StoreRefused]: answer(500, 9, Outcome.NotRun, false),
    [ErrorKind.StoreOutcomeUnknown]: answer(504, 10, Outcome.Unknown, true),
    [ErrorKind.PeerUnreachable]: answer(503, 9, Outcome.NotRun, true),
    [ErrorKind.PeerRejected]: answer(503, 9, Outcome.NotRun, true),
    [ErrorKind.TargetUnreachable]: answer(502, 9, Outcome.NotRun, true),
    [ErrorKind.TargetRefused]: answer(502, 9, Outcome.NotRun, true),
    [ErrorKind.StaleEpoch]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.StaleBoot]: answer(503, 8, Outcome.NotRun, true),
    [ErrorKind.DeadlineExceeded]: answer(504, 8, Outcome.NotRun, true),
    [ErrorKind.OutcomeUnknown]: answer(504, 10, Outcome.Unknown, false),
    [ErrorKind.Cancelled]: answer(409, 11, Outcome.NotRun, false),
    [ErrorKind.Internal]: answer(500, 1, Outcome.Unknown, false),
};
