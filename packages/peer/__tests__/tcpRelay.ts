import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** A TCP relay that can stop forwarding on its open connections without closing them; new connections still work. */
export class TcpRelay implements AsyncDisposable {
    accepted = 0;
    /** Number of further connections that are accepted without forwarding anything on them. */
    silentConnections = 0;
    private target: string;
    private readonly server: Server;
    private readonly pairs = new Set<readonly [Socket, Socket]>();

    private constructor(target: string) {
        this.target = target;
        this.server = createServer(client => this.forward(client));
    }

    static async start(target: string): Promise<TcpRelay> {
        const relay = new TcpRelay(target);
        relay.server.listen(0, "127.0.0.1");
        await once(relay.server, "listening");
        return relay;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    retarget(target: string): void {
        this.target = target;
    }

    /** Limits the open connections to a number of bytes towards the target in each 10 ms. */
    throttle(bytesPerInterval: number): void {
        for (const [client, upstream] of this.pairs) {
            client.unpipe(upstream);
            client.on("readable", () => undefined);
            const timer = setInterval(() => {
                const chunk: unknown = client.read(Math.min(bytesPerInterval, client.readableLength));
                if (chunk instanceof Uint8Array) {
                    upstream.write(chunk);
                }
            }, 10);
            client.on("close", () => clearInterval(timer));
        }
    }

    /** Stops forwarding on the open connections in both directions, or only towards the target. */
    silence(direction: "both" | "towardsTarget"): void {
        for (const [client, upstream] of this.pairs) {
            client.unpipe(upstream);
            client.on("data", () => undefined);
            if (direction === "both") {
                upstream.unpipe(client);
                upstream.on("data", () => undefined);
            }
        }
    }

    closeConnections(): void {
        this.pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.closeConnections();
        this.server.close();
        await once(this.server, "close");
    }

    private forward(client: Socket): void {
        this.accepted++;
        const [host, port] = this.target.split(":");
        const upstream = connect(Number(port), host);
        const pair = [client, upstream] as const;
        this.pairs.add(pair);
        for (const socket of pair) {
            socket.on("error", () => undefined);
            socket.on("close", () => {
                pair.forEach(other => other.destroy());
                this.pairs.delete(pair);
            });
        }
        if (this.silentConnections > 0) {
            this.silentConnections--;
            pair.forEach(socket => socket.resume());
            return;
        }
        client.pipe(upstream);
        upstream.pipe(client);
    }
}
