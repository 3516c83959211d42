/**
 * HTTP client of the platform: a bounded connection pool with a time limit on each call. A call that times out closes
 * its connection, so that an unresponsive connection is replaced by a new one.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import type { IncomingHttpHeaders } from "node:http";
import { type Dispatcher, Pool } from "undici";

/** Connections per adapter unless the caller sets another number. */
export const DEFAULT_PLATFORM_CONNECTIONS = 8;

/** Calls per adapter that may be waiting for a connection or a response; further calls fail immediately. */
const MAXIMUM_PENDING_CALLS = 4096;

const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Error codes of connections that could not be established, so the request was certainly not sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Options of the platform's HTTP adapters. */
export interface HttpPlatformOptions {
    /** Base URL of the platform, with or without a path. */
    readonly baseUrl: string;
    readonly timers: Timers;
    /** Time limit of one call, including the wait for a free connection. */
    readonly callTimeoutMilliseconds: number;
    readonly connections?: number;
    /** Certificate authorities in PEM that replace the public ones for an https URL. */
    readonly authority?: string | undefined;
}

/**
 * Outcome of one HTTP exchange. `sent: false` guarantees that the platform did not receive the request.
 */
export type HttpExchange =
    | {
        readonly answered: true;
        readonly status: number;
        readonly entityTag: string | undefined;
        readonly body: Uint8Array;
    }
    | { readonly answered: false; readonly sent: boolean; readonly reason: string; };

/** Client for HTTP calls to one base URL. */
export class HttpPlatformClient implements AsyncDisposable {
    private readonly options: HttpPlatformOptions;
    private readonly timers: Timers;
    private readonly timeoutMilliseconds: number;
    private baseUrl: string;
    private pathPrefix: string;
    private pool: Pool;
    private pendingCalls = 0;

    constructor(options: HttpPlatformOptions) {
        const url = new URL(options.baseUrl);
        this.options = options;
        this.baseUrl = options.baseUrl;
        this.timers = options.timers;
        this.timeoutMilliseconds = options.callTimeoutMilliseconds;
        this.pathPrefix = pathPrefixOf(url);
        this.pool = this.createPool(url);
    }

    /** Sends further calls to another base URL. Calls in flight end at the previous one. */
    setBaseUrl(baseUrl: string): void {
        if (baseUrl === this.baseUrl) {
            return;
        }
        const url = new URL(baseUrl);
        const previous = this.pool;
        this.baseUrl = baseUrl;
        this.pathPrefix = pathPrefixOf(url);
        this.pool = this.createPool(url);
        void previous.close();
    }

    /** Sends one request and reads the whole response. Never throws. */
    async exchange(
        method: "GET" | "POST" | "PUT" | "DELETE",
        path: string,
        body?: Uint8Array,
        headers: Readonly<Record<string, string>> = {},
        /** Time limit of this call; by default that of the client. */
        timeoutMilliseconds = this.timeoutMilliseconds,
    ): Promise<HttpExchange> {
        if (this.pendingCalls >= MAXIMUM_PENDING_CALLS) {
            return {
                answered: false,
                sent: false,
                reason: `${this.pendingCalls} calls to the platform are already pending`,
            };
        }
        this.pendingCalls++;
        const { promise, resolve } = createDeferred();
        const collector = new ResponseCollector(resolve);
        const timer = this.timers.after(
            timeoutMilliseconds,
            () => collector.abort(new Error(`the call timed out after ${timeoutMilliseconds} ms`)),
        );
        try {
            this.pool.dispatch({ method, path: this.pathPrefix + path, headers, body: body ?? "" }, collector);
            return await promise;
        }
        catch (failure) {
            // Invalid arguments are found before anything is sent.
            return { answered: false, sent: false, reason: describeUnknown(failure) };
        }
        finally {
            this.pendingCalls--;
            timer[Symbol.dispose]();
        }
    }

    /** Sends `request` as JSON in a POST request. */
    post(
        path: string,
        request: unknown,
        headers: Readonly<Record<string, string>> = {},
        timeoutMilliseconds = this.timeoutMilliseconds,
    ): Promise<HttpExchange> {
        return this.exchange("POST", path, Buffer.from(JSON.stringify(request)), headers, timeoutMilliseconds);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.pool.destroy();
    }

    private createPool(url: URL): Pool {
        const { connections, callTimeoutMilliseconds, authority } = this.options;
        return new Pool(url.origin, {
            connections: connections ?? DEFAULT_PLATFORM_CONNECTIONS,
            pipelining: 1,
            maxResponseSize: MAXIMUM_RESPONSE_BYTES,
            // The time limit of each call replaces the limits of the library.
            headersTimeout: 0,
            bodyTimeout: 0,
            connectTimeout: callTimeoutMilliseconds,
            ...(authority === undefined ? {} : { connect: { ca: authority } }),
        });
    }
}

function pathPrefixOf(url: URL): string {
    return url.pathname.replace(/\/+$/, "");
}

interface Deferred {
    readonly promise: Promise<HttpExchange>;
    readonly resolve: (exchange: HttpExchange) => void;
}

function createDeferred(): Deferred {
    let resolve: Deferred["resolve"] = () => undefined;
    const promise = new Promise<HttpExchange>(settle => resolve = settle);
    return { promise, resolve };
}

/**
 * Collects the response to one request. It receives the events of undici's dispatcher directly, since a stream and an
 * abort signal for each call take more processor time than the small calls themselves.
 */
class ResponseCollector implements Dispatcher.DispatchHandler {
    private readonly settle: (exchange: HttpExchange) => void;
    private controller: Dispatcher.DispatchController | undefined;
    private abortReason: Error | undefined;
    private status = 0;
    private entityTag: string | undefined;
    private readonly chunks: Uint8Array[] = [];

    constructor(settle: (exchange: HttpExchange) => void) {
        this.settle = settle;
    }

    /** Gives the request up. One that still waits for a connection is certainly not sent any more. */
    abort(reason: Error): void {
        this.abortReason = reason;
        if (this.controller === undefined) {
            this.settle({ answered: false, sent: false, reason: reason.message });
        }
        else {
            this.controller.abort(reason);
        }
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.abortReason !== undefined) {
            controller.abort(this.abortReason);
        }
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        statusCode: number,
        { etag }: IncomingHttpHeaders,
    ): void {
        this.status = statusCode;
        this.entityTag = typeof etag === "string" ? etag : undefined;
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
        this.chunks.push(chunk);
    }

    onResponseEnd(): void {
        const [first = new Uint8Array()] = this.chunks;
        const body = this.chunks.length > 1 ? Buffer.concat(this.chunks) : first;
        this.settle({ answered: true, status: this.status, entityTag: this.entityTag, body });
    }

    onResponseError(_controller: Dispatcher.DispatchController, failure: Error): void {
        this.settle({ answered: false, sent: !isConnectionFailure(failure), reason: describeUnknown(failure) });
    }
}

function isConnectionFailure(failure: unknown): boolean {
    const code = failure instanceof Error && "code" in failure ? failure.code : undefined;
    return typeof code === "string" && NOT_CONNECTED_CODES.has(code);
}
