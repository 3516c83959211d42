/**
 * One HTTP call with undici, from dispatch to the whole answer. Undici's `onRequestStart` runs before the first byte
 * of a request is written, so a call that fails before it was certainly never sent. After it the call may have run.
 * An answer counts only when it is complete, framed and within the size bound.
 */
import type { Timers } from "@tanagerlink/timers";
import type { Dispatcher } from "undici";

/** Result of a call as far as it can be proved. */
export const CallEnd = {
    Answered: "answered",
    NotSent: "not_sent",
    Unknown: "unknown",
} as const;
export type CallEnd = (typeof CallEnd)[keyof typeof CallEnd];

/** Why a call was never sent. */
export const NotSentCause = {
    Connection: "connection",
    Deadline: "deadline",
    Cancelled: "cancelled",
    Invalid: "invalid",
} as const;
export type NotSentCause = (typeof NotSentCause)[keyof typeof NotSentCause];

/** Cookies may contain commas, so that joined ones can't be told apart. */
const SET_COOKIE = "set-cookie";

/** A complete answer. */
export interface WholeAnswer {
    readonly end: typeof CallEnd.Answered;
    readonly status: number;
    /** Repeated headers are joined by commas, except `set-cookie`. */
    readonly headers: Readonly<Record<string, string>>;
    readonly setCookies: readonly string[];
    readonly body: Uint8Array;
}

export interface CallNotSent {
    readonly end: typeof CallEnd.NotSent;
    readonly cause: NotSentCause;
    readonly reason: string;
}

export interface CallUnknown {
    readonly end: typeof CallEnd.Unknown;
    readonly reason: string;
}

export type CallResult = WholeAnswer | CallNotSent | CallUnknown;

/** One call to one target. */
export interface CallOptions {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | string;
    /** Time until which the call must be sent. */
    readonly deadlineMilliseconds: number;
    /** Longest wait for the answer of a call that was sent; the deadline when absent. */
    readonly answerMilliseconds?: number | undefined;
    /** Longest time without any part of the answer; without it only `answerMilliseconds` counts. */
    readonly silenceMilliseconds?: number | undefined;
    /** Called with each part of a successful answer, its header included. */
    readonly onProgress?: (() => void) | undefined;
    readonly maximumBodyBytes: number;
    readonly signal?: AbortSignal | undefined;
}

type Headers = Record<string, string | string[] | undefined>;

const INVALID_ARGUMENT = "UND_ERR_INVALID_ARG";

