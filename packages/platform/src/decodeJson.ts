/** JSON from outside of the process, checked by a schema. */
import { describeUnknown } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

/** The error is the reason why the bytes are not what the schema asks for. */
export function decodeJson<Value>(schema: z.ZodType<Value>, bytes: Uint8Array): Result<Value, string> {
    try {
        const parsed = schema.safeParse(JSON.parse(Buffer.from(bytes).toString("utf8")));
        return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
    }
    catch (failure) {
        return err(describeUnknown(failure));
    }
}
