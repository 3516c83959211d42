/** Dispatches a non-idempotent request with an idempotency key at most once across all entry processes. */
import { errorAnswers, ErrorKind, Outcome, type ServiceError, serviceError } from "@tanagerlink/errors";
import { RequestBegin, type RequestTicket } from "@tanagerlink/jobs";
import type { ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import { sleep, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { EntryDependencies } from "./entryDependencies.ts";

/** Interval at which the store is polled for the response to an earlier request with the same key. */
const RESPONSE_POLL_MILLISECONDS = 100;

/**
 * After this many polls the request itself is started anew, since the earlier one may have failed as `not_run`
 * meanwhile, which removes its row.
 */
const POLLS_PER_BEGIN = 10;

type FreshTicket = Extract<RequestTicket, { begin: "fresh"; }>;

/** Records the request in the ledger and dispatches it if its key is new; else returns the first request's result. */
export async function dispatchOnce(
    dependencies: EntryDependencies,
    request: ServiceRequest,
    idempotencyKey: string,
): Promise<Result<ServiceResponse, ServiceError>> {
    const deadline = dependencies.timers.now() + request.remainingMilliseconds;
    let earlierKey: string | undefined;
    for (;;) {
        const beginResult = await dependencies.requestLedger.begin(request, idempotencyKey);
        if (beginResult.isErr() && earlierKey === undefined) {
            return err(beginResult.error);
        }
        const ticket = beginResult.isOk() ? beginResult.value : undefined;
        if (ticket?.begin === RequestBegin.Answered) {
            return ok(ticket.answer);
        }
        if (ticket?.begin === RequestBegin.Fresh) {
            return dispatchAndRecord(dependencies, ticket, request, deadline);
        }
        earlierKey = ticket?.key ?? earlierKey!;
        const response = await pollEarlierResponse(dependencies, request, earlierKey, deadline);
        if (response !== undefined) {
            return ok(response);
        }
        if (dependencies.timers.now() >= deadline) {
            return err(earlierOutcomeUnknown());
        }
    }
}

async function dispatchAndRecord(
    dependencies: EntryDependencies,
    ticket: FreshTicket,
    request: ServiceRequest,
    deadline: number,
): Promise<Result<ServiceResponse, ServiceError>> {
    const { timers, jobs } = dependencies;
    const remainingMilliseconds = deadline - timers.now();
    const result = remainingMilliseconds > 0
        ? await jobs.dispatch({ ...request, remainingMilliseconds })
        : err(serviceError(ErrorKind.DeadlineExceeded, "the deadline passed before the request was sent"));
    // The caller gets its response by the deadline even if the store does not respond.
    await withDeadline(
        timers,
        Math.max(0, deadline - timers.now()),
        recordResult(dependencies, ticket, request, result),
    );
    return result;
}

async function recordResult(
    dependencies: EntryDependencies,
    ticket: FreshTicket,
    request: ServiceRequest,
    result: Result<ServiceResponse, ServiceError>,
): Promise<void> {
    if (result.isErr() && errorAnswers[result.error.kind].outcome === Outcome.Unknown) {
        return;
    }
    const stored = result.isOk()
        ? await dependencies.requestLedger.complete(ticket, request, result.value)
        : await dependencies.requestLedger.abandon(ticket);
    if (stored.isErr()) {
        dependencies.logger.warn(
            { requestId: request.id, error: stored.error },
            "result of a request could not be recorded; a retry with its idempotency key gets an unknown outcome",
        );
    }
}

/** Polls for the response to the earlier request; `undefined` when the request is to be started anew. */
async function pollEarlierResponse(
    dependencies: EntryDependencies,
    request: ServiceRequest,
    key: string,
    deadline: number,
): Promise<ServiceResponse | undefined> {
    const { timers, requestLedger } = dependencies;
    for (let poll = 0; poll < POLLS_PER_BEGIN && timers.now() < deadline; poll++) {
        await sleep(timers, Math.min(RESPONSE_POLL_MILLISECONDS, deadline - timers.now()));
        const found = await requestLedger.lookUp(request, key);
        if (found.isOk() && found.value.begin === RequestBegin.Answered) {
            return found.value.answer;
        }
    }
    return undefined;
}

function earlierOutcomeUnknown(): ServiceError {
    const message = "an earlier request with this idempotency key was dispatched and its outcome is not known";
    return serviceError(ErrorKind.OutcomeUnknown, message);
}
