/** Reads request bodies with limits on the size of each, on the time, and on the memory of all bodies together. */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import type { Context } from "hono";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { BodyBudget } from "./bodyBudget.ts";

const MAXIMUM_REPORTED_ISSUES = 5;
const MAXIMUM_ISSUE_CHARACTERS = 200;

const JSON_BODY_TIMEOUT_MILLISECONDS = 30_000;

/** Methods for which the HTTP server gives the application no body. */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(["GET", "HEAD"]);

/** Limits for one body. */
export interface BodyBounds {
    readonly timers: Timers;
    readonly budget: BodyBudget;
    readonly maximumBytes: number;
    readonly timeoutMilliseconds: number;
}

/** A body in memory, whose bytes stay reserved in the budget until it is disposed. */
export class BufferedBody implements Disposable {
    readonly bytes: Uint8Array;
    private readonly budget: BodyBudget;
    private reservedBytes: number;

    constructor(bytes: Uint8Array, budget: BodyBudget, reservedBytes: number) {
        this.bytes = bytes;
        this.budget = budget;
        this.reservedBytes = reservedBytes;
    }

    [Symbol.dispose](): void {
        this.budget.release(this.reservedBytes);
        this.reservedBytes = 0;
    }
}

/**
 * Reads a whole body. Errors: `body_too_large`, without reading it to its end; `overloaded` when other bodies use up
 * the memory budget; `deadline_exceeded`; and `invalid_request` for an incomplete body.
 */
export async function readBody(context: Context, bounds: BodyBounds): Promise<Result<BufferedBody, ServiceError>> {
    const request = context.req.raw;
    const declared = declaredLength(request);
    if ((declared ?? 0) > bounds.maximumBytes) {
        return err(bodyTooLarge(bounds.maximumBytes));
    }
    if (METHODS_WITHOUT_BODY.has(request.method)) {
        const empty = (declared ?? 0) === 0 && !request.headers.has("transfer-encoding");
        return empty
            ? ok(new BufferedBody(new Uint8Array(), bounds.budget, 0))
            : err(serviceError(ErrorKind.InvalidRequest, `a ${request.method} request must not have a body`));
    }
    const chunks: Uint8Array[] = [];
    const read = await readChunks(request, bounds, chunks);
    const size = chunks.reduce((sum, chunk) => sum + chunk.byteLength, 0);
    const buffered = new BufferedBody(read.isOk() ? Buffer.concat(chunks) : new Uint8Array(), bounds.budget, size);
    const incomplete = (declared ?? size) !== size || !isComplete(context);
    if (read.isOk() && !incomplete) {
        return ok(buffered);
    }
    buffered[Symbol.dispose]();
    return err(
        read.isErr() ? read.error : serviceError(ErrorKind.InvalidRequest, `the body is incomplete: got ${size} bytes`),
    );
}

/** Appends the body's chunks to the list. Every chunk in it is reserved in the budget, also after an error. */
async function readChunks(
    request: Request,
    bounds: BodyBounds,
    chunks: Uint8Array[],
): Promise<Result<void, ServiceError>> {
    const reader = request.body?.getReader();
    if (reader === undefined) {
        return ok(undefined);
    }
    let expired = false;
    const deadline = bounds.timers.after(bounds.timeoutMilliseconds, () => {
        expired = true;
        // Ends a pending read. Fails if the connection has been closed already, which does not matter.
        void reader.cancel().catch(() => undefined);
    });
    let remainingBytes = bounds.maximumBytes;
    try {
        for (let part = await reader.read(); !part.done; part = await reader.read()) {
            const chunk = part.value;
            remainingBytes -= chunk.byteLength;
            if (remainingBytes < 0) {
                return err(bodyTooLarge(bounds.maximumBytes));
            }
            if (!bounds.budget.tryReserve(chunk.byteLength)) {
                return err(
                    serviceError(
                        ErrorKind.Overloaded,
                        "the memory budget for request bodies is used up",
                    ),
                );
            }
            chunks.push(chunk);
        }
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidRequest, `the body could not be read: ${describeUnknown(failure)}`));
    }
    finally {
        deadline[Symbol.dispose]();
    }
    return expired
        ? err(serviceError(ErrorKind.DeadlineExceeded, "the body did not arrive before the deadline"))
        : ok(undefined);
}

/** Reads a JSON body and validates it against a schema. */
export async function readJson<Value>(
    context: Context,
    bounds: Omit<BodyBounds, "timeoutMilliseconds">,
    schema: z.ZodType<Value>,
): Promise<Result<Value, ServiceError>> {
    const body = await readBody(context, { ...bounds, timeoutMilliseconds: JSON_BODY_TIMEOUT_MILLISECONDS });
    if (body.isErr()) {
        return err(body.error);
    }
    const content = parseJson(body.value.bytes);
    body.value[Symbol.dispose]();
    if (content.isErr()) {
        return err(content.error);
    }
    const parsed = schema.safeParse(content.value);
    if (parsed.success) {
        return ok(parsed.data);
    }
    const issues = parsed.error.issues.slice(0, MAXIMUM_REPORTED_ISSUES)
        .map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`.slice(0, MAXIMUM_ISSUE_CHARACTERS));
    return err(serviceError(ErrorKind.InvalidRequest, issues.join("; ")));
}

/** Decodes JSON. Errors omit the parsers' messages, since these quote the text, which may contain a key. */
function parseJson(bytes: Uint8Array): Result<unknown, ServiceError> {
    let text: string;
    try {
        text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
    }
    catch {
        return err(serviceError(ErrorKind.InvalidRequest, "the body is not UTF-8"));
    }
    try {
        return ok(JSON.parse(text));
    }
    catch {
        return err(serviceError(ErrorKind.InvalidRequest, "the body is not JSON"));
    }
}

/** Whether the whole body was received; the stream of a chunked body can end normally when its connection breaks. */
function isComplete(context: Context): boolean {
    const { incoming } = (context.env ?? {}) as { readonly incoming?: { readonly complete: boolean; }; };
    return incoming?.complete !== false;
}

function declaredLength(request: Request): number | undefined {
    const header = request.headers.get("content-length") ?? undefined;
    return header === undefined ? undefined : Number(header);
}

function bodyTooLarge(maximumBytes: number): ServiceError {
    return serviceError(ErrorKind.BodyTooLarge, `the body is larger than ${maximumBytes} bytes`);
}
