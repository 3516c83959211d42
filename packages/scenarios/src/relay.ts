/**
 * A TCP relay on loopback in front of one server. It cuts the path, lets open connections go silent while new ones
 * work, and delivers data in small pieces.
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** Largest piece when data is delivered in pieces, in bytes. */
const PIECE_BYTES = 700;

/** State of the path. While it is cut, connections stay open and carry nothing. */
export const PathState = { Open: "open", Cut: "cut" } as const;
export type PathState = (typeof PathState)[keyof typeof PathState];

interface RelayedConnection {
    readonly near: Socket;
    readonly far: Socket;
    silent: boolean;
}

/** One relay. */
export class Relay implements AsyncDisposable {
    /** Whether data is delivered in small pieces. */
    inPieces = false;
    private readonly target: string;
    private readonly server: Server;
    private readonly connections = new Set<RelayedConnection>();
    private state: PathState = PathState.Open;

    private constructor(target: string, server: Server) {
        this.target = target;
        this.server = server;
    }

    /** Starts a relay to `ip:port`. */
    static async start(target: string): Promise<Relay> {
        const server = createServer({ allowHalfOpen: true });
        const relay = new Relay(target, server);
        server.on("connection", near => relay.accept(near));
        const listening = once(server, "listening");
        server.listen(0, "127.0.0.1");
        await listening;
        return relay;
    }

    /** `ip:port` to connect to instead of the target's own. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Cuts the path or opens it again. Data held back by a cut is delivered late when the path opens. */
    setState(state: PathState): void {
        this.state = state;
        for (const connection of this.connections) {
            this.applyTo(connection);
        }
    }

    /** Silences the open connections for good. Returns their number. */
    silenceOpenConnections(): number {
        for (const connection of this.connections) {
            connection.silent = true;
            this.applyTo(connection);
        }
        return this.connections.size;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const { near, far } of this.connections) {
            near.destroy();
            far.destroy();
        }
        await closed;
    }

    private accept(near: Socket): void {
        const [host = "", port = ""] = this.target.split(":");
        const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
        near.setNoDelay(true);
        const connection: RelayedConnection = { near, far, silent: false };
        this.connections.add(connection);
        this.forward(near, far, connection);
        this.forward(far, near, connection);
        this.applyTo(connection);
    }

    private forward(from: Socket, to: Socket, connection: RelayedConnection): void {
        from.on("data", (data: Buffer) => {
            const flows = this.write(to, data);
            if (!flows) {
                from.pause();
                to.once("drain", () => this.applyTo(connection));
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
        if (!this.inPieces) {
            return to.write(data);
        }
        let flows = true;
        for (let offset = 0; offset < data.length; offset += PIECE_BYTES) {
            flows = to.write(data.subarray(offset, offset + PIECE_BYTES));
        }
        return flows;
    }

    private applyTo({ near, far, silent }: RelayedConnection): void {
        for (const socket of [near, far]) {
            if (silent || this.state === PathState.Cut) {
                socket.pause();
            }
            else {
                socket.resume();
            }
        }
    }
}
