/** Decoding of JSON from outside the process with validation by a schema. */
import { describeUnknown } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

/** Decodes UTF-8 JSON and validates it; the error says why the bytes do not match the schema. */
export function decodeJson<Value>(schema: z.ZodType<Value>, bytes: Uint8Array): Result<Value, string> {
    try {
        const parsed = schema.safeParse(JSON.parse(Buffer.from(bytes).toString("utf8")));
        return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
    }
    catch (failure) {
        return err(describeUnknown(failure));
    }
}
