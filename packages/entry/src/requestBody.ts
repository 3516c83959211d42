/** Reads bodies with a bound on their size. */
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";

/** Faults named in one message. */
const MAXIMUM_FAULTS = 5;

/** Reads a body whole, or refuses it with `body_too_large` before it has been read to its end. */
export async function readBody(request: Request, maximumBytes: number): Promise<Result<Uint8Array, ServiceError>> {
    const declared = Number(request.headers.get("content-length") ?? 0);
    if (declared > maximumBytes) {
        return err(tooLarge(maximumBytes));
    }
    const chunks: Uint8Array[] = [];
    let size = 0;
    try {
        for await (const chunk of request.body ?? []) {
            size += chunk.byteLength;
            if (size > maximumBytes) {
                return err(tooLarge(maximumBytes));
            }
            chunks.push(chunk);
        }
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidRequest, `the body could not be read: ${describeUnknown(failure)}`));
    }
    return ok(Buffer.concat(chunks));
}

/** Reads a JSON body and checks it against a schema. */
export async function readJson<Value>(
    request: Request,
    maximumBytes: number,
    schema: z.ZodType<Value>,
): Promise<Result<Value, ServiceError>> {
    const body = await readBody(request, maximumBytes);
    if (body.isErr()) {
        return err(body.error);
    }
    let content: unknown;
    try {
        content = JSON.parse(Buffer.from(body.value).toString("utf8"));
    }
    catch (failure) {
        return err(serviceError(ErrorKind.InvalidRequest, `the body is not JSON: ${describeUnknown(failure)}`));
    }
    const parsed = schema.safeParse(content);
    if (parsed.success) {
        return ok(parsed.data);
    }
    const faults = parsed.error.issues.slice(0, MAXIMUM_FAULTS)
        .map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
    return err(serviceError(ErrorKind.InvalidRequest, faults.join("; ")));
}

function tooLarge(maximumBytes: number): ServiceError {
    return serviceError(ErrorKind.BodyTooLarge, `the body is larger than ${maximumBytes} bytes`);
}
