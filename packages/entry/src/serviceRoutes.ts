/** Routes for requests to services: `/services/<service>/<path>`. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { ServiceAnswer, ServiceConfiguration, ServiceRequest } from "@tanagerlink/model";
import { type Context, Hono } from "hono";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { admit, own, usableConfiguration } from "./callerAccess.ts";
import type { RouteDependencies } from "./entryDependencies.ts";
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
export function serviceRoutes(dependencies: RouteDependencies): Hono {
    const routes = new Hono();
    routes.all("/:service/*", async context => {
        const requestId = randomUUID();
        const result = await handle(dependencies, context, requestId);
        return result.match(
            answer => {
                dependencies.budget.holdAnswer(context, answer.body.byteLength);
                return serviceResponse(answer);
            },
            error => errorResponse(context, error, requestId),
        );
    });
    return routes;
}

async function handle(
    dependencies: RouteDependencies,
    context: Context,
    requestId: string,
): Promise<Result<ServiceAnswer, ServiceError>> {
    const arrivedAt = dependencies.timers.now();
    const key = idempotencyKey(context);
    if (key.isErr()) {
        return err(key.error);
    }
    const draft = await readDraft(dependencies, context, requestId);
    if (draft.isErr()) {
        return err(draft.error);
    }
    const remaining = (): number => draft.value.remainingMilliseconds - (dependencies.timers.now() - arrivedAt);
    const body = await readBody(context, {
        timers: dependencies.timers,
        budget: dependencies.budget,
        maximumBytes: dependencies.maximumBodyBytes,
        withinMilliseconds: remaining(),
    });
    if (body.isErr()) {
        return err(body.error);
    }
    try {
        const request = { ...draft.value, body: body.value.bytes, remainingMilliseconds: remaining() };
        return request.idempotent || key.value === undefined
            ? await dependencies.jobs.dispatch(request)
            : await dispatchOnce(dependencies, request, key.value);
    }
    finally {
        body.value[Symbol.dispose]();
    }
}

/** The request without its body; the time left is counted from its arrival. */
async function readDraft(
    dependencies: RouteDependencies,
    context: Context,
    id: string,
): Promise<Result<Omit<ServiceRequest, "body">, ServiceError>> {
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
    return ok({
        id,
        service: found.value.name,
        team,
        workClass: admitted.value.workClass,
        idempotent: idempotent.value,
        method: context.req.method,
        path: pathAtExecutor(context),
        headers: passedOnHeaders(context.req.raw.headers),
        remainingMilliseconds: deadline.value,
    });
}

function findService(
    dependencies: RouteDependencies,
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

/** Path and query behind `/services/<service>` as the caller wrote them; the name may be percent-encoded there. */
function pathAtExecutor(context: Context): string {
    const rest = context.req.raw.url.replace(/^[a-z]+:\/\/[^/]*\/services\/[^/?]*/i, "");
    return rest.startsWith("/") ? rest : `/${rest}`;
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
    if (!/^\d{1,10}$/.test(header) || value < 1) {
        const message = "the header x-deadline-milliseconds must be a whole number from 1";
        return err(serviceError(ErrorKind.InvalidRequest, message));
    }
    return ok(Math.min(value, service.deadlineMilliseconds));
}

function serviceResponse(answer: ServiceAnswer): Response {
    const headers = new Headers(passedOnHeaders(Object.entries(answer.headers)));
    answer.setCookies?.forEach(cookie => headers.append("set-cookie", cookie));
    headers.set("x-request-id", answer.requestId);
    headers.set("x-executor", answer.executor);
    headers.set("x-attempts", String(answer.attempts));
    const body = WITHOUT_BODY.has(answer.status) ? undefined : Buffer.from(answer.body);
    return new Response(body, { status: answer.status as ContentfulStatusCode, headers });
}
