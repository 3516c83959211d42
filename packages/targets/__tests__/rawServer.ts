/** TCP server that answers each HTTP request with given bytes, for answers that no HTTP library would write. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

export interface RawServer extends AsyncDisposable {
    readonly address: string;
    /** Heads of the received requests. */
    readonly requests: string[];
}

/** Starts a server that calls `answer` for each request with its socket and head. */
export async function startRawServer(answer: (socket: Socket, head: string) => void): Promise<RawServer> {
    const requests: string[] = [];
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", data => {
            const head = data.toString("latin1");
            requests.push(head);
            answer(socket, head);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        requests,
        async [Symbol.asyncDispose](): Promise<void> {
            sockets.forEach(socket => socket.destroy());
            server.close();
            await once(server, "close");
        },
    };
}
