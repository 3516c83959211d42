/**
 * The closed list of error kinds and the table that maps each kind to the answer given to callers, operators and
 * shell scripts. Every failure that crosses a package boundary is a `ServiceError` carried in a neverthrow `Result`.
 */
export { type ErrorAnswer, errorAnswers, Outcome } from "./errorAnswer.ts";
export { ErrorKind } from "./errorKind.ts";
export { describeUnknown, type ErrorDetail, type ServiceError, serviceError } from "./serviceError.ts";
