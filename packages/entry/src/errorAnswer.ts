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

/** Builds the answer to a failed call. */
export function errorResponse(context: Context, error: ServiceError, requestId?: string): Response {
    const answer = errorAnswers[error.kind];
    context.header(ERROR_HEADER, error.kind);
    context.header(OUTCOME_HEADER, answer.outcome);
    if (answer.retryable && answer.httpStatus === 503) {
        context.header("retry-after", RETRY_AFTER_SECONDS);
    }
    const body = {
        error: error.kind,
        message: error.message,
        outcome: answer.outcome,
        retryable: answer.retryable,
        ...(error.detail === undefined ? {} : { detail: error.detail }),
        ...(requestId === undefined ? {} : { requestId }),
    };
    return context.json(body, answer.httpStatus as ContentfulStatusCode);
}
