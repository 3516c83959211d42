/**
 * The server to which peers connect. Each accepted socket gets one task. With certificates, connections without TLS or
 * without an accepted certificate are refused before any HTTP is read from them.
 */
import { createTlsServer } from "@tanagerlink/certificates";
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server as TcpServer, type Socket } from "node:net";
import type { TLSSocket } from "node:tls";
import { type WebSocket, WebSocketServer } from "ws";
import { certificateRefusal, codeOf, type LinkRefusals, tlsRefusal } from "./linkRefusal.ts";
import { PEER_PATH } from "./outgoingLink.ts";
import { type PeerTls, PeerTlsMode } from "./peerOptions.ts";

/** Sockets beyond this number are refused; at most a few hundred processes link to one. */
const MOST_SOCKETS = 1_024;

/** Silence after which a connection that has not become a link is closed, in milliseconds. */
const OPENING_MILLISECONDS = 10_000;

/** First byte of a TLS handshake; no HTTP request begins with it. */
const TLS_HANDSHAKE_BYTE = 0x16;

/** What the server needs. */
export interface PeerServerOptions {
    /** `ip:port` */
    readonly address: string;
    readonly maximumMessageBytes: number;
    readonly tls: PeerTls | undefined;
    readonly refusals: LinkRefusals;
    readonly accept: (socket: WebSocket, stream: Socket) => void;
    readonly report: (failure: Error) => void;
}

export class PeerServer implements AsyncDisposable {
    /** `ip:port` with the port that was picked. */
    readonly address: string;
    private readonly listener: TcpServer;
    private readonly connections: ReadonlySet<Socket>;
    private readonly sockets: readonly WebSocketServer[];

    private constructor(
        listener: TcpServer,
        connections: ReadonlySet<Socket>,
        sockets: readonly WebSocketServer[],
    ) {
        this.listener = listener;
        this.connections = connections;
        this.sockets = sockets;
        const { address, family, port } = listener.address() as AddressInfo;
        this.address = family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
    }

    /** Listens on `ip:port`. Errors: `invalid_settings` when the address cannot be used. */
    static async listen(options: PeerServerOptions): Promise<Result<PeerServer, ServiceError>> {
        const { address, tls } = options;
        const { host, port } = splitAddress(address);
        const connections = new Set<Socket>();
        try {
            const plain = createServer(refuseRequest);
            const secure = tls === undefined ? undefined : createSecureServer(tls, options.refusals);
            const servers = [
                ...(tls?.mode === PeerTlsMode.Required ? [] : [plain]),
                ...(secure === undefined ? [] : [secure]),
            ];
            const listener = secure !== undefined && tls?.mode === PeerTlsMode.Optional
                ? createEitherServer(plain, secure)
                : secure ?? plain;
            listener.on("connection", (socket: Socket) => {
                connections.add(socket);
                socket.once("close", () => connections.delete(socket));
            });
            listener.listen(port, host);
            await once(listener, "listening");
            const sockets = servers.map(server => acceptSockets(server, options));
            listener.on("error", options.report);
            return ok(new PeerServer(listener, connections, sockets));
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
        for (const server of this.sockets) {
            server.close();
            server.clients.forEach(socket => socket.terminate());
        }
        // Connections without a request would otherwise be waited for.
        this.connections.forEach(socket => socket.destroy());
        await closed;
    }
}

type HttpServer = Pick<Server, "setTimeout"> & TcpServer;

/** Takes links of peers from the server. */
function acceptSockets(server: HttpServer, options: PeerServerOptions): WebSocketServer {
    server.setTimeout(OPENING_MILLISECONDS);
    const sockets = new WebSocketServer({
        server: server as Server,
        path: PEER_PATH,
        perMessageDeflate: false,
        maxPayload: options.maximumMessageBytes,
        verifyClient: () => sockets.clients.size < MOST_SOCKETS,
    });
    sockets.on("connection", (socket, request) => options.accept(socket, request.socket));
    sockets.on("error", options.report);
    return sockets;
}

function refuseRequest(_request: unknown, response: { writeHead(status: number): { end(): unknown; }; }): void {
    response.writeHead(426).end();
}

/**
 * Certificates are checked here and not by the library, which would end the connection without telling why. The check
 * comes before the listener that reads HTTP.
 */
function createSecureServer(tls: PeerTls, refusals: LinkRefusals): HttpServer {
    const { server } = createTlsServer(
        tls.credentials,
        { minVersion: "TLSv1.3", requestCert: true, rejectUnauthorized: false },
        refuseRequest,
    );
    server.prependListener("secureConnection", (socket: TLSSocket) => {
        const reason = certificateRefusal(socket);
        if (reason !== undefined) {
            refusals.refuse(reason, socket.remoteAddress ?? "", socket.authorizationError);
            socket.destroy();
        }
    });
    // The library would answer a failed handshake with an HTTP answer.
    server.removeAllListeners("tlsClientError");
    server.on("tlsClientError", (failure, socket) => {
        const reason = tlsRefusal(codeOf(failure));
        if (reason !== undefined) {
            refusals.refuse(reason, socket.remoteAddress ?? "", failure);
        }
        socket.destroy();
    });
    return server;
}

/** Passes each connection to one of the servers by its first byte. */
function createEitherServer(plain: TcpServer, secure: TcpServer): TcpServer {
    return createTcpServer(socket => {
        const end = (): void => void socket.destroy();
        socket.on("error", end);
        socket.setTimeout(OPENING_MILLISECONDS, end);
        socket.once("data", first => {
            socket.pause();
            socket.setTimeout(0);
            socket.off("timeout", end);
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
