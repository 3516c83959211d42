/** Rows of non-idempotent requests with an idempotency key. */
import type { ServiceAnswer } from "@tanagerlink/model";
import * as z from "zod";

const answerSchema = z.object({
    requestId: z.string(),
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    setCookies: z.array(z.string()).exactOptional(),
    /** Body in base64, unless it is kept as an object. */
    body: z.string().exactOptional(),
    object: z.string().exactOptional(),
    executor: z.string(),
    shard: z.string(),
    attempts: z.int(),
});

/** Answer as it stands in the row. */
export type StoredAnswer = z.infer<typeof answerSchema>;

export const requestRowSchema = z.object({
    requestId: z.string(),
    digest: z.string(),
    /** Wall-clock milliseconds of the first try, for pruning. */
    sentAt: z.number(),
    answer: answerSchema.exactOptional(),
});

/** Value of `request/<team>/<key>`. */
export type RequestRowValue = z.infer<typeof requestRowSchema>;

/** What the beginning of a request with an idempotency key found. */
export const RequestBegin = {
    /** No earlier request: it may be sent now. */
    Fresh: "fresh",
    /** The earlier request was answered. */
    Answered: "answered",
    /** An earlier request was sent and its answer is not known (yet). */
    Sent: "sent",
} as const;
export type RequestBegin = (typeof RequestBegin)[keyof typeof RequestBegin];

/** The answer without its body, in the form of the row. */
export function storedAnswer(answer: ServiceAnswer, object: string | undefined): StoredAnswer {
    const { body, headers, setCookies, ...rest } = answer;
    return {
        ...rest,
        ...(setCookies === undefined ? {} : { setCookies: [...setCookies] }),
        headers: { ...headers },
        ...(object === undefined ? { body: Buffer.from(body).toString("base64") } : { object }),
    };
}
