/** The HTTP application of one entry process. */
import { describeUnknown, errorAnswers, ErrorKind, serviceError } from "@tanagerlink/errors";
import { Hono } from "hono";
import { BodyBudget } from "./bodyBudget.ts";
import type { EntryDependencies, RouteDependencies } from "./entryDependencies.ts";
import { ERROR_HEADER, errorResponse } from "./errorResponse.ts";
import { jobRoutes } from "./jobRoutes.ts";
import { operatorRoutes } from "./operatorRoutes.ts";
import { serviceRoutes } from "./serviceRoutes.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Maximum number of characters of a path in a log line or an error message. */
const MAXIMUM_PATH_CHARACTERS = 200;

/** First path segments with their own `route` label in the metrics; all others are counted as `other`. */
const METRIC_ROUTES: ReadonlySet<string> = new Set(["jobs", "services", "operator", "metrics", "live", "ready"]);

/**
 * Creates the HTTP application.
 *
 * - `/jobs`, `/services`: for callers; a request carries the key of its team.
 * - `/operator`: for operators; a request carries the operator token.
 * - `/live`, `/ready`, `/metrics`: for the platform's balancer and monitoring, without authentication.
 */
export function createApplication(entryDependencies: EntryDependencies): Hono {
    const dependencies: RouteDependencies = {
        ...entryDependencies,
        budget: new BodyBudget(entryDependencies.maximumBufferedBytes),
    };
    const application = new Hono();
    application.use("*", async (context, next) => {
        const startedAt = dependencies.timers.now();
        await next();
        const segment = context.req.path.split("/")[1] ?? "";
        const route = METRIC_ROUTES.has(segment) ? segment : "other";
        const kind = context.res.headers.get(ERROR_HEADER) ?? "";
        const result = Object.hasOwn(errorAnswers, kind) ? kind : "ok";
        dependencies.metrics.responses.increment({ route, result });
        dependencies.metrics.requestDuration.observe(
            (dependencies.timers.now() - startedAt) / MILLISECONDS_PER_SECOND,
            { route },
        );
    });
    application.get("/live", context => context.json({ live: true }));
    application.get("/ready", context => {
        const ready = dependencies.isReady() && dependencies.configuration() !== undefined;
        return context.json({ ready, node: dependencies.node }, ready ? 200 : 503);
    });
    application.get("/metrics", async context => {
        const { contentType, text } = await dependencies.metricsExposition();
        return context.body(text, 200, { "content-type": contentType });
    });
    application.route("/jobs", jobRoutes(dependencies));
    application.route("/services", serviceRoutes(dependencies));
    application.route("/operator", operatorRoutes(dependencies));
    application.notFound(context =>
        errorResponse(
            context,
            serviceError(ErrorKind.InvalidRequest, `there is no route ${truncatePath(context.req.path)}`),
        )
    );
    application.onError((failure, context) => {
        dependencies.logger.error(
            { path: truncatePath(context.req.path), failure: describeUnknown(failure) },
            "request failed",
        );
        return errorResponse(
            context,
            serviceError(ErrorKind.Internal, "an internal error occurred while the request was handled"),
        );
    });
    return application;
}

function truncatePath(path: string): string {
    return path.slice(0, MAXIMUM_PATH_CHARACTERS);
}
