/**
 * The closed list of error kinds and the table of their HTTP status and exit codes. Every failure that crosses a
 * package boundary is a `ServiceError` in a neverthrow `Result`.
 */
export { type ErrorAnswer, errorAnswers, Outcome } from "./errorAnswer.ts";
export { ErrorKind } from "./errorKind.ts";
export { describeUnknown, type ErrorDetail, type ServiceError, serviceError } from "./serviceError.ts";
