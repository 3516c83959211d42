/** Routes for requests to services: `/services/<service>/<path>`. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceConfiguration, ServiceRequest, ServiceResponse } from "@tanagerlink/model";
import { type Context, Hono } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { admitCaller, ownProperty, usableConfiguration } from "./callerAccess.ts";
import type { RouteDependencies } from "./entryDependencies.ts";
import { errorResponse } from "./errorResponse.ts";
import { dispatchOnce } from "./idempotentDispatch.ts";
import { readIdempotencyKey } from "./jobRoutes.ts";
import { readBody } from "./requestBody.ts";
import { forwardedHeaders } from "./serviceHeaders.ts";

/** Methods that HTTP defines as idempotent; the header `x-idempotent` takes precedence. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Status codes whose responses must not have a body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 205, 304]);

/** Creates the routes below `/services`. */
export function serviceRoutes(dependencies: RouteDependencies): Hono {
    const routes = new Hono();
    routes.all("/:service/*", async context => {
        const requestId = randomUUID();
        const result = await handleServiceRequest(dependencies, context, requestId);
        return result.match(
            response => {
                dependencies.budget.reserveResponse(context, response.body.byteLength);
                return serviceResponse(response);
            },
            error => errorResponse(context, error, requestId),
        );
    });
    return routes;
}

async function handleServiceRequest(
    dependencies: RouteDependencies,
    context: Context,
    requestId: string,
): Promise<Result<ServiceResponse, ServiceError>> {
    const receivedAt = dependencies.timers.now();
    const key = readIdempotencyKey(context);
    if (key.isErr()) {
        return err(key.error);
    }
    const head = await readRequestHead(dependencies, context, requestId);
    if (head.isErr()) {
        return err(head.error);
    }
    const remainingMilliseconds = (): number =>
        head.value.remainingMilliseconds - (dependencies.timers.now() - receivedAt);
    const body = await readBody(context, {
        timers: dependencies.timers,
        budget: dependencies.budget,
        maximumBytes: dependencies.maximumBodyBytes,
        timeoutMilliseconds: remainingMilliseconds(),
    });
    if (body.isErr()) {
        return err(body.error);
    }
    try {
        const request = { ...head.value, body: body.value.bytes, remainingMilliseconds: remainingMilliseconds() };
        return request.idempotent || key.value === undefined
            ? await dependencies.jobs.dispatch(request)
            : await dispatchOnce(dependencies, request, key.value);
    }
    finally {
        body.value[Symbol.dispose]();
    }
}

/** Reads everything but the body. The deadline counts from the arrival of the request. */
async function readRequestHead(
    dependencies: RouteDependencies,
    context: Context,
    id: string,
): Promise<Result<Omit<ServiceRequest, "body">, ServiceError>> {
    const service = findService(dependencies, context);
    if (service.isErr()) {
        return err(service.error);
    }
    const team = context.req.header("x-team");
    if (team === undefined || team === "") {
        return err(serviceError(ErrorKind.InvalidRequest, "the header x-team is missing; name the team of the key"));
    }
    const admitted = await admitCaller(dependencies, {
        queue: service.value.queue,
        team,
        authorization: context.req.header("authorization"),
    });
    if (admitted.isErr()) {
        return err(admitted.error);
    }
    const idempotent = readIsIdempotent(context);
    const deadline = readDeadline(context, service.value);
    if (idempotent.isErr() || deadline.isErr()) {
        return err(idempotent.isErr() ? idempotent.error : deadline._unsafeUnwrapErr());
    }
    return ok({
        id,
        service: service.value.name,
        team,
        workClass: admitted.value.workClass,
        idempotent: idempotent.value,
        method: context.req.method,
        path: executorPath(context),
        headers: forwardedHeaders(context.req.raw.headers),
        remainingMilliseconds: deadline.value,
    });
}

function findService(
    dependencies: RouteDependencies,
    context: Context,
): Result<ServiceConfiguration, ServiceError> {
    const name = context.req.param("service") ?? "";
    return usableConfiguration(dependencies).andThen(configuration => {
        const service = ownProperty(configuration.services, name);
        return service === undefined
            ? err(serviceError(ErrorKind.ServiceNotFound, `there is no service ${name}`))
            : ok(service);
    });
}

/** The raw path and query after `/services/<service>`, in which the service's name may be percent-encoded. */
function executorPath(context: Context): string {
    const path = context.req.raw.url.replace(/^[a-z]+:\/\/[^/]*\/services\/[^/?]*/i, "");
    return path.startsWith("/") ? path : `/${path}`;
}

function readIsIdempotent(context: Context): Result<boolean, ServiceError> {
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
    if (!/^\d{1,10}$/.test(header) || value < 1) {
        const message = "the header x-deadline-milliseconds must be a whole number from 1";
        return err(serviceError(ErrorKind.InvalidRequest, message));
    }
    return ok(Math.min(value, service.deadlineMilliseconds));
}

function serviceResponse(response: ServiceResponse): Response {
    const headers = new Headers(forwardedHeaders(Object.entries(response.headers)));
    response.setCookies?.forEach(cookie => headers.append("set-cookie", cookie));
    headers.set("x-request-id", response.requestId);
    headers.set("x-executor", response.executor);
    headers.set("x-attempts", String(response.attempts));
    const body = STATUSES_WITHOUT_BODY.has(response.status) ? undefined : Buffer.from(response.body);
    return new Response(body, { status: response.status as ContentfulStatusCode, headers });
}
