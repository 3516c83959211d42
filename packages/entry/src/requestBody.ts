/** Reads bodies with a bound on their size, their time and the memory of all bodies together. */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import type { Context } from "hono";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { BodyBudget } from "./bodyBudget.ts";

/** Faults named in one message, and characters of each. */
const MAXIMUM_FAULTS = 5;
const MAXIMUM_FAULT_CHARACTERS = 200;

/** Longest time for sending a JSON body, in milliseconds. */
const JSON_MILLISECONDS = 30_000;

/** Methods whose body the HTTP server does not hand over. */
const WITHOUT_BODY: ReadonlySet<string> = new Set(["GET", "HEAD"]);

/** Bounds on one body. */
export interface BodyBounds {
    readonly timers: Timers;
    readonly budget: BodyBudget;
    readonly maximumBytes: number;
    readonly withinMilliseconds: number;
}

/** A body whose memory counts in the budget until it is disposed. */
export class HeldBody implements Disposable {
    readonly bytes: Uint8Array;
    private readonly budget: BodyBudget;
    private taken: number;

    constructor(bytes: Uint8Array, budget: BodyBudget, taken: number) {
        this.bytes = bytes;
        this.budget = budget;
        this.taken = taken;
    }

    [Symbol.dispose](): void {
        this.budget.release(this.taken);
        this.taken = 0;
    }
}

/**
 * Reads a body whole. Errors: `body_too_large` before it has been read to its end, `overloaded` when other bodies take
 * the memory, `deadline_exceeded`, and `invalid_request` for a body that ends early.
 */
export async function readBody(context: Context, bounds: BodyBounds): Promise<Result<HeldBody, ServiceError>> {
    const request = context.req.raw;
    const declared = declaredLength(request);
    if ((declared ?? 0) > bounds.maximumBytes) {
        return err(tooLarge(bounds.maximumBytes));
    }
    if (WITHOUT_BODY.has(request.method)) {
        const empty = (declared ?? 0) === 0 && !request.headers.has("transfer-encoding");
        return empty
            ? ok(new HeldBody(new Uint8Array(), bounds.budget, 0))
            : err(serviceError(ErrorKind.InvalidRequest, `a ${request.method} request must not have a body`));
    }
    const chunks: Uint8Array[] = [];
    const read = await readChunks(request, bounds, chunks);
    const size = chunks.reduce((sum, chunk) => sum + chunk.byteLength, 0);
    const held = new HeldBody(read.isOk() ? Buffer.concat(chunks) : new Uint8Array(), bounds.budget, size);
    const early = (declared ?? size) !== size || !isComplete(context);
    if (read.isOk() && !early) {
        return ok(held);
    }
    held[Symbol.dispose]();
    return err(read.isErr() ? read.error : serviceError(ErrorKind.InvalidRequest, "the body ended early"));
}

/** Collects the chunks. Each chunk in the list has been taken from the budget, also after an error. */
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
    const deadline = bounds.timers.after(bounds.withinMilliseconds, () => {
        expired = true;
        // A pending read ends; the connection may be closed already.
        void reader.cancel().catch(() => undefined);
    });
    let left = bounds.maximumBytes;
    try {
        for (let part = await reader.read(); !part.done; part = await reader.read()) {
            const chunk = part.value;
            left -= chunk.byteLength;
            if (left < 0) {
                return err(tooLarge(bounds.maximumBytes));
            }
            if (!bounds.budget.tryTake(chunk.byteLength)) {
                return err(serviceError(ErrorKind.Overloaded, "the bodies of other calls take all memory for bodies"));
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

/** Reads a JSON body and checks it against a schema. */
export async function readJson<Value>(
    context: Context,
    bounds: Omit<BodyBounds, "withinMilliseconds">,
    schema: z.ZodType<Value>,
): Promise<Result<Value, ServiceError>> {
    const body = await readBody(context, { ...bounds, withinMilliseconds: JSON_MILLISECONDS });
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
    const faults = parsed.error.issues.slice(0, MAXIMUM_FAULTS)
        .map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`.slice(0, MAXIMUM_FAULT_CHARACTERS));
    return err(serviceError(ErrorKind.InvalidRequest, faults.join("; ")));
}

/** The messages of the parsers are left out: they quote the text, which may hold a key. */
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

/** The stream of a chunked body whose connection broke may end like that of a whole one. */
function isComplete(context: Context): boolean {
    const { incoming } = (context.env ?? {}) as { readonly incoming?: { readonly complete: boolean; }; };
    return incoming?.complete !== false;
}

function declaredLength(request: Request): number | undefined {
    const header = request.headers.get("content-length") ?? undefined;
    return header === undefined ? undefined : Number(header);
}

function tooLarge(maximumBytes: number): ServiceError {
    return serviceError(ErrorKind.BodyTooLarge, `the body is larger than ${maximumBytes} bytes`);
}
