/** The HTTP(S) server of one process. Tracks requests in flight and responds to requests that are not valid HTTP. */
import { getRequestListener } from "@hono/node-server";
import { createTlsServer, type CredentialSource, type TlsServer } from "@tanagerlink/certificates";
import { describeUnknown, errorAnswers, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { createServer, type RequestListener, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { ERROR_HEADER, errorBody, OUTCOME_HEADER } from "./errorResponse.ts";
import { RefusableCalls } from "./refusableCalls.ts";

/** Interval at which a drain checks for requests in flight. */
const DRAIN_POLL_MILLISECONDS = 20;

/** Time for accepting the connections that have arrived before the server stops listening. */
const BACKLOG_MILLISECONDS = 500;

/** Time for sending the refusals of requests that are still in flight when the server is disposed of. */
const REFUSAL_WRITE_MILLISECONDS = 250;

/** Time within which a caller must have sent the headers of a request. */
const HEADERS_TIMEOUT_MILLISECONDS = 10_000;

/** Interval at which the server checks for callers that do not read their response. */
const SLOW_READER_POLL_MILLISECONDS = 1_000;

export interface HttpServerOptions {
    /** `ip:port`; port 0 picks a free one. */
    readonly address: string;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Idle time after which a keep-alive connection is closed. */
    readonly keepAliveMilliseconds: number;
    /** Time within which a caller must have read its response; after it, the connection is closed. */
    readonly answerMilliseconds: number;
    /** Certificate and key. With them the server accepts HTTPS only, without them HTTP. */
    readonly credentials?: CredentialSource | undefined;
}

/** A listening HTTP or HTTPS server. */
export class HttpServer implements AsyncDisposable {
    private readonly server: Server;
    private readonly options: HttpServerOptions;
    /** Responses in flight. The value is the time from which the caller could read the response, if it has begun. */
    private readonly responses = new Map<ServerResponse, number | undefined>();
    private readonly slowReaderPoll: Disposable;
    private readonly calls: RefusableCalls;
    private readonly destroyConnections: () => void;
    private acceptedConnections = 0;
    /** Resolves when the server no longer accepts connections; `undefined` until it is to stop. */
    private listeningEnd: Promise<void> | undefined;
    private closesAfterResponses = false;
    private readonly closed: Promise<void>;
    /** `ip:port` */
    readonly address: string;

    private constructor(
        { server, destroyConnections }: NodeServer,
        calls: RefusableCalls,
        options: HttpServerOptions,
    ) {
        this.server = server;
        this.calls = calls;
        this.destroyConnections = destroyConnections;
        this.options = options;
        const { address, port, family } = server.address() as AddressInfo;
        this.address = family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
        server.on(
            "error",
            failure => options.logger.error({ failure: describeUnknown(failure) }, "HTTP server failed"),
        );
        server.prependListener("request", (_request, response) => {
            this.responses.set(response, undefined);
            response.once("close", () => this.responses.delete(response));
            if (this.closesAfterResponses) {
                this.closeConnectionAfter(response);
            }
        });
        this.closed = new Promise(resolve => server.once("close", () => resolve()));
        // A caller may end its side of the connection after a request. An option that Node.js does not document.
        Object.assign(server, { httpAllowHalfOpen: true });
        server.on("connection", () => this.acceptedConnections++);
        server.on("clientError", (failure, socket) => this.rejectMalformedRequest(failure, socket as Socket));
        this.slowReaderPoll = options.timers.every(SLOW_READER_POLL_MILLISECONDS, () => this.closeSlowReaders());
    }

    /** Starts to listen. Errors: `invalid_settings` when the address cannot be used. */
    static listen(application: Hono, options: HttpServerOptions): Promise<Result<HttpServer, ServiceError>> {
        const { address } = options;
        const separator = address.lastIndexOf(":");
        const hostname = address.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
        const calls = new RefusableCalls(errorResponse);
        const listener = getRequestListener(
            (request, bindings) => calls.answer(() => application.fetch(request, bindings)),
            { errorHandler: malformedRequestResponse },
        );
        const nodeServer = createNodeServer(
            options,
            (incoming, outgoing) => void listener(incoming, outgoing),
        );
        const { server } = nodeServer;
        return new Promise(resolve => {
            const fail = (failure: Error): void => {
                const message = `--listen-address (TANAGERLINK_LISTEN_ADDRESS) ${address} cannot be used: ${
                    describeUnknown(failure)
                }`;
                resolve(err(serviceError(ErrorKind.InvalidSettings, message)));
            };
            server.once("error", fail);
            server.listen(Number(address.slice(separator + 1)), hostname, () => {
                server.off("error", fail);
                resolve(ok(new HttpServer(nodeServer, calls, options)));
            });
        });
    }

    get callsInFlight(): number {
        return this.responses.size;
    }

    /**
     * Announces in each further response that its connection will be closed, so that callers don't send a request on a
     * connection that the server closes at the same time.
     */
    closeAfterResponses(): void {
        this.closesAfterResponses = true;
        for (const response of this.responses.keys()) {
            this.closeConnectionAfter(response);
        }
    }

    /** Accepts no new connections. Open connections are closed after the responses in flight. */
    stopListening(): void {
        // Idle connections are closed after the server has read what has arrived on them.
        this.listeningEnd ??= this.readArrivedInput(BACKLOG_MILLISECONDS).then(() => void this.server.close());
        this.closeAfterResponses();
    }

    /**
     * Waits until no request is in flight or the time is up. Returns whether none is in flight. Before each check the
     * server reads what has arrived, also after a long turn of the event loop.
     */
    async waitUntilDrained(timeoutMilliseconds: number): Promise<boolean> {
        const { timers } = this.options;
        const deadline = timers.now() + timeoutMilliseconds;
        await this.readArrivedInput(timeoutMilliseconds);
        while (this.responses.size > 0 && timers.now() < deadline) {
            await sleep(timers, DRAIN_POLL_MILLISECONDS);
            await this.readArrivedInput(deadline - timers.now());
        }
        return this.responses.size === 0;
    }

    /** Refuses the requests that are still in flight and closes all connections. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.slowReaderPoll[Symbol.dispose]();
        this.stopListening();
        const refused = this.calls.refuse();
        if (refused > 0) {
            this.options.logger.warn({ refused }, "requests in flight refused at the end of the shutdown");
        }
        await this.listeningEnd;
        await this.waitUntilDrained(REFUSAL_WRITE_MILLISECONDS);
        this.server.closeAllConnections();
        this.destroyConnections();
        await this.closed;
    }

    /** Lets the event loop accept the connections, and read the requests, that have arrived. */
    private async readArrivedInput(limitMilliseconds: number): Promise<void> {
        const { timers } = this.options;
        const deadline = timers.now() + limitMilliseconds;
        let previouslyAccepted: number;
        do {
            previouslyAccepted = this.acceptedConnections;
            // A callback of the poll phase is followed by immediates without another poll.
            await setImmediate();
            await setImmediate();
            // Each poll accepts one connection only.
        }
        while (this.acceptedConnections > previouslyAccepted && timers.now() < deadline);
    }

    /** Closes a connection after the latest response on it, and no longer after an earlier one. */
    private closeConnectionAfter(latest: ServerResponse): void {
        for (const response of this.responses.keys()) {
            if (response.req.socket === latest.req.socket && !response.headersSent) {
                response.setHeader("connection", response === latest ? "close" : "keep-alive");
            }
        }
    }

    /** Closes the connections of callers that do not read; their responses would stay in memory for ever. */
    private closeSlowReaders(): void {
        const now = this.options.timers.now();
        for (const [response, since] of this.responses) {
            if (since !== undefined && now - since >= this.options.answerMilliseconds) {
                response.destroy();
            }
            else if (since === undefined && response.headersSent) {
                this.responses.set(response, now);
            }
        }
    }

    /**
     * Responds to input that is not valid HTTP. The response is written only when no earlier request on the connection
     * waits for one, since the caller would take the error for the response to that request.
     */
    private rejectMalformedRequest(failure: Error, socket: Socket): void {
        const pending = [...this.responses.keys()].filter(response => response.req.socket === socket);
        const onlyMalformedRequest = pending.every(response => !response.req.complete && !response.headersSent);
        if (!socket.writable || pending.length > 1 || !onlyMalformedRequest) {
            socket.destroy();
            return;
        }
        const { code = "" } = failure as { readonly code?: string; };
        const message = code === "HPE_HEADER_OVERFLOW" ? "the headers are too large" : "the request is not valid HTTP";
        socket.end(rawErrorResponse(serviceError(ErrorKind.InvalidRequest, message)));
    }
}

interface NodeServer {
    readonly server: Server | TlsServer["server"];
    /** Destroys connections that are still in the TLS handshake, which the HTTP server does not know yet. */
    readonly destroyConnections: () => void;
}

function createNodeServer(options: HttpServerOptions, listener: RequestListener): NodeServer {
    const common = { keepAliveTimeout: options.keepAliveMilliseconds, headersTimeout: HEADERS_TIMEOUT_MILLISECONDS };
    if (options.credentials === undefined) {
        return { server: createServer(common, listener), destroyConnections: () => undefined };
    }
    const { server, destroyConnections } = createTlsServer(
        options.credentials,
        { ...common, minVersion: "TLSv1.2" },
        listener,
    );
    // By default Node.js reports a failed handshake as `clientError`, which would be answered like a malformed request.
    server.removeAllListeners("tlsClientError");
    server.on("tlsClientError", (_failure, socket) => socket.destroy());
    return { server, destroyConnections };
}

/** Response to a request whose request line or `host` header is malformed. */
function malformedRequestResponse(): Response {
    return errorResponse(
        serviceError(ErrorKind.InvalidRequest, "the request line or the host header is malformed"),
    );
}

function errorResponse(error: ServiceError): Response {
    const { httpStatus, outcome } = errorAnswers[error.kind];
    const headers = { [ERROR_HEADER]: error.kind, [OUTCOME_HEADER]: outcome };
    return Response.json(errorBody(error), { status: httpStatus, headers });
}

function rawErrorResponse(error: ServiceError): string {
    const { httpStatus, outcome } = errorAnswers[error.kind];
    const body = JSON.stringify(errorBody(error));
    return [
        `HTTP/1.1 ${httpStatus} ${STATUS_CODES[httpStatus]}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `${ERROR_HEADER}: ${error.kind}`,
        `${OUTCOME_HEADER}: ${outcome}`,
        "connection: close",
        "",
        body,
    ].join("\r\n");
}
