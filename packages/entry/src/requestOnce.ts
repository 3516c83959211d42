/** Runs a non-idempotent request with an idempotency key at most once over all processes. */
import { errorAnswers, ErrorKind, Outcome, type ServiceError, serviceError } from "@tanagerlink/errors";
import { RequestBegin, type RequestTicket } from "@tanagerlink/jobs";
import type { ServiceAnswer, ServiceRequest } from "@tanagerlink/model";
import { sleep } from "@tanagerlink/timers";
import { err, ok, type Result } from "neverthrow";
import type { EntryDependencies } from "./entryDependencies.ts";

/** Period of looking for the answer of an earlier request, in milliseconds. */
const LOOK_MILLISECONDS = 100;

/** Records the request, sends it if it is the first one, and otherwise answers with the first one's result. */
export async function dispatchOnce(
    dependencies: EntryDependencies,
    request: ServiceRequest,
    idempotencyKey: string,
): Promise<Result<ServiceAnswer, ServiceError>> {
    const deadline = dependencies.timers.now() + request.remainingMilliseconds;
    const begun = await dependencies.requests.begin(request, idempotencyKey);
    if (begun.isErr()) {
        return err(begun.error);
    }
    const ticket = begun.value;
    if (ticket.begin === RequestBegin.Answered) {
        return ok(ticket.answer);
    }
    if (ticket.begin === RequestBegin.Sent) {
        return waitForEarlier(dependencies, request, ticket.key, deadline);
    }
    const remainingMilliseconds = deadline - dependencies.timers.now();
    const result = await dependencies.jobs.dispatch({ ...request, remainingMilliseconds });
    await record(dependencies, ticket, request, result);
    return result;
}

async function record(
    dependencies: EntryDependencies,
    ticket: Extract<RequestTicket, { begin: "fresh"; }>,
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

/** An earlier request was sent and not answered yet; it is never sent again. */
async function waitForEarlier(
    dependencies: EntryDependencies,
    request: ServiceRequest,
    key: string,
    deadline: number,
): Promise<Result<ServiceAnswer, ServiceError>> {
    while (dependencies.timers.now() < deadline) {
        await sleep(dependencies.timers, LOOK_MILLISECONDS);
        const found = await dependencies.requests.look(request, key);
        if (found.isOk() && found.value.begin === RequestBegin.Answered) {
            return ok(found.value.answer);
        }
    }
    const message = "an earlier request with this idempotency key was sent and its answer is not known";
    return err(serviceError(ErrorKind.OutcomeUnknown, message));
}
