/** Routes for jobs: submission, status, explanation and cancellation. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { jobSpecificationSchema } from "@tanagerlink/model";
import type { JobStatus } from "@tanagerlink/scheduler";
import { type Context, Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { admitCaller, bearerCredential } from "./callerAccess.ts";
import type { RouteDependencies } from "./entryDependencies.ts";
import { errorResponse } from "./errorResponse.ts";
import { readJson } from "./requestBody.ts";

const MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 256;

/** A payload of 64 KiB with every character escaped, and the other fields. */
const MAXIMUM_SUBMISSION_BYTES = 524_288;

/** Reads the optional idempotency key of a request. */
export function readIdempotencyKey(context: Context): Result<string | undefined, ServiceError> {
    const key = context.req.header("idempotency-key");
    if (key !== undefined && (key.length === 0 || key.length > MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS)) {
        const message = `idempotency-key must have 1 to ${MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS} characters`;
        return err(serviceError(ErrorKind.InvalidRequest, message));
    }
    return ok(key);
}

/** Creates the routes below `/jobs`. */
export function jobRoutes(dependencies: RouteDependencies): Hono {
    const routes = new Hono();
    routes.post("/", async context => {
        const result = await submitJob(dependencies, context);
        return result.match(
            status => context.json(status, status.repeated === true ? 200 : 201),
            error => errorResponse(context, error),
        );
    });
    routes.get("/:job", async context => {
        const result = await authorizedStatus(dependencies, context);
        return result.match(
            ({ decisions: _decisions, ...status }) => context.json(status),
            error => errorResponse(context, error),
        );
    });
    routes.get("/:job/explanation", async context => {
        const result = await authorizedStatus(dependencies, context);
        return result.match(status => context.json(status), error => errorResponse(context, error));
    });
    routes.delete("/:job", async context => {
        const authorized = await authorizedStatus(dependencies, context);
        const result = authorized.isErr() ? authorized : await dependencies.jobs.cancel(authorized.value.id);
        return result.match(status => context.json(status), error => errorResponse(context, error));
    });
    return routes;
}

async function submitJob(dependencies: RouteDependencies, context: Context): Promise<Result<JobStatus, ServiceError>> {
    const key = readIdempotencyKey(context);
    if (key.isErr()) {
        return err(key.error);
    }
    const bounds = {
        timers: dependencies.timers,
        budget: dependencies.budget,
        maximumBytes: Math.min(dependencies.maximumBodyBytes, MAXIMUM_SUBMISSION_BYTES),
    };
    const body = await readJson(context, bounds, jobSpecificationSchema);
    if (body.isErr()) {
        return err(body.error);
    }
    const specification = body.value;
    const admitted = await admitCaller(dependencies, {
        queue: specification.queue,
        team: specification.team,
        authorization: context.req.header("authorization"),
    });
    if (admitted.isErr()) {
        return err(admitted.error);
    }
    return dependencies.jobs.submit({
        specification,
        workClass: admitted.value.workClass,
        submittedAt: dependencies.timers.wallClock(),
        ...(key.value === undefined ? {} : { idempotencyKey: key.value }),
    });
}

/** Returns a job's status to callers with a key of its team and to operators; jobs of open queues need no key. */
async function authorizedStatus(
    dependencies: RouteDependencies,
    context: Context,
): Promise<Result<JobStatus, ServiceError>> {
    const status = await dependencies.jobs.status(context.req.param("job") ?? "");
    if (status.isErr()) {
        return status;
    }
    const credential = bearerCredential(context.req.header("authorization"));
    const { team, queue } = status.value;
    const admission = await dependencies.keys.admit({ team, queue, key: credential });
    if (admission.isOk()) {
        return status;
    }
    // Checked after the team's key, since the operator check computes a hash for each unknown credential.
    const operator = await dependencies.operators.verify(credential);
    return operator.isOk() ? status : err(admission.error);
}
