/** HTTP servers and free ports on loopback for the stand-ins. */
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createSocketServer, type Socket } from "node:net";

export interface Call {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly text: string;
}

/** `undefined` stands for no response: the connection stays open. */
export type Answer = { readonly status: number; readonly body?: unknown; } | undefined;

/** A server that can go away and come back at the same address, as a process or machine does. */
export class WireServer {
    address = "";
    private server: Server | undefined;
    private port = 0;
    private readonly sockets = new Set<Socket>();
    private readonly handle: (call: Call) => Promise<Answer>;

    constructor(handle: (call: Call) => Promise<Answer>) {
        this.handle = handle;
    }

    async open(): Promise<void> {
        const server = createServer((request, response) => void this.serve(request, response));
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        server.keepAliveTimeout = 60_000;
        server.listen(this.port, "127.0.0.1");
        await once(server, "listening");
        this.port = (server.address() as AddressInfo).port;
        this.address = `127.0.0.1:${this.port}`;
        this.server = server;
    }

    /** Closes the port and resets all connections, as the end of a process does. */
    close(): void {
        this.server?.close();
        this.server = undefined;
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { server } = this;
        const chunks: Buffer[] = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk as Buffer);
            }
        }
        catch {
            // The caller has gone.
            return;
        }
        const url = new URL(request.url ?? "/", "http://stand-in");
        const answer = await this.handle({
            method: request.method ?? "",
            path: url.pathname,
            query: url.searchParams,
            headers: request.headers,
            text: Buffer.concat(chunks).toString(),
        });
        if (answer !== undefined && server === this.server) {
            response.writeHead(answer.status, { "content-type": "application/json" });
            response.end(JSON.stringify(answer.body ?? {}));
        }
    }
}

/** Below the ports that the operating system gives to connections, so that a restarted process finds its ports free. */
const LOWEST_PORT = 10_000;
const PORTS = 20_000;
let nextPort = process.pid * 199 % PORTS;

/** Returns a port on which nothing listens. */
export async function freePort(): Promise<number> {
    for (;;) {
        nextPort = (nextPort + 1) % PORTS;
        const port = LOWEST_PORT + nextPort;
        const server = createSocketServer();
        const isFree = await new Promise<boolean>(resolve => {
            server.on("error", () => resolve(false)).on("listening", () => resolve(true));
            server.listen(port, "127.0.0.1");
        });
        if (isFree) {
            server.close();
            await once(server, "close");
            return port;
        }
    }
}
