/**
 * One bounded pool of HTTP connections to the platform with a time limit on each call. A call that times out closes
 * its connection, so a connection that has gone silent is replaced by a new one.
 */
import { describeUnknown } from "@tanagerlink/errors";
import type { Timers } from "@tanagerlink/timers";
import { Pool } from "undici";

/** Connections per adapter, when the caller sets no other number. */
export const DEFAULT_PLATFORM_CONNECTIONS = 8;

/** Calls that may wait for a connection or an answer per adapter; further calls fail at once. */
const MAXIMUM_PENDING_CALLS = 4096;

const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/** Error codes of connections that were never established, so that the request cannot have been sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** How an HTTP adapter of the platform reaches it. */
export interface HttpPlatformOptions {
    /** Base URL of the platform, with or without a path. */
    readonly baseUrl: string;
    readonly timers: Timers;
    /** Longest time one call may take, including the wait for a free connection. */
    readonly callTimeoutMilliseconds: number;
    readonly connections?: number;
    /** PEM text of the authorities of an https address, in place of the public ones. */
    readonly authority?: string | undefined;
}

/**
 * Outcome of one HTTP exchange. `sent: false` guarantees that the platform did not see the request.
 */
export type HttpExchange =
    | {
        readonly answered: true;
        readonly status: number;
        readonly entityTag: string | undefined;
        readonly body: Uint8Array;
    }
    | { readonly answered: false; readonly sent: boolean; readonly reason: string; };

/** Calls of one outside system. */
export class HttpPlatformClient implements AsyncDisposable {
    private readonly timers: Timers;
    private readonly timeout: number;
    private readonly pathPrefix: string;
    private readonly pool: Pool;
    private pending = 0;

    constructor(options: HttpPlatformOptions) {
        const url = new URL(options.baseUrl);
        this.timers = options.timers;
        this.timeout = options.callTimeoutMilliseconds;
        this.pathPrefix = url.pathname.replace(/\/+$/, "");
        this.pool = new Pool(url.origin, {
            connections: options.connections ?? DEFAULT_PLATFORM_CONNECTIONS,
            pipelining: 1,
            maxResponseSize: MAXIMUM_ANSWER_BYTES,
            // The per-call limit below replaces the library's own limits.
            headersTimeout: 0,
            bodyTimeout: 0,
            connectTimeout: options.callTimeoutMilliseconds,
            ...(options.authority === undefined ? {} : { connect: { ca: options.authority } }),
        });
    }

    /** Sends one request and reads the whole answer. Never throws. */
    async exchange(
        method: "GET" | "POST" | "PUT" | "DELETE",
        path: string,
        body?: Uint8Array,
        headers: Readonly<Record<string, string>> = {},
        /** Limit of this call in place of the client's. */
        timeoutMilliseconds = this.timeout,
    ): Promise<HttpExchange> {
        if (this.pending >= MAXIMUM_PENDING_CALLS) {
            return { answered: false, sent: false, reason: "too many calls to the platform are pending" };
        }
        const abort = new AbortController();
        const limit = this.timers.after(timeoutMilliseconds, () => abort.abort(new Error("the call timed out")));
        this.pending++;
        try {
            const answer = await this.pool.request({
                method,
                path: this.pathPrefix + path,
                headers,
                body: body ?? "",
                signal: abort.signal,
            });
            const { etag } = answer.headers;
            const entityTag = typeof etag === "string" ? etag : undefined;
            return { answered: true, status: answer.statusCode, entityTag, body: await answer.body.bytes() };
        }
        catch (failure) {
            return { answered: false, sent: !neverConnected(failure), reason: describeUnknown(failure) };
        }
        finally {
            this.pending--;
            limit[Symbol.dispose]();
        }
    }

    /** Sends `request` as JSON. */
    post(
        path: string,
        request: unknown,
        headers: Readonly<Record<string, string>> = {},
        timeoutMilliseconds = this.timeout,
    ): Promise<HttpExchange> {
        return this.exchange("POST", path, Buffer.from(JSON.stringify(request)), headers, timeoutMilliseconds);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.pool.destroy();
    }
}

function neverConnected(failure: unknown): boolean {
    const code = failure instanceof Error && "code" in failure ? failure.code : undefined;
    return typeof code === "string" && NOT_CONNECTED_CODES.has(code);
}
