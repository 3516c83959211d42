/**
 * HTTP server of a stand-in on a free port of the loopback interface. The listener can be closed and opened again on the
 * same port, so that tests can have connections refused.
 */
import { createAdaptorServer, type HttpBindings } from "@hono/node-server";
import type { Hono } from "hono";
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { ConnectionTraffic } from "./connectionTraffic.ts";

const LOOPBACK = "127.0.0.1";

/** Hono environment with the request and response objects of Node.js. */
export interface StandInEnvironment {
    Bindings: HttpBindings;
}

/** A running HTTP server of a stand-in. */
export interface LoopbackServer extends AsyncDisposable {
    /** `ip:port`. */
    readonly address: string;
    /** Bytes received and sent on all connections since the start. */
    trafficBytes(): number;
    /** Closes the listener and all connections, or listens again on the same port. */
    setListening(listening: boolean): Promise<void>;
}

class NodeLoopbackServer implements LoopbackServer {
    readonly address: string;
    private readonly server: Server;
    private readonly traffic: ConnectionTraffic;

    constructor(server: Server) {
        this.server = server;
        this.traffic = new ConnectionTraffic(server);
        this.address = `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
    }

    trafficBytes(): number {
        return this.traffic.bytes();
    }

    async setListening(listening: boolean): Promise<void> {
        if (listening === this.server.listening) {
            return;
        }
        if (listening) {
            await listen(this.server, Number(this.address.split(":")[1]));
            return;
        }
        const closed = once(this.server, "close");
        this.server.close();
        this.server.closeAllConnections();
        await closed;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.setListening(false);
    }
}

async function listen(server: Server, port: number): Promise<void> {
    const listening = once(server, "listening");
    server.listen(port, LOOPBACK);
    await listening;
}

/** Starts a server for the application on a free port. */
export async function startLoopbackServer(application: Hono<StandInEnvironment>): Promise<LoopbackServer> {
    const server = createAdaptorServer({
        fetch: application.fetch as Parameters<typeof createAdaptorServer>[0]["fetch"],
        overrideGlobalObjects: false,
    }) as Server;
    await listen(server, 0);
    return new NodeLoopbackServer(server);
}
