/** The HTTP application of one entry process. */
import { describeUnknown, errorAnswers, ErrorKind, serviceError } from "@tanagerlink/errors";
import { Hono } from "hono";
import { BodyBudget } from "./bodyBudget.ts";
import type { EntryDependencies, RouteDependencies } from "./entryDependencies.ts";
import { ERROR_HEADER, errorResponse } from "./errorAnswer.ts";
import { jobRoutes } from "./jobRoutes.ts";
import { operatorRoutes } from "./operatorRoutes.ts";
import { serviceRoutes } from "./serviceRoutes.ts";

/** Milliseconds in a second. */
const SECOND = 1_000;

/** Characters of a path that are logged or repeated in an answer. */
const MAXIMUM_PATH_CHARACTERS = 200;

/** First path segments that are counted under their own name. */
const ROUTES: ReadonlySet<string> = new Set(["jobs", "services", "operator", "metrics", "live", "ready"]);

/**
 * Creates the application.
 *
 * - `/jobs`, `/services`: callers, with a key.
 * - `/operator`: operators, with their token.
 * - `/live`, `/ready`, `/metrics`: the platform's balancer and monitoring.
 */
export function createApplication(outside: EntryDependencies): Hono {
    const dependencies: RouteDependencies = { ...outside, budget: new BodyBudget(outside.maximumBufferedBytes) };
    const application = new Hono();
    application.use("*", async (context, next) => {
        const beganAt = dependencies.timers.now();
        await next();
        const segment = context.req.path.split("/")[1] ?? "";
        const route = ROUTES.has(segment) ? segment : "other";
        const kind = context.res.headers.get(ERROR_HEADER) ?? "";
        const result = Object.hasOwn(errorAnswers, kind) ? kind : "ok";
        dependencies.metrics.answers.increment({ route, result });
        dependencies.metrics.requestTime.observe((dependencies.timers.now() - beganAt) / SECOND, { route });
    });
    application.get("/live", context => context.json({ live: true }));
    application.get("/ready", context => {
        const ready = dependencies.ready() && dependencies.configuration() !== undefined;
        return context.json({ ready, node: dependencies.node }, ready ? 200 : 503);
    });
    application.get("/metrics", async context => {
        const { contentType, text } = await dependencies.exposition();
        return context.body(text, 200, { "content-type": contentType });
    });
    application.route("/jobs", jobRoutes(dependencies));
    application.route("/services", serviceRoutes(dependencies));
    application.route("/operator", operatorRoutes(dependencies));
    application.notFound(context =>
        errorResponse(
            context,
            serviceError(ErrorKind.InvalidRequest, `there is no route ${shortPath(context.req.path)}`),
        )
    );
    application.onError((failure, context) => {
        dependencies.logger.error(
            { path: shortPath(context.req.path), failure: describeUnknown(failure) },
            "request failed",
        );
        return errorResponse(context, serviceError(ErrorKind.Internal, "the request failed inside the process"));
    });
    return application;
}

function shortPath(path: string): string {
    return path.slice(0, MAXIMUM_PATH_CHARACTERS);
}