/** Statuses whose answers never have a body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];

class CallHandler implements Dispatcher.DispatchHandler {
    readonly result: Promise<CallResult>;
    private readonly options: CallOptions;
    private settle!: (result: CallResult) => void;
    private controller: Dispatcher.DispatchController | undefined;
    private settled = false;
    private status = 0;
    private headers: Headers = {};
    private readonly chunks: Buffer[] = [];
    private size = 0;
    private readonly timers: Timers;
    private progressAt = 0;

    constructor(options: CallOptions, timers: Timers) {
        this.options = options;
        this.timers = timers;
        this.result = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.settled || this.controller !== undefined) {
            // Given up while it waited for a connection, or undici sends it a second time: nothing is written.
            controller.abort(new Error("the call is over"));
            return;
        }
        this.controller = controller;
        this.progressAt = this.timers.now();
    }

    onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Headers): void {
        if (status < 200) {
            return;
        }
        this.status = status;
        this.headers = headers;
        this.noteProgress();
        if (Number(headers["content-length"] ?? 0) > this.options.maximumBodyBytes && this.hasBody()) {
            this.abandon("the answer is larger than the maximum body size");
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.size += chunk.byteLength;
        if (this.size > this.options.maximumBodyBytes) {
            this.abandon("the answer is larger than the maximum body size");
            return;
        }
        this.chunks.push(chunk);
        this.noteProgress();
    }

    onResponseEnd(): void {
        const fault = this.framingFault();
        if (fault !== undefined) {
            this.finish({ end: CallEnd.Unknown, reason: fault });
            return;
        }
        const body = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
        const { [SET_COOKIE]: cookies = [], ...headers } = this.headers;
        const setCookies = [cookies].flat();
        this.finish({ end: CallEnd.Answered, status: this.status, headers: flatten(headers), setCookies, body });
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        if (this.controller !== undefined) {
            this.finish({ end: CallEnd.Unknown, reason: error.message });
            return;
        }
        const code = (error as { code?: unknown; }).code;
        const cause = code === INVALID_ARGUMENT ? NotSentCause.Invalid : NotSentCause.Connection;
        this.finish({ end: CallEnd.NotSent, cause, reason: error.message });
    }

    get sent(): boolean {
        return this.controller !== undefined;
    }

    /** Milliseconds until the silence has lasted too long. */
    silenceLeft(): number {
        return this.progressAt + (this.options.silenceMilliseconds ?? 0) - this.timers.now();
    }

    private noteProgress(): void {
        this.progressAt = this.timers.now();
        if (this.status === 200) {
            this.options.onProgress?.();
        }
    }

    /** Ends the call from this side. */
    giveUp(cause: NotSentCause): void {
        if (this.controller === undefined) {
            this.finish({ end: CallEnd.NotSent, cause, reason: `the call ended before it was sent: ${cause}` });
            return;
        }
        this.abandon(`no whole answer before the end of the call: ${cause}`);
    }

    private abandon(reason: string): void {
        if (this.settled) {
            return;
        }
        this.finish({ end: CallEnd.Unknown, reason });
        this.controller?.abort(new Error(reason));
    }

    private finish(result: CallResult): void {
        if (!this.settled) {
            this.settled = true;
            this.settle(result);
        }
    }

    private hasBody(): boolean {
        return this.options.method !== "HEAD" && !BODILESS_STATUSES.includes(this.status);
    }

    /** Without a length or chunks the end of an answer can't be told from a broken connection. */
    private framingFault(): string | undefined {
        if (!this.hasBody()) {
            return undefined;
        }
        const length = this.headers["content-length"];
        const chunked = String(this.headers["transfer-encoding"] ?? "").toLowerCase().endsWith("chunked");
        if (length === undefined && !chunked) {
            return "the answer has neither a content length nor chunks, so its end is not provable";
        }
        if (length !== undefined && !chunked && Number(length) !== this.size) {
            return "the answer does not have its announced length";
        }
        return undefined;
    }
}

function flatten(headers: Headers): Record<string, string> {
    const flat: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined) {
            flat[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return flat;
}

/** Makes one call and waits for its end, at most for its deadline. */
export async function wholeCall(dispatcher: Dispatcher, timers: Timers, options: CallOptions): Promise<CallResult> {
    if (options.signal?.aborted === true) {
        return { end: CallEnd.NotSent, cause: NotSentCause.Cancelled, reason: "the call was cancelled" };
    }
    const handler = new CallHandler(options, timers);
    const cancel = (): void => handler.giveUp(NotSentCause.Cancelled);
    options.signal?.addEventListener("abort", cancel, { once: true });
    const limit = limitCall(handler, timers, options);
    try {
        dispatcher.dispatch({
            method: options.method as Dispatcher.HttpMethod,
            path: options.path,
            headers: options.headers,
            ...options.body.length === 0 ? {} : { body: options.body },
            // The deadline above replaces the time-outs of undici.
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
        limit[Symbol.dispose]();
        options.signal?.removeEventListener("abort", cancel);
    }
}

/** Gives the call up at its deadline when it was not sent, and later at the end of the longer limits. */
function limitCall(handler: CallHandler, timers: Timers, options: CallOptions): Disposable {
    const end = timers.now() + Math.max(options.deadlineMilliseconds, options.answerMilliseconds ?? 0);
    let timer = timers.after(options.deadlineMilliseconds, check);
    function check(): void {
        const left = end - timers.now();
        const wait = options.silenceMilliseconds === undefined ? left : Math.min(left, handler.silenceLeft());
        if (handler.sent && wait > 0) {
            timer = timers.after(wait, check);
        }
        else {
            handler.giveUp(NotSentCause.Deadline);
        }
    }
    return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}
