/** Table rows of non-idempotent requests with an idempotency key. */
import type { ServiceResponse } from "@tanagerlink/model";
import * as z from "zod";

const responseSchema = z.object({
    requestId: z.string(),
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    setCookies: z.array(z.string()).exactOptional(),
    /** Body in base64; absent if it is in the object store. */
    body: z.string().exactOptional(),
    /** Name of the body in the object store. */
    object: z.string().exactOptional(),
    executor: z.string(),
    shard: z.string(),
    attempts: z.int(),
});

/** Response as it is stored in the row. */
export type StoredResponse = z.infer<typeof responseSchema>;

export const requestRowSchema = z.object({
    requestId: z.string(),
    digest: z.string(),
    /** Wall-clock time in milliseconds at which the request was recorded, for pruning. */
    sentAt: z.number(),
    answer: responseSchema.exactOptional(),
});

/** Value of `request/<team>/<key>`. */
export type RequestRowValue = z.infer<typeof requestRowSchema>;

/** Result of beginning a request with an idempotency key. */
export const RequestBegin = {
    /** There is no earlier request with the key: the request may be sent now. */
    Fresh: "fresh",
    /** An earlier request with the key was answered. */
    Answered: "answered",
    /** An earlier request with the key was sent, and its answer is not recorded yet, or never will be. */
    Sent: "sent",
} as const;
export type RequestBegin = (typeof RequestBegin)[keyof typeof RequestBegin];

/** Converts a response to its stored form; `object` names the body in the object store, if it is kept there. */
export function toStoredResponse(response: ServiceResponse, object: string | undefined): StoredResponse {
    const { body, headers, setCookies, ...rest } = response;
    return {
        ...rest,
        ...(setCookies === undefined ? {} : { setCookies: [...setCookies] }),
        headers: { ...headers },
        ...(object === undefined ? { body: Buffer.from(body).toString("base64") } : { object }),
    };
}
