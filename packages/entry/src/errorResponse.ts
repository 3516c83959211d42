/** Converts errors to HTTP responses; status and outcome come from the table of the `errors` package. */
import { errorAnswers, type ServiceError } from "@tanagerlink/errors";
import type { Context } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";

/** Header with the error kind, for callers that do not read the body. */
export const ERROR_HEADER = "x-tanagerlink-error";

/** Header with the outcome, `not_run` or `unknown`. */
export const OUTCOME_HEADER = "x-tanagerlink-outcome";

/** Value of `retry-after`: the delay before a caller may retry a request, in seconds. */
const RETRY_AFTER_SECONDS = "1";

const MAXIMUM_MESSAGE_CHARACTERS = 4_000;

/** Creates the response to a failed request. */
export function errorResponse(context: Context, error: ServiceError, requestId?: string): Response {
    const mapping = errorAnswers[error.kind];
    context.header(ERROR_HEADER, error.kind);
    context.header(OUTCOME_HEADER, mapping.outcome);
    if (mapping.retryable && mapping.httpStatus === 503) {
        context.header("retry-after", RETRY_AFTER_SECONDS);
    }
    return context.json(errorBody(error, requestId), mapping.httpStatus as ContentfulStatusCode);
}

/** Creates the JSON body of the response to a failed request. */
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
