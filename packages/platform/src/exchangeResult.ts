/**
 * Converts HTTP exchanges into validated values. Every failed exchange or malformed response becomes an error value.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { HttpExchange } from "./httpPlatformClient.ts";

const decoder = new TextDecoder("utf-8", { fatal: true });

/**
 * Whether a failed call certainly had no effect. The platform responds with a status from 400 to 499 or with 503 only
 * to calls that it did not execute.
 *
 * @internal
 */
export function hasNoEffect(exchange: HttpExchange): boolean {
    return exchange.answered
        ? (exchange.status >= 400 && exchange.status < 500) || exchange.status === 503
        : !exchange.sent;
}

/** @internal Error of a call that certainly had no effect, such as a read. */
export function storeUnavailableError(operation: string, reason: string): ServiceError {
    return serviceError(ErrorKind.StoreUnavailable, `The platform failed to ${operation}: ${reason}.`);
}

/** @internal Describes why an exchange did not succeed. */
export function describeFailedExchange(exchange: HttpExchange): string {
    return exchange.answered ? `it responded with status ${exchange.status}` : exchange.reason;
}

/** @internal Parses the body of a successful exchange; the error is the reason as text. */
export function parseResponse<Schema extends z.ZodType>(
    exchange: HttpExchange,
    schema: Schema,
): Result<z.infer<Schema>, string> {
    if (!exchange.answered || exchange.status !== 200) {
        return err(describeFailedExchange(exchange));
    }
    try {
        const parsed = schema.safeParse(JSON.parse(decoder.decode(exchange.body)));
        return parsed.success ? ok(parsed.data) : err("its response does not match the expected schema");
    }
    catch (failure) {
        return err(`its response is not valid JSON (${describeUnknown(failure).slice(0, 100)})`);
    }
}
