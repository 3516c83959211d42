import { type Credentials, type CredentialSource, parseCredentials } from "@tanagerlink/certificates";
import { AuthorityStandIn } from "@tanagerlink/stand-ins";
import { silentLogger } from "@tanagerlink/telemetry";
import { SystemTimers } from "@tanagerlink/timers";
import { expect } from "chai";
import { Hono } from "hono";
import { once } from "node:events";
import { Agent as HttpsAgent, request } from "node:https";
import { connect } from "node:net";
import type { TLSSocket } from "node:tls";
import { HttpServer } from "../src/index.ts";

const authority = await AuthorityStandIn.create();

async function issue(): Promise<Credentials> {
    const issued = await authority.issue({ name: "server", addresses: ["127.0.0.1"] });
    return parseCredentials(issued, ["certificate", "key"])._unsafeUnwrap();
}

/**
 * Guards against a server that presents an expired certificate because it does not load the renewed one, and against
 * one that stops serving or cannot be closed because of connections that never complete a TLS handshake.
 */
describe("HTTPS for callers", () => {
    let current: Credentials;
    let server: HttpServer;
    const subscribers: ((credentials: Credentials) => void)[] = [];
    const credentials: CredentialSource = {
        current: () => current,
        subscribe: listener => void subscribers.push(listener),
    };

    beforeEach(async () => {
        current = await issue();
        subscribers.length = 0;
        const application = new Hono().get("/", context => context.text("served"));
        server = (await HttpServer.listen(application, {
            address: "127.0.0.1:0",
            timers: new SystemTimers(() => undefined),
            logger: silentLogger,
            keepAliveMilliseconds: 60_000,
            answerMilliseconds: 60_000,
            credentials,
        }))._unsafeUnwrap();
    });
    afterEach(async () => await server[Symbol.asyncDispose]());

    /** Sends a request and returns the serial number of the server's certificate. */
    function requestSerialNumber(agent?: HttpsAgent): Promise<string> {
        return new Promise((resolve, reject) => {
            const options = { ca: authority.pem, ...(agent === undefined ? { agent: false } : { agent }) };
            request(`https://${server.address}/`, options, response => {
                const { serialNumber } = (response.socket as TLSSocket).getPeerCertificate();
                response.resume().on("end", () => resolve(serialNumber));
            }).on("error", reject).end();
        });
    }

    it("presents a renewed certificate on new connections and keeps open connections", async () => {
        const agent = new HttpsAgent({ keepAlive: true, maxSockets: 1 });
        const first = await requestSerialNumber(agent);
        expect(first).to.equal(current.leaf.serialNumber);
        current = await issue();
        subscribers.forEach(listener => listener(current));
        expect(await requestSerialNumber(agent), "open connection").to.equal(first);
        expect(await requestSerialNumber(), "new connection").to.equal(current.leaf.serialNumber);
        agent.destroy();
    });

    it("keeps serving after connections without TLS, and closes despite an unfinished handshake", async () => {
        const [host, port] = server.address.split(":");
        for (const text of ["GET / HTTP/1.1\r\nhost: x\r\n\r\n", "\x16\x03\x01", ""]) {
            const socket = connect(Number(port), host).on("error", () => undefined).resume();
            await once(socket, "connect");
            socket.write(text);
        }
        expect(await requestSerialNumber()).to.equal(current.leaf.serialNumber);
        await server[Symbol.asyncDispose]();
    });
});
