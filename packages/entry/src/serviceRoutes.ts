/** Routes for requests to services: `/services/<service>/<path>`. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceAnswer, ServiceConfiguration, ServiceRequest } from "@tanagerlink/model";
import { type Context, Hono } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { admit, own, usableConfiguration } from "./callerAccess.ts";
import type { EntryDependencies } from "./entryDependencies.ts";
import { errorResponse } from "./errorAnswer.ts";
import { idempotencyKey } from "./jobRoutes.ts";
import { readBody } from "./requestBody.ts";
import { dispatchOnce } from "./requestOnce.ts";
import { passedOnHeaders } from "./serviceHeaders.ts";

/** Methods that HTTP defines as idempotent. The header `x-idempotent` overrides this. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Status codes whose answers have no body. */
const WITHOUT_BODY: ReadonlySet<number> = new Set([204, 205, 304]);

/** Creates the routes below `/services`. */
export function serviceRoutes(dependencies: EntryDependencies): Hono {
    const routes = new Hono();
    routes.all("/:service/*", async context => {
        const requestId = randomUUID();
        const result = await handle(dependencies, context, requestId);
        return result.match(
            answer => serviceResponse(answer),
            error => errorResponse(context, error, requestId),
        );
    });
    return routes;
}

async function handle(
    dependencies: EntryDependencies,
    context: Context,
    requestId: string,
): Promise<Result<ServiceAnswer, ServiceError>> {
    const arrivedAt = dependencies.timers.now();
    const request = await readRequest(dependencies, context, requestId, arrivedAt);
    if (request.isErr()) {
        return err(request.error);
    }
    const key = idempotencyKey(context);
    if (key.isErr()) {
        return err(key.error);
    }
    if (request.value.idempotent || key.value === undefined) {
        return dependencies.jobs.dispatch(request.value);
    }
    return dispatchOnce(dependencies, request.value, key.value);
}

async function readRequest(
    dependencies: EntryDependencies,
    context: Context,
    id: string,
    arrivedAt: number,
): Promise<Result<ServiceRequest, ServiceError>> {
    const found = findService(dependencies, context);
    if (found.isErr()) {
        return err(found.error);
    }
    const team = context.req.header("x-team");
    if (team === undefined || team === "") {
        return err(serviceError(ErrorKind.InvalidRequest, "the header x-team is missing; name the team of the key"));
    }
    const admitted = await admit(dependencies, {
        queue: found.value.queue,
        team,
        authorization: context.req.header("authorization"),
    });
    if (admitted.isErr()) {
        return err(admitted.error);
    }
    const idempotent = readIdempotent(context);
    const deadline = readDeadline(context, found.value);
    if (idempotent.isErr() || deadline.isErr()) {
        return err(idempotent.isErr() ? idempotent.error : deadline._unsafeUnwrapErr());
    }
    const body = await readBody(context.req.raw, dependencies.maximumBodyBytes);
    if (body.isErr()) {
        return err(body.error);
    }
    return ok({
        id,
        service: found.value.name,
        team,
        workClass: admitted.value.workClass,
        idempotent: idempotent.value,
        method: context.req.method,
        path: pathAtExecutor(context, found.value.name),
        headers: passedOnHeaders(context.req.raw.headers),
        body: body.value,
        remainingMilliseconds: deadline.value - (dependencies.timers.now() - arrivedAt),
    });
}

function findService(
    dependencies: EntryDependencies,
    context: Context,
): Result<ServiceConfiguration, ServiceError> {
    const name = context.req.param("service") ?? "";
    return usableConfiguration(dependencies).andThen(configuration => {
        const service = own(configuration.services, name);
        return service === undefined
            ? err(serviceError(ErrorKind.ServiceNotFound, `there is no service ${name}`))
            : ok(service);
    });
}

/** Path and query behind `/services/<service>`. */
function pathAtExecutor(context: Context, service: string): string {
    const url = new URL(context.req.url);
    const prefix = `/services/${encodeURIComponent(service)}`;
    const path = url.pathname.startsWith(prefix) ? url.pathname.slice(prefix.length) : url.pathname;
    return `${path === "" ? "/" : path}${url.search}`;
}

function readIdempotent(context: Context): Result<boolean, ServiceError> {
    const header = context.req.header("x-idempotent");
    if (header === undefined) {
        return ok(IDEMPOTENT_METHODS.has(context.req.method));
    }
    if (header !== "true" && header !== "false") {
        return err(serviceError(ErrorKind.InvalidRequest, "the header x-idempotent must be true or false"));
    }
    return ok(header === "true");
}

function readDeadline(context: Context, service: ServiceConfiguration): Result<number, ServiceError> {
    const header = context.req.header("x-deadline-milliseconds");
    if (header === undefined) {
        return ok(service.deadlineMilliseconds);
    }
    const value = Number(header);
    if (!Number.isInteger(value) || value < 1) {
        const message = "the header x-deadline-milliseconds must be a whole number from 1";
        return err(serviceError(ErrorKind.InvalidRequest, message));
    }
    return ok(Math.min(value, service.deadlineMilliseconds));
}

function serviceResponse(answer: ServiceAnswer): Response {
    const headers = new Headers(passedOnHeaders(Object.entries(answer.headers)));
    headers.set("x-request-id", answer.requestId);
    headers.set("x-executor", answer.executor);
    headers.set("x-attempts", String(answer.attempts));
    const body = WITHOUT_BODY.has(answer.status) ? undefined : Buffer.from(answer.body);
    return new Response(body, { status: answer.status as ContentfulStatusCode, headers });
}
