/** HTTPS servers that apply reloaded credentials without closing open connections. */
import { constants } from "node:crypto";
import { createServer, type Server, type ServerOptions } from "node:https";
import type { Socket } from "node:net";
import type { CredentialSource } from "./credentialSource.ts";

const TLS_HANDSHAKE_TIMEOUT_MILLISECONDS = 10_000;

/** A server and its connections. */
export interface TlsServer {
    readonly server: Server;
    /** Destroys all connections, including those still in the TLS handshake, which `closeAllConnections` omits. */
    destroyConnections(): void;
}

/** Creates a server that does not listen yet. */
export function createTlsServer(
    source: CredentialSource,
    options: ServerOptions & { readonly minVersion: "TLSv1.2" | "TLSv1.3"; },
    requestListener: Parameters<typeof createServer>[1],
): TlsServer {
    const contextOptions = () => {
        const { certificate, key, authority } = source.current();
        return {
            cert: certificate,
            key,
            ...(authority === undefined ? {} : { ca: authority }),
            minVersion: options.minVersion,
            // Resuming a session would skip the check of the peer's certificate, which may have expired since.
            secureOptions: constants.SSL_OP_NO_TICKET,
        };
    };
    const server = createServer(
        { handshakeTimeout: TLS_HANDSHAKE_TIMEOUT_MILLISECONDS, ...options, ...contextOptions() },
        requestListener,
    );
    source.subscribe(() => server.setSecureContext(contextOptions()));
    const connections = new Set<Socket>();
    server.on("connection", (socket: Socket) => {
        connections.add(socket);
        socket.once("close", () => connections.delete(socket));
    });
    return { server, destroyConnections: () => connections.forEach(socket => socket.destroy()) };
}
