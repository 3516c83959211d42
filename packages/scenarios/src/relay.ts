/**
 * A TCP relay on loopback in front of one server. It can cut the path, silence the open connections while new ones work,
 * and split the data into small pieces.
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

const MAXIMUM_PIECE_BYTES = 700;

/** State of the path. While it is cut, connections stay open but transfer no data. */
export const PathState = { Open: "open", Cut: "cut" } as const;
export type PathState = (typeof PathState)[keyof typeof PathState];

interface RelayedConnection {
    readonly client: Socket;
    readonly upstream: Socket;
    isSilent: boolean;
}

/** A relay to one server. */
export class Relay implements AsyncDisposable {
    /** Whether data is written in small pieces. */
    splitsData = false;
    private readonly upstreamAddress: string;
    private readonly server: Server;
    private readonly connections = new Set<RelayedConnection>();
    private state: PathState = PathState.Open;

    private constructor(upstreamAddress: string, server: Server) {
        this.upstreamAddress = upstreamAddress;
        this.server = server;
    }

    /** Starts a relay to the server at `ip:port`. */
    static async start(upstreamAddress: string): Promise<Relay> {
        const server = createServer({ allowHalfOpen: true });
        const relay = new Relay(upstreamAddress, server);
        server.on("connection", client => relay.accept(client));
        const listening = once(server, "listening");
        server.listen(0, "127.0.0.1");
        await listening;
        return relay;
    }

    /** `ip:port` to connect to instead of the address of the server. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Cuts or reopens the path. Data sent during a cut is delivered after the path is reopened. */
    setState(state: PathState): void {
        this.state = state;
        for (const connection of this.connections) {
            this.updateFlow(connection);
        }
    }

    /** Silences the open connections permanently. Returns their number. */
    silenceOpenConnections(): number {
        for (const connection of this.connections) {
            connection.isSilent = true;
            this.updateFlow(connection);
        }
        return this.connections.size;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const { client, upstream } of this.connections) {
            client.destroy();
            upstream.destroy();
        }
        await closed;
    }

    private accept(client: Socket): void {
        const [host = "", port = ""] = this.upstreamAddress.split(":");
        const upstream = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
        client.setNoDelay(true);
        const connection: RelayedConnection = { client, upstream, isSilent: false };
        this.connections.add(connection);
        this.forward(client, upstream, connection);
        this.forward(upstream, client, connection);
        this.updateFlow(connection);
    }

    private forward(from: Socket, to: Socket, connection: RelayedConnection): void {
        from.on("data", (data: Buffer) => {
            const canContinue = this.write(to, data);
            if (!canContinue) {
                from.pause();
                to.once("drain", () => this.updateFlow(connection));
            }
        });
        from.on("end", () => to.end());
        from.on("error", () => to.destroy());
        from.on("close", hadError => {
            this.connections.delete(connection);
            if (hadError || !from.readableEnded) {
                to.destroy();
            }
        });
    }

    private write(to: Socket, data: Buffer): boolean {
        if (!this.splitsData) {
            return to.write(data);
        }
        let canContinue = true;
        for (let offset = 0; offset < data.length; offset += MAXIMUM_PIECE_BYTES) {
            canContinue = to.write(data.subarray(offset, offset + MAXIMUM_PIECE_BYTES));
        }
        return canContinue;
    }

    private updateFlow({ client, upstream, isSilent }: RelayedConnection): void {
        for (const socket of [client, upstream]) {
            if (isSilent || this.state === PathState.Cut) {
                socket.pause();
            }
            else {
                socket.resume();
            }
        }
    }
}
