/**
 * The server to which peers connect. Each accepted socket gets one task.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { PEER_PATH } from "./outgoingLink.ts";

/** Sockets beyond this number are refused; at most a few hundred processes link to one. */
const MOST_SOCKETS = 1_024;

export class PeerServer implements AsyncDisposable {
    /** `ip:port` with the port that was picked. */
    readonly address: string;
    private readonly server: Server;
    private readonly sockets: WebSocketServer;

    private constructor(server: Server, sockets: WebSocketServer) {
        this.server = server;
        this.sockets = sockets;
        const { address, family, port } = server.address() as AddressInfo;
        this.address = family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
    }

    /** Listens on `ip:port`. Errors: `invalid_settings` when the address cannot be used. */
    static async listen(
        address: string,
        maximumMessageBytes: number,
        accept: (socket: WebSocket, stream: Socket) => void,
        report: (failure: Error) => void,
    ): Promise<Result<PeerServer, ServiceError>> {
        const { host, port } = splitAddress(address);
        try {
            const server = createServer((_request, response) => void response.writeHead(426).end());
            server.listen(port, host);
            await once(server, "listening");
            const sockets = new WebSocketServer({
                server,
                path: PEER_PATH,
                perMessageDeflate: false,
                maxPayload: maximumMessageBytes,
                verifyClient: () => sockets.clients.size < MOST_SOCKETS,
            });
            sockets.on("connection", (socket, request) => accept(socket, request.socket));
            sockets.on("error", report);
            return ok(new PeerServer(server, sockets));
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
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.sockets.close();
        this.sockets.clients.forEach(socket => socket.terminate());
        // Connections without a request would otherwise be waited for.
        this.server.closeAllConnections();
        await closed;
    }
}

function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}
