/**
 * One HTTP call with undici, from its dispatch to the complete answer. Undici calls `onRequestStart` before it writes
 * the first byte of a request, so a call that fails earlier was certainly never sent; later the call may have run. An
 * answer is accepted only if it is complete, its end is marked by its framing, and it is within the size bound.
 */
import type { Timers } from "@tanagerlink/timers";
import type { Dispatcher } from "undici";

/** Provable outcome of a call. */
export const CallOutcome = {
    Answered: "answered",
    NotSent: "not_sent",
    Unknown: "unknown",
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** Why a call was never sent. */
export const NotSentCause = {
    Connection: "connection",
    Deadline: "deadline",
    Cancelled: "cancelled",
    Invalid: "invalid",
} as const;
export type NotSentCause = (typeof NotSentCause)[keyof typeof NotSentCause];

/** Header whose values are not joined by commas, since cookies may contain commas and could not be separated. */
const SET_COOKIE = "set-cookie";

/** A complete answer. */
export interface CompleteResponse {
    readonly outcome: typeof CallOutcome.Answered;
    readonly status: number;
    /** Repeated headers are joined by commas, except `set-cookie`. */
    readonly headers: Readonly<Record<string, string>>;
    readonly setCookies: readonly string[];
    readonly body: Uint8Array;
}

export interface CallNotSent {
    readonly outcome: typeof CallOutcome.NotSent;
    readonly cause: NotSentCause;
    readonly reason: string;
}

export interface CallUnknown {
    readonly outcome: typeof CallOutcome.Unknown;
    readonly reason: string;
}

export type CallResult = CompleteResponse | CallNotSent | CallUnknown;

/** One call to one target. */
export interface CallOptions {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | string;
    /** Time within which the call must be sent, and answered unless a longer limit is set. */
    readonly deadlineMilliseconds: number;
    /** Maximum time until the answer of a call that was sent; the deadline if absent. */
    readonly answerTimeoutMilliseconds?: number | undefined;
    /** Maximum time between two parts of the answer; no such limit if absent. */
    readonly idleTimeoutMilliseconds?: number | undefined;
    /** Called for each part of an answer with status 200, its header included. */
    readonly onProgress?: (() => void) | undefined;
    readonly maximumBodyBytes: number;
    readonly signal?: AbortSignal | undefined;
}

type Headers = Record<string, string | string[] | undefined>;

const INVALID_ARGUMENT_CODE = "UND_ERR_INVALID_ARG";

/** Statuses of answers without a body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

class CallHandler implements Dispatcher.DispatchHandler {
    readonly result: Promise<CallResult>;
    private readonly options: CallOptions;
    private settle!: (result: CallResult) => void;
    private controller: Dispatcher.DispatchController | undefined;
    private isSettled = false;
    private status = 0;
    private headers: Headers = {};
    private readonly chunks: Buffer[] = [];
    private size = 0;
    private readonly timers: Timers;
    private lastProgressAt = 0;

    constructor(options: CallOptions, timers: Timers) {
        this.options = options;
        this.timers = timers;
        this.result = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.isSettled || this.controller !== undefined) {
            // The call ended while it waited for a connection, or undici retries it: nothing must be written.
            controller.abort(new Error("the call has already ended or was already sent"));
            return;
        }
        this.controller = controller;
        this.lastProgressAt = this.timers.now();
    }

    onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Headers): void {
        if (status < 200) {
            return;
        }
        this.status = status;
        this.headers = headers;
        this.recordProgress();
        if (Number(headers["content-length"] ?? 0) > this.options.maximumBodyBytes && this.hasBody()) {
            this.abandon(`the answer is larger than ${this.options.maximumBodyBytes} bytes`);
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.size += chunk.byteLength;
        if (this.size > this.options.maximumBodyBytes) {
            this.abandon(`the answer is larger than ${this.options.maximumBodyBytes} bytes`);
            return;
        }
        this.chunks.push(chunk);
        this.recordProgress();
    }

    onResponseEnd(): void {
        const framingError = this.framingError();
        if (framingError !== undefined) {
            this.finish({ outcome: CallOutcome.Unknown, reason: framingError });
            return;
        }
        const body = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
        const { [SET_COOKIE]: cookies = [], ...headers } = this.headers;
        const setCookies = [cookies].flat();
        this.finish({
            outcome: CallOutcome.Answered,
            status: this.status,
            headers: joinHeaders(headers),
            setCookies,
            body,
        });
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        if (this.controller !== undefined) {
            this.finish({ outcome: CallOutcome.Unknown, reason: error.message });
            return;
        }
        const code = (error as { code?: unknown; }).code;
        const cause = code === INVALID_ARGUMENT_CODE ? NotSentCause.Invalid : NotSentCause.Connection;
        this.finish({ outcome: CallOutcome.NotSent, cause, reason: error.message });
    }

    get isSent(): boolean {
        return this.controller !== undefined;
    }

    /** Milliseconds until the idle timeout. */
    remainingIdleMilliseconds(): number {
        return this.lastProgressAt + (this.options.idleTimeoutMilliseconds ?? 0) - this.timers.now();
    }

    private recordProgress(): void {
        this.lastProgressAt = this.timers.now();
        if (this.status === 200) {
            this.options.onProgress?.();
        }
    }

    /** Ends the call before its answer is complete. */
    abort(cause: NotSentCause): void {
        if (this.controller === undefined) {
            this.finish({ outcome: CallOutcome.NotSent, cause, reason: `the call ended before it was sent: ${cause}` });
            return;
        }
        this.abandon(`no complete answer before the end of the call: ${cause}`);
    }

    private abandon(reason: string): void {
        if (this.isSettled) {
            return;
        }
        this.finish({ outcome: CallOutcome.Unknown, reason });
        this.controller?.abort(new Error(reason));
    }

    private finish(result: CallResult): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.settle(result);
        }
    }

    private hasBody(): boolean {
        return this.options.method !== "HEAD" && !BODILESS_STATUSES.includes(this.status);
    }

    /** Without a length or chunks the end of an answer cannot be distinguished from a broken connection. */
    private framingError(): string | undefined {
        if (!this.hasBody()) {
            return undefined;
        }
        const length = this.headers["content-length"];
        const chunked = String(this.headers["transfer-encoding"] ?? "").toLowerCase().endsWith("chunked");
        if (length === undefined && !chunked) {
            return "the answer has neither a content length nor chunks, so that its end cannot be detected";
        }
        if (length !== undefined && !chunked && Number(length) !== this.size) {
            return `the answer has ${this.size} of ${Number(length)} announced bytes`;
        }
        return undefined;
    }
}

