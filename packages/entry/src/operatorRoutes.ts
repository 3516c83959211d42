/** Routes for operators: configuration, status and dump. All require the operator token. */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { type Context, Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { bearerCredential } from "./callerAccess.ts";
import { applyRequestSchema } from "./configurationOperations.ts";
import type { EntryDependencies, RouteDependencies } from "./entryDependencies.ts";
import { errorResponse } from "./errorResponse.ts";
import { readJson } from "./requestBody.ts";

/** Maximum body size of `POST /configuration`. */
const MAXIMUM_FOLDER_BYTES = 16 * 1_048_576;

/** Creates the routes below `/operator`. */
export function operatorRoutes(dependencies: RouteDependencies): Hono {
    const routes = new Hono();
    routes.use("*", async (context, next) => {
        const verified = await dependencies.operators.verify(bearerCredential(context.req.header("authorization")));
        if (verified.isErr()) {
            return errorResponse(context, verified.error);
        }
        await next();
        return undefined;
    });
    routes.get("/configuration", context => {
        const configuration = dependencies.configuration();
        return context.json({
            version: configuration?.version ?? 0,
            ageMilliseconds: Math.round(dependencies.configurationAgeMilliseconds()),
            configuration: configuration === undefined ? undefined : withoutHashes(configuration),
        });
    });
    routes.post("/configuration", async context => {
        const { timers, budget } = dependencies;
        const body = await readJson(
            context,
            { timers, budget, maximumBytes: MAXIMUM_FOLDER_BYTES },
            applyRequestSchema,
        );
        const result = body.isErr() ? body : await dependencies.configurationOperations.apply(body.value);
        return result.match(answer => context.json(answer), error => errorResponse(context, error));
    });
    routes.get("/configuration/spread", async context => {
        const version = readVersion(context);
        if (version.isErr()) {
            return errorResponse(context, version.error);
        }
        return context.json({
            version: version.value,
            failureDomains: await dependencies.configurationOperations.rolloutStatus(version.value),
        });
    });
    routes.get("/status", context => context.json(dependencies.fleetStatus() as object));
    routes.get("/dump", context => {
        try {
            return context.json(dependencies.dumpState() as object);
        }
        catch (failure) {
            const message = `the state could not be dumped: ${describeUnknown(failure)}`;
            return errorResponse(context, serviceError(ErrorKind.Internal, message));
        }
    });
    return routes;
}

function readVersion(context: Context): Result<number, ServiceError> {
    const version = context.req.query("version") ?? "";
    return /^[1-9]\d{0,14}$/.test(version)
        ? ok(Number(version))
        : err(serviceError(ErrorKind.InvalidRequest, "the query parameter version must be a whole number from 1"));
}

/** Removes the salts and hashes of keys, which may leave the process only for the platform's table. */
function withoutHashes(configuration: NonNullable<ReturnType<EntryDependencies["configuration"]>>): unknown {
    const keys = Object.fromEntries(
        Object.entries(configuration.keys).map(([id, { salt: _salt, hash: _hash, ...key }]) => [id, key]),
    );
    return { ...configuration, keys };
}
