/**
 * HTTP routes of the stand-in platform.
 */
import type { HttpBindings } from "@hono/node-server";
import { ErrorKind, type ServiceError } from "@tanagerlink/errors";
import {
    PlatformPath,
    type RangeRequest,
    rangeRequestSchema,
    readRequestSchema,
    transactionSchema,
} from "@tanagerlink/platform";
import { type Context, Hono, type Next } from "hono";
import { createHash } from "node:crypto";
import type { z } from "zod";
import type { PlatformParts } from "./platformStandIn.ts";

interface Environment {
    Bindings: HttpBindings;
}

/** @internal Builds the Hono application; all routes exist at the root and below `/from/<failure domain>`. */
export function platformApplication(parts: PlatformParts): Hono<Environment> {
    const routes = new Hono<Environment>();
    addTableRoutes(routes, parts);
    addObjectRoutes(routes, parts);
    addVmListRoute(routes, parts);
    const application = new Hono<Environment>();
    application.use((context, next) => injectFaults(parts, context, next));
    application.route("/", routes);
    application.route("/from/:failureDomain", routes);
    return application;
}

function addTableRoutes(routes: Hono<Environment>, { table }: PlatformParts): void {
    routes.post(PlatformPath.TableRead, async context => {
        const request = await parseBody(context, readRequestSchema);
        return request === undefined ? badRequest(context) : (await table.read(request.key)).match(
            row => context.json({ row }),
            failure => failureResponse(context, failure),
        );
    });
    routes.post(PlatformPath.TableRange, async context => {
        const request = await parseBody(context, rangeRequestSchema);
        return request === undefined ? badRequest(context) : (await table.readRange(request as RangeRequest)).match(
            rows => context.json({ rows }),
            failure => failureResponse(context, failure),
        );
    });
    routes.post(PlatformPath.TableTransact, async context => {
        const request = await parseBody(context, transactionSchema);
        if (request === undefined) {
            return badRequest(context);
        }
        const writes = request.writes.map(write => ({ ...write, value: write.value }));
        return (await table.transact({ ...request, writes })).match(
            answer => context.json(answer),
            failure => failureResponse(context, failure),
        );
    });
}

function addVmListRoute(routes: Hono<Environment>, { vms, counts }: PlatformParts): void {
    routes.get(PlatformPath.VirtualMachines, context => {
        counts.vmListReads++;
        const filter = { role: context.req.query("role"), failureDomain: context.req.query("failure-domain") };
        const text = JSON.stringify(vms.answerRequest(callerFailureDomain(context.req.path), filter));
        if (!vms.offersEntityTags) {
            return context.body(text, 200, { "content-type": "application/json" });
        }
        const entityTag = `"${createHash("sha256").update(text).digest("base64url")}"`;
        if (context.req.header("if-none-match") === entityTag) {
            counts.vmListUnchanged++;
            return new Response(undefined, { status: 304, headers: { etag: entityTag } });
        }
        return context.body(text, 200, { "content-type": "application/json", "etag": entityTag });
    });
}

function addObjectRoutes(routes: Hono<Environment>, { objects, counts }: PlatformParts): void {
    const path = `${PlatformPath.Objects}:name` as const;
    routes.put(path, async context => {
        counts.objectWrites++;
        const content = new Uint8Array(await context.req.arrayBuffer());
        return (await objects.put(context.req.param("name"), content)).match(
            () => context.json({}),
            failure => failureResponse(context, failure),
        );
    });
    routes.delete(path, async context => {
        counts.objectWrites++;
        return (await objects.delete(context.req.param("name"))).match(
            () => context.json({}),
            failure => failureResponse(context, failure),
        );
    });
    routes.get(path, async context => {
        counts.objectReads++;
        return (await objects.get(context.req.param("name"))).match(
            content => content === undefined ? context.notFound() : context.body(Uint8Array.from(content)),
            failure => failureResponse(context, failure),
        );
    });
}

async function injectFaults(parts: PlatformParts, context: Context<Environment>, next: Next): Promise<Response | void> {
    const isWrite = context.req.path.endsWith(PlatformPath.TableTransact) ||
        ["PUT", "DELETE"].includes(context.req.method);
    const outcome = await parts.faults.delayAndChooseOutcome(callerFailureDomain(context.req.path), isWrite);
    if (outcome === "silence") {
        return new Promise(() => {});
    }
    if (outcome === "refuse") {
        return context.json({ message: "The platform is down." }, 503);
    }
    await next();
    if (outcome === "lose_answer") {
        context.env.incoming.socket.destroy();
    }
    if (outcome === "malform_answer") {
        context.res = new Response('{"row":{"key":7}}');
    }
    return undefined;
}

/** Failure domain in the path of a caller that uses `baseUrlFor`; `undefined` for other callers. */
function callerFailureDomain(path: string): string | undefined {
    const failureDomain = /^\/from\/([^/]+)\//.exec(path)?.[1];
    return failureDomain === undefined ? undefined : decodeURIComponent(failureDomain);
}

async function parseBody<Schema extends z.ZodType>(
    context: Context<Environment>,
    schema: Schema,
): Promise<z.infer<Schema> | undefined> {
    const body: unknown = await context.req.json().catch(() => undefined);
    const parsed = schema.safeParse(body);
    return parsed.success ? parsed.data : undefined;
}

function badRequest(context: Context<Environment>): Response {
    return context.json({ message: "The request body does not match the schema." }, 400);
}

function failureResponse(context: Context<Environment>, failure: ServiceError): Response {
    return context.json({ message: failure.message }, failure.kind === ErrorKind.StoreUnavailable ? 503 : 504);
}
