/**
 * Maps the end of a call that brought no answer to the closed list of errors.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { CallEnd, type CallNotSent, type CallUnknown, NotSentCause } from "./wholeCall.ts";

const kindOfCause: Readonly<Record<NotSentCause, ErrorKind>> = {
    [NotSentCause.Connection]: ErrorKind.TargetUnreachable,
    [NotSentCause.Deadline]: ErrorKind.DeadlineExceeded,
    [NotSentCause.Cancelled]: ErrorKind.Cancelled,
    [NotSentCause.Invalid]: ErrorKind.InvalidRequest,
};

/** Error of a request that ended without an answer. */
export function requestFailure(target: string, result: CallNotSent | CallUnknown): ServiceError {
    if (result.end === CallEnd.Unknown) {
        return unknownOutcome(target, result.reason);
    }
    return serviceError(
        kindOfCause[result.cause],
        `The call was not sent to ${target}: ${result.reason}.`,
        { target },
    );
}

/** Error of a control call that ended without an answer; whatever kept it from being sent, it had no effect. */
export function controlFailure(target: string, result: CallNotSent | CallUnknown): ServiceError {
    if (result.end === CallEnd.Unknown) {
        return unknownOutcome(target, result.reason);
    }
    return serviceError(
        ErrorKind.TargetUnreachable,
        `The call was not sent to ${target}: ${result.reason}.`,
        { target },
    );
}

/** Error of a call that may have had an effect. */
export function unknownOutcome(target: string, reason: string): ServiceError {
    return serviceError(
        ErrorKind.OutcomeUnknown,
        `The outcome of the call to ${target} is unknown: ${reason}.`,
        { target },
    );
}
