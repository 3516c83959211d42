/**
 * Turns HTTP exchanges into checked values. Anything that is not a well-formed answer is an error value.
 */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { HttpExchange } from "./httpPlatformClient.ts";

const decoder = new TextDecoder("utf-8", { fatal: true });

/** @internal The platform answers a call that it did not carry out with a status from 400 to 499 or with 503. */
export function certainlyHadNoEffect(exchange: HttpExchange): boolean {
    return exchange.answered
        ? (exchange.status >= 400 && exchange.status < 500) || exchange.status === 503
        : !exchange.sent;
}

/** @internal Error of a call that has no effect in any case, such as a read. */
export function storeUnavailable(what: string, reason: string): ServiceError {
    return serviceError(ErrorKind.StoreUnavailable, `The platform did not ${what}: ${reason}.`);
}

/** @internal Reason of an exchange that did not succeed. */
export function describeExchange(exchange: HttpExchange): string {
    return exchange.answered ? `it answered with status ${exchange.status}` : exchange.reason;
}

/** @internal Parses the body of a successful exchange; the error is a plain reason. */
export function parseAnswer<Schema extends z.ZodType>(
    exchange: HttpExchange,
    schema: Schema,
): Result<z.infer<Schema>, string> {
    if (!exchange.answered || exchange.status !== 200) {
        return err(describeExchange(exchange));
    }
    try {
        const parsed = schema.safeParse(JSON.parse(decoder.decode(exchange.body)));
        return parsed.success ? ok(parsed.data) : err("its answer does not have the agreed form");
    }
    catch (failure) {
        return err(`its answer is not JSON (${describeUnknown(failure).slice(0, 100)})`);
    }
}
