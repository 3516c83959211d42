/**
 * The server to which peers connect. Each accepted socket gets one task.
 */
import { ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { err, ok, type Result } from "neverthrow";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import { PEER_PATH } from "./outgoingLink.ts";

/** Sockets beyond this number are refused; at most a few hundred processes link to one. */
const MOST_SOCKETS = 1_024;

export class PeerServer implements AsyncDisposable {
    /** `ip:port` with the port that was picked. */
    readonly address: string;
    private readonly server: WebSocketServer;

    private constructor(server: WebSocketServer) {
        this.server = server;
        const { address, family, port } = server.address() as AddressInfo;
        this.address = family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
    }

    /** Listens on `ip:port`. Errors: `invalid_settings` when the address cannot be used. */
    static async listen(
        address: string,
        maximumMessageBytes: number,
        accept: (socket: WebSocket) => void,
        report: (failure: Error) => void,
    ): Promise<Result<PeerServer, ServiceError>> {
        const { host, port } = splitAddress(address);
        try {
            const server = new WebSocketServer({
                host,
                port,
                path: PEER_PATH,
                perMessageDeflate: false,
                maxPayload: maximumMessageBytes,
                verifyClient: () => server.clients.size < MOST_SOCKETS,
            });
            await once(server, "listening");
            server.on("connection", accept);
            server.on("error", report);
            server.on("wsClientError", (_failure, socket) => void socket.destroy());
            return ok(new PeerServer(server));
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
        for (const socket of this.server.clients) {
            socket.terminate();
        }
        await closed;
    }
}

function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
}
