/**
 * The server to which peers connect; it passes each accepted WebSocket to `onSocket`. TLS connections without an
 * accepted certificate, and connections without TLS where TLS is required, are refused before any HTTP is read from
 * them.
 */
import { createTlsServer } from "@tanagerlink/certificates";
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server as TcpServer, type Socket } from "node:net";
import type { TLSSocket } from "node:tls";
import { type WebSocket, WebSocketServer } from "ws";
import { certificateRefusalReason, errorCodeOf, type LinkRefusals, tlsRefusalReason } from "./linkRefusal.ts";
import { PEER_PATH } from "./outgoingLink.ts";
import { type PeerTls, PeerTlsMode } from "./peerOptions.ts";

/** Further WebSockets are refused; at most a few hundred processes link to one. */
const MAXIMUM_SOCKETS = 1_024;

/** Inactivity after which a connection that has not become a WebSocket is closed. */
const UPGRADE_TIMEOUT_MILLISECONDS = 10_000;

/** First byte of a TLS handshake; no HTTP request begins with it. */
const TLS_HANDSHAKE_BYTE = 0x16;

export interface PeerServerOptions {
    /** `ip:port` */
    readonly address: string;
    readonly maximumMessageBytes: number;
    readonly tls: PeerTls | undefined;
    readonly refusals: LinkRefusals;
    readonly onSocket: (socket: WebSocket, stream: Socket) => void;
    readonly onError: (failure: Error) => void;
}

export class PeerServer implements AsyncDisposable {
    /** `ip:port` with the port that is actually listened on. */
    readonly address: string;
    private readonly listener: TcpServer;
    private readonly connections: ReadonlySet<Socket>;
    private readonly webSocketServers: readonly WebSocketServer[];

    private constructor(
        listener: TcpServer,
        connections: ReadonlySet<Socket>,
        webSocketServers: readonly WebSocketServer[],
    ) {
        this.listener = listener;
        this.connections = connections;
        this.webSocketServers = webSocketServers;
        const { address, family, port } = listener.address() as AddressInfo;
        this.address = family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
    }

    /** Starts listening on `options.address`. Errors: `invalid_settings` when that fails. */
    static async listen(options: PeerServerOptions): Promise<Result<PeerServer, ServiceError>> {
        const { address, tls } = options;
        const { host, port } = splitAddress(address);
        const connections = new Set<Socket>();
        try {
            const plain = createServer(answerUpgradeRequired);
            const secure = tls === undefined ? undefined : createSecureServer(tls, options.refusals);
            const servers = [
                ...(tls?.mode === PeerTlsMode.Required ? [] : [plain]),
                ...(secure === undefined ? [] : [secure]),
            ];
            const listener = secure !== undefined && tls?.mode === PeerTlsMode.Optional
                ? createProtocolDetectingServer(plain, secure)
                : secure ?? plain;
            listener.on("connection", (socket: Socket) => {
                connections.add(socket);
                socket.once("close", () => connections.delete(socket));
            });
            listener.listen(port, host);
            await once(listener, "listening");
            const webSocketServers = servers.map(server => createWebSocketServer(server, options));
            listener.on("error", options.onError);
            return ok(new PeerServer(listener, connections, webSocketServers));
        }
        catch (failure) {
            const reason = failure instanceof Error ? failure.message : String(failure);
            return err(serviceError(
                ErrorKind.InvalidSettings,
                `cannot listen for peers on ${address}: ${reason}; choose another --peer-address`,
            ));
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => this.listener.close(() => resolve()));
        for (const server of this.webSocketServers) {
            server.close();
            server.clients.forEach(socket => socket.terminate());
        }
        // Without this, closing would wait for connections that have not sent a request.
        this.connections.forEach(socket => socket.destroy());
        await closed;
    }
}

type HttpServer = Pick<Server, "setTimeout"> & TcpServer;

/** Accepts WebSocket connections on `PEER_PATH` of an HTTP server. */
function createWebSocketServer(server: HttpServer, options: PeerServerOptions): WebSocketServer {
    server.setTimeout(UPGRADE_TIMEOUT_MILLISECONDS);
    const webSocketServer = new WebSocketServer({
        server: server as Server,
        path: PEER_PATH,
        perMessageDeflate: false,
        maxPayload: options.maximumMessageBytes,
        verifyClient: () => webSocketServer.clients.size < MAXIMUM_SOCKETS,
    });
    webSocketServer.on("connection", (socket, request) => options.onSocket(socket, request.socket));
    webSocketServer.on("error", options.onError);
    return webSocketServer;
}

function answerUpgradeRequired(_request: unknown, response: { writeHead(status: number): { end(): unknown; }; }): void {
    response.writeHead(426).end();
}

/**
 * Certificates are checked here and not by Node.js, which would close the connection without reporting the reason. The
 * check runs before the listener that reads HTTP.
 */
function createSecureServer(tls: PeerTls, refusals: LinkRefusals): HttpServer {
    const { server } = createTlsServer(
        tls.credentials,
        { minVersion: "TLSv1.3", requestCert: true, rejectUnauthorized: false },
        answerUpgradeRequired,
    );
    server.prependListener("secureConnection", (socket: TLSSocket) => {
        const reason = certificateRefusalReason(socket);
        if (reason !== undefined) {
            refusals.recordRefusal(reason, socket.remoteAddress ?? "", socket.authorizationError);
            socket.destroy();
        }
    });
    // The default listener would send an HTTP response after a failed TLS handshake.
    server.removeAllListeners("tlsClientError");
    server.on("tlsClientError", (failure, socket) => {
        const reason = tlsRefusalReason(errorCodeOf(failure));
        if (reason !== undefined) {
            refusals.recordRefusal(reason, socket.remoteAddress ?? "", failure);
        }
        socket.destroy();
    });
    return server;
}

/** Creates a server that passes each connection to the plain or the TLS server, depending on its first byte. */
function createProtocolDetectingServer(plain: TcpServer, secure: TcpServer): TcpServer {
    return createTcpServer(socket => {
        const destroy = (): void => void socket.destroy();
        socket.on("error", destroy);
        socket.setTimeout(UPGRADE_TIMEOUT_MILLISECONDS, destroy);
        socket.once("data", first => {
            socket.pause();
            socket.setTimeout(0);
            socket.off("timeout", destroy);
            socket.unshift(first);
            (first[0] === TLS_HANDSHAKE_BYTE ? secure : plain).emit("connection", socket);
            process.nextTick(() => socket.resume());
        });
    });
}

function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}
