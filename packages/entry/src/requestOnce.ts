/** Runs a non-idempotent request with an idempotency key at most once over all processes. */
import { errorAnswers, ErrorKind, Outcome, type ServiceError, serviceError } from "@tanagerlink/errors";
import { RequestBegin, type RequestTicket } from "@tanagerlink/jobs";
import type { ServiceAnswer, ServiceRequest } from "@tanagerlink/model";
import { sleep, withDeadline } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { EntryDependencies } from "./entryDependencies.ts";

/** Period of looking for the answer of an earlier request, in milliseconds. */
const LOOK_MILLISECONDS = 100;

/**
 * Each so many looks, the request is begun again in place of a look: the earlier one may have been refused as "not run"
 * meanwhile, which removes its row.
 */
const LOOKS_PER_BEGIN = 10;

type FreshTicket = Extract<RequestTicket, { begin: "fresh"; }>;

/** Records the request, sends it if it is the first one, and otherwise answers with the first one's result. */
export async function dispatchOnce(
    dependencies: EntryDependencies,
    request: ServiceRequest,
    idempotencyKey: string,
): Promise<Result<ServiceAnswer, ServiceError>> {
    const deadline = dependencies.timers.now() + request.remainingMilliseconds;
    let earlierKey: string | undefined;
    for (;;) {
        const begun = await dependencies.requests.begin(request, idempotencyKey);
        if (begun.isErr() && earlierKey === undefined) {
            return err(begun.error);
        }
        const ticket = begun.isOk() ? begun.value : undefined;
        if (ticket?.begin === RequestBegin.Answered) {
            return ok(ticket.answer);
        }
        if (ticket?.begin === RequestBegin.Fresh) {
            return send(dependencies, ticket, request, deadline);
        }
        earlierKey = ticket?.key ?? earlierKey!;
        const answer = await waitForEarlier(dependencies, request, earlierKey, deadline);
        if (answer !== undefined) {
            return ok(answer);
        }
        if (dependencies.timers.now() >= deadline) {
            return err(earlierUnknown());
        }
    }
}

async function send(
    dependencies: EntryDependencies,
    ticket: FreshTicket,
    request: ServiceRequest,
    deadline: number,
): Promise<Result<ServiceAnswer, ServiceError>> {
    const { timers, jobs } = dependencies;
    const remainingMilliseconds = deadline - timers.now();
    const result = remainingMilliseconds > 0
        ? await jobs.dispatch({ ...request, remainingMilliseconds })
        : err(serviceError(ErrorKind.DeadlineExceeded, "the deadline passed before the request was sent"));
    // A store that does not answer must not keep the answer from the caller.
    await withDeadline(timers, Math.max(0, deadline - timers.now()), record(dependencies, ticket, request, result));
    return result;
}

async function record(
    dependencies: EntryDependencies,
    ticket: FreshTicket,
    request: ServiceRequest,
    result: Result<ServiceAnswer, ServiceError>,
): Promise<void> {
    if (result.isErr() && errorAnswers[result.error.kind].outcome === Outcome.Unknown) {
        return;
    }
    const written = result.isOk()
        ? await dependencies.requests.complete(ticket, request, result.value)
        : await dependencies.requests.abandon(ticket);
    if (written.isErr()) {
        dependencies.logger.warn(
            { requestId: request.id, error: written.error },
            "result of a request could not be recorded; a repeat will be told that the outcome is unknown",
        );
    }
}

/** Looks for the answer of an earlier request until it is time to begin again. */
async function waitForEarlier(
    dependencies: EntryDependencies,
    request: ServiceRequest,
    key: string,
    deadline: number,
): Promise<ServiceAnswer | undefined> {
    const { timers, requests } = dependencies;
    for (let look = 0; look < LOOKS_PER_BEGIN && timers.now() < deadline; look++) {
        await sleep(timers, Math.min(LOOK_MILLISECONDS, deadline - timers.now()));
        const found = await requests.look(request, key);
        if (found.isOk() && found.value.begin === RequestBegin.Answered) {
            return found.value.answer;
        }
    }
    return undefined;
}

function earlierUnknown(): ServiceError {
    const message = "an earlier request with this idempotency key was sent and its answer is not known";
    return serviceError(ErrorKind.OutcomeUnknown, message);
}
