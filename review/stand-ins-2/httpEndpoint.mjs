/** Minimal HTTP server and client for the stand-ins. All addresses are on loopback. */
import { once } from "node:events";
import { createServer, request } from "node:http";

export const HOST = "127.0.0.1";

/**
 * Serves JSON calls. `handle` returns `{ status, body }`, or `undefined` for a call that never gets an answer. Returns the
 * server, its address and its open sockets.
 */
export async function serveJson(handle, port = 0) {
    const sockets = new Set();
    const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, outgoing) => {
        const chunks = [];
        incoming.on("error", () => undefined);
        outgoing.on("error", () => undefined);
        incoming.on("data", chunk => chunks.push(chunk));
        incoming.on("end", () => void respond(handle, incoming, Buffer.concat(chunks).toString(), outgoing));
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    server.listen(port, HOST);
    await once(server, "listening");
    return { server, port: server.address().port, address: `${HOST}:${server.address().port}`, sockets };
}

async function respond(handle, incoming, text, outgoing) {
    const url = new URL(incoming.url, `http://${HOST}`);
    const answer = await handle({
        method: incoming.method,
        path: url.pathname,
        query: url.searchParams,
        headers: incoming.headers,
        body: text === "" ? {} : JSON.parse(text),
    });
    if (answer !== undefined && !outgoing.destroyed) {
        outgoing.writeHead(answer.status, { "content-type": "application/json" });
        outgoing.end(JSON.stringify(answer.body ?? {}));
    }
}

/** Below the ports that the operating system gives to connections, so that nothing else takes the port meanwhile. */
const LOWEST_PORT = 10_000;
const PORTS = 20_000;

/** Returns a port that nobody listens on, for a process of the system. */
export async function freePort() {
    for (;;) {
        const port = LOWEST_PORT + Math.floor(Math.random() * PORTS);
        const server = createServer();
        const isFree = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, HOST, () => resolve(true));
        });
        if (isFree) {
            server.close();
            await once(server, "close");
            return port;
        }
    }
}

/** Makes one call. Resolves to `{ status, body }`; the status is 0 if there was no answer. */
export function callJson(address, { method, path, headers = {}, body, timeout = 3_000 }) {
    return new Promise(resolve => {
        const outgoing = request(`http://${address}${path}`, { method, headers, timeout, agent: false }, incoming => {
            const chunks = [];
            incoming.on("data", chunk => chunks.push(chunk));
            incoming.on("error", () => resolve({ status: 0 }));
            incoming.on("end", () => {
                const text = Buffer.concat(chunks).toString();
                let parsed;
                try {
                    parsed = JSON.parse(text);
                }
                catch {
                    parsed = text;
                }
                resolve({ status: incoming.statusCode, body: parsed });
            });
        });
        outgoing.on("timeout", () => outgoing.destroy(new Error("timeout")));
        outgoing.on("error", ({ code, message }) => resolve({ status: 0, body: code ?? message }));
        outgoing.end(body === undefined ? undefined : JSON.stringify(body));
    });
}