function joinHeaders(headers: Headers): Record<string, string> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            flat[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}

/** Makes one call and waits for its end, at most until its time limits. */
export async function sendCall(dispatcher: Dispatcher, timers: Timers, options: CallOptions): Promise<CallResult> {
    if (options.signal?.aborted === true) {
        return { outcome: CallOutcome.NotSent, cause: NotSentCause.Cancelled, reason: "the call was cancelled" };
    }
    const handler = new CallHandler(options, timers);
    const cancel = (): void => handler.abort(NotSentCause.Cancelled);
    options.signal?.addEventListener("abort", cancel, { once: true });
    const callTimer = startCallTimer(handler, timers, options);
    try {
        dispatcher.dispatch({
            method: options.method as Dispatcher.HttpMethod,
            path: options.path,
            headers: options.headers,
            ...options.body.length === 0 ? {} : { body: options.body },
            // The call timer replaces the timeouts of undici.
            headersTimeout: 0,
            bodyTimeout: 0,
        }, handler);
    }
    catch (failure) {
        handler.onResponseError(undefined as never, failure as Error);
    }
    try {
        return await handler.result;
    }
    finally {
        callTimer[Symbol.dispose]();
        options.signal?.removeEventListener("abort", cancel);
    }
}

/** Ends a call that was not sent by its deadline, or a sent one when its answer or idle timeout expires. */
function startCallTimer(handler: CallHandler, timers: Timers, options: CallOptions): Disposable {
    const end = timers.now() + Math.max(options.deadlineMilliseconds, options.answerTimeoutMilliseconds ?? 0);
    let timer = timers.after(options.deadlineMilliseconds, check);
    function check(): void {
        const remainingMilliseconds = end - timers.now();
        const delayMilliseconds = options.idleTimeoutMilliseconds === undefined
            ? remainingMilliseconds
            : Math.min(remainingMilliseconds, handler.remainingIdleMilliseconds());
        if (handler.isSent && delayMilliseconds > 0) {
            timer = timers.after(delayMilliseconds, check);
        }
        else {
            handler.abort(NotSentCause.Deadline);
        }
    }
    return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}
