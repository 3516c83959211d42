/** The HTTP server of one process, with a count of the calls in flight. */
import { createAdaptorServer, type ServerType } from "@hono/node-server";
import { describeUnknown, ErrorKind, type ServiceError, serviceError } from "@tanagerlink/errors";
import { sleep, type Timers } from "@tanagerlink/timers";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Period of looking whether calls are still in flight, in milliseconds. */
const DRAIN_POLL_MILLISECONDS = 20;

/** Times of silence after which Node.js closes a connection, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 65_000;
const HEADERS_MILLISECONDS = 10_000;

/** A listening server. */
export class HttpServer implements AsyncDisposable {
    private readonly server: ServerType;
    private readonly timers: Timers;
    private inFlight = 0;

    private constructor(server: ServerType, timers: Timers) {
        this.server = server;
        this.timers = timers;
        (server as Server).on("request", (_request, response) => {
            this.inFlight++;
            response.once("close", () => this.inFlight--);
        });
    }

    /** Listens on `ip:port`; port 0 picks a free one. */
    static listen(application: Hono, address: string, timers: Timers): Promise<Result<HttpServer, ServiceError>> {
        const separator = address.lastIndexOf(":");
        const hostname = address.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
        const port = Number(address.slice(separator + 1));
        const server = createAdaptorServer({
            fetch: application.fetch,
            serverOptions: { keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, headersTimeout: HEADERS_MILLISECONDS },
        });
        return new Promise(resolve => {
            server.once("error", failure => {
                const message = `--listen-address ${address} cannot be used: ${describeUnknown(failure)}`;
                resolve(err(serviceError(ErrorKind.InvalidSettings, message)));
            });
            server.listen(port, hostname, () => resolve(ok(new HttpServer(server, timers))));
        });
    }

    /** `ip:port` */
    get address(): string {
        const { address, port, family } = this.server.address() as AddressInfo;
        return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
    }

    get callsInFlight(): number {
        return this.inFlight;
    }

    /** Waits until no call is in flight, up to the bound. Returns whether that was reached. */
    async drained(withinMilliseconds: number): Promise<boolean> {
        const deadline = this.timers.now() + withinMilliseconds;
        while (this.inFlight > 0 && this.timers.now() < deadline) {
            await sleep(this.timers, DRAIN_POLL_MILLISECONDS);
        }
        return this.inFlight === 0;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        (this.server as Server).closeAllConnections();
        await closed;
    }
}
