/** The HTTP server of one process: counts calls in flight and answers calls that never reach the application. */
import { getRequestListener } from "@hono/node-server";
import { createTlsServer, type CredentialSource, type TlsServer } from "@tanagerlink/certificates";
import { describeUnknown, errorAnswers, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import type { Logger } from "@tanagerlink/telemetry";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { createServer, type RequestListener, type Server, type ServerResponse, STATUS_CODES } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { ERROR_HEADER, errorBody, OUTCOME_HEADER } from "./errorAnswer.ts";

/** Period of looking whether calls are still in flight, in milliseconds. */
const DRAIN_POLL_MILLISECONDS = 20;

/** Longest time for sending the headers of a call, in milliseconds. */
const HEADERS_MILLISECONDS = 10_000;

/** Period of looking for callers that do not take their answer, in milliseconds. */
const ANSWER_POLL_MILLISECONDS = 1_000;

/** What the server needs besides the application. */
export interface HttpServerOptions {
    /** `ip:port`; port 0 picks a free one. */
    readonly address: string;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Silence after which an idle connection is closed. */
    readonly keepAliveMilliseconds: number;
    /** Time within which a caller must take an answer. */
    readonly answerMilliseconds: number;
    /** Certificate of the server, which then speaks HTTPS only. */
    readonly credentials?: CredentialSource | undefined;
}

/** A listening server. */
export class HttpServer implements AsyncDisposable {
    private readonly server: Server;
    private readonly options: HttpServerOptions;
    /** Calls in flight, with the time since which their answer waits for the caller. */
    private readonly calls = new Map<ServerResponse, number | undefined>();
    private readonly sweep: Disposable;
    private readonly destroyConnections: () => void;
    private closed: Promise<void> | undefined;
    /** `ip:port` */
    readonly address: string;

    private constructor({ server, destroyConnections }: ListeningServer, options: HttpServerOptions) {
        this.server = server;
        this.destroyConnections = destroyConnections;
        this.options = options;
        const { address, port, family } = server.address() as AddressInfo;
        this.address = family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
        server.on(
            "error",
            failure => options.logger.error({ failure: describeUnknown(failure) }, "HTTP server failed"),
        );
        server.prependListener("request", (_request, response) => {
            this.calls.set(response, undefined);
            response.once("close", () => this.calls.delete(response));
            if (this.closed !== undefined) {
                response.setHeader("connection", "close");
            }
        });
        server.on("clientError", (failure, socket) => this.refuse(failure, socket as Socket));
        this.sweep = options.timers.every(ANSWER_POLL_MILLISECONDS, () => this.closeSlowReaders());
    }

    /** Listens. Errors: `invalid_settings` when the address can't be used. */
    static listen(application: Hono, options: HttpServerOptions): Promise<Result<HttpServer, ServiceError>> {
        const { address } = options;
        const separator = address.lastIndexOf(":");
        const hostname = address.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
        const listener = getRequestListener(application.fetch, { errorHandler: malformedCall });
        const listening = createListeningServer(
            options,
            (incoming, outgoing) => void listener(incoming, outgoing),
        );
        const { server } = listening;
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
                resolve(ok(new HttpServer(listening, options)));
            });
        });
    }

    get callsInFlight(): number {
        return this.calls.size;
    }

    /** Takes no new connections; connections that are open are closed after the answers in flight. */
    stopListening(): void {
        this.closed ??= new Promise(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
    }

    /** Waits until no call is in flight, up to the bound. Returns whether that was reached. */
    async drained(withinMilliseconds: number): Promise<boolean> {
        const { timers } = this.options;
        const deadline = timers.now() + withinMilliseconds;
        while (this.calls.size > 0 && timers.now() < deadline) {
            await sleep(timers, DRAIN_POLL_MILLISECONDS);
        }
        return this.calls.size === 0;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.sweep[Symbol.dispose]();
        this.stopListening();
        this.server.closeAllConnections();
        this.destroyConnections();
        await this.closed;
    }

    /** A caller that does not read would hold its answer in memory without end. */
    private closeSlowReaders(): void {
        const now = this.options.timers.now();
        for (const [response, since] of this.calls) {
            if (since !== undefined && now - since >= this.options.answerMilliseconds) {
                response.destroy();
            }
            else if (since === undefined && response.headersSent) {
                this.calls.set(response, now);
            }
        }
    }

    /**
     * Answers a call that is no HTTP. An answer in its place is written only when no other answer is owed on this
     * connection, since the caller would take it for that one.
     */
    private refuse(failure: Error, socket: Socket): void {
        const owed = [...this.calls.keys()].filter(response => response.req.socket === socket);
        const own = owed.every(response => !response.req.complete && !response.headersSent);
        if (!socket.writable || owed.length > 1 || !own) {
            socket.destroy();
            return;
        }
        const { code = "" } = failure as { readonly code?: string; };
        const message = code === "HPE_HEADER_OVERFLOW" ? "the headers are too large" : "the call is not valid HTTP";
        socket.end(rawAnswer(serviceError(ErrorKind.InvalidRequest, message)));
    }
}

interface ListeningServer {
    readonly server: Server | TlsServer["server"];
    /** Ends connections that are not known to the server yet. */
    readonly destroyConnections: () => void;
}

function createListeningServer(options: HttpServerOptions, application: RequestListener): ListeningServer {
    const common = { keepAliveTimeout: options.keepAliveMilliseconds, headersTimeout: HEADERS_MILLISECONDS };
    if (options.credentials === undefined) {
        return { server: createServer(common, application), destroyConnections: () => undefined };
    }
    const { server, destroyConnections } = createTlsServer(
        options.credentials,
        { ...common, minVersion: "TLSv1.2" },
        application,
    );
    // A failed handshake would otherwise be answered as a malformed call.
    server.removeAllListeners("tlsClientError");
    server.on("tlsClientError", (_failure, socket) => socket.destroy());
    return { server, destroyConnections };
}

/** Answer to a call whose request line or `host` header cannot be used. */
function malformedCall(): Response {
    const error = serviceError(ErrorKind.InvalidRequest, "the request line or the host header is malformed");
    const { httpStatus, outcome } = errorAnswers[error.kind];
    const headers = { [ERROR_HEADER]: error.kind, [OUTCOME_HEADER]: outcome };
    return Response.json(errorBody(error), { status: httpStatus, headers });
}

function rawAnswer(error: ServiceError): string {
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
