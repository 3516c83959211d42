/** Turns errors into HTTP answers by the table of the `errors` package. */
import { errorAnswers, type ServiceError } from "@tanagerlink/errors";
import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";

/** Header that carries the error kind, for callers that do not read the body. */
export const ERROR_HEADER = "x-tanagerlink-error";

/** Header that carries the outcome, `not_run` or `unknown`. */
export const OUTCOME_HEADER = "x-tanagerlink-outcome";

/** Seconds after which a caller may repeat a retryable call. */
const RETRY_AFTER_SECONDS = "1";

/** Longest message of an answer, in characters. */
const MAXIMUM_MESSAGE_CHARACTERS = 4_000;

/** Builds the answer to a failed call. */
export function errorResponse(context: Context, error: ServiceError, requestId?: string): Response {
    const answer = errorAnswers[error.kind];
    context.header(ERROR_HEADER, error.kind);
    context.header(OUTCOME_HEADER, answer.outcome);
    if (answer.retryable && answer.httpStatus === 503) {
        context.header("retry-after", RETRY_AFTER_SECONDS);
    }
    return context.json(errorBody(error, requestId), answer.httpStatus as ContentfulStatusCode);
}

/** Body of the answer to a failed call. */
export function errorBody(error: ServiceError, requestId?: string): Readonly<Record<string, unknown>> {
    const { outcome, retryable } = errorAnswers[error.kind];
    return {
        error: error.kind,
        message: error.message.slice(0, MAXIMUM_MESSAGE_CHARACTERS),
        outcome,
        retryable,
        ...(error.detail === undefined ? {} : { detail: error.detail }),
        ...(requestId === undefined ? {} : { requestId }),
    };
}
