/** Routes for jobs: submission, status, explanation and cancellation. */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { jobSpecificationSchema } from "@tanagerlink/model";
import type { JobStatus } from "@tanagerlink/scheduler";
import { type Context, Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { admit, presentedKey } from "./callerAccess.ts";
import type { RouteDependencies } from "./entryDependencies.ts";
import { errorResponse } from "./errorAnswer.ts";
import { readJson } from "./requestBody.ts";

/** Longest idempotency key, in characters. */
const MAXIMUM_KEY_LENGTH = 256;

/** Largest body of a submission, in bytes: a payload of 64 KiB with every character escaped, and the other fields. */
const MAXIMUM_SUBMISSION_BYTES = 524_288;

/** Reads the optional idempotency key of a call. */
export function idempotencyKey(context: Context): Result<string | undefined, ServiceError> {
    const key = context.req.header("idempotency-key");
    if (key !== undefined && (key.length === 0 || key.length > MAXIMUM_KEY_LENGTH)) {
        const message = `idempotency-key must have 1 to ${MAXIMUM_KEY_LENGTH} characters`;
        return err(serviceError(ErrorKind.InvalidRequest, message));
    }
    return ok(key);
}

/** Creates the routes below `/jobs`. */
export function jobRoutes(dependencies: RouteDependencies): Hono {
    const routes = new Hono();
    routes.post("/", async context => {
        const result = await submit(dependencies, context);
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
        const known = await authorizedStatus(dependencies, context);
        const result = known.isErr() ? known : await dependencies.jobs.cancel(known.value.id);
        return result.match(status => context.json(status), error => errorResponse(context, error));
    });
    return routes;
}

async function submit(dependencies: RouteDependencies, context: Context): Promise<Result<JobStatus, ServiceError>> {
    const key = idempotencyKey(context);
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
    const admitted = await admit(dependencies, {
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

/** Status of a job for a caller who presents a key of its team; jobs of open queues need none. */
async function authorizedStatus(
    dependencies: RouteDependencies,
    context: Context,
): Promise<Result<JobStatus, ServiceError>> {
    const status = await dependencies.jobs.status(context.req.param("job") ?? "");
    if (status.isErr()) {
        return status;
    }
    const presented = presentedKey(context.req.header("authorization"));
    const { team, queue } = status.value;
    const admission = await dependencies.keys.admit({ team, queue, key: presented });
    if (admission.isOk()) {
        return status;
    }
    // After the key of the team, since each unknown text costs the operator check a hash.
    const operator = await dependencies.operators.verify(presented);
    return operator.isOk() ? status : err(admission.error);
}
