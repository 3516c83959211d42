/** Maps calls that ended without an answer to service errors. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { type CallNotSent, CallOutcome, type CallUnknown, NotSentCause } from "./httpCall.ts";

const errorKindByCause: Readonly<Record<NotSentCause, ErrorKind>> = {
    [NotSentCause.Connection]: ErrorKind.TargetUnreachable,
    [NotSentCause.Deadline]: ErrorKind.DeadlineExceeded,
    [NotSentCause.Cancelled]: ErrorKind.Cancelled,
    [NotSentCause.Invalid]: ErrorKind.InvalidRequest,
};

/** Error of a request to an executor that ended without an answer. */
export function requestFailure(target: string, result: CallNotSent | CallUnknown): ServiceError {
    if (result.outcome === CallOutcome.Unknown) {
        return unknownOutcomeError(target, result.reason);
    }
    return serviceError(
        errorKindByCause[result.cause],
        `The call was not sent to ${target}: ${result.reason}.`,
        { target },
    );
}

/** Error of a control call that ended without an answer. A call that was not sent had no effect, whatever the cause. */
export function controlFailure(target: string, result: CallNotSent | CallUnknown): ServiceError {
    if (result.outcome === CallOutcome.Unknown) {
        return unknownOutcomeError(target, result.reason);
    }
    return serviceError(
        ErrorKind.TargetUnreachable,
        `The call was not sent to ${target}: ${result.reason}.`,
        { target },
    );
}

/** Error of a call that may have had an effect. */
export function unknownOutcomeError(target: string, reason: string): ServiceError {
    return serviceError(
        ErrorKind.OutcomeUnknown,
        `The outcome of the call to ${target} is unknown: ${reason}.`,
        { target },
    );
}
